package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Problem is a mistake in a document and its position. It is an error.
type Problem struct {
	File   string
	Line   int    // from 1
	Column int    // in bytes, from 1
	Key    string // path of the value, such as vms[0].name; the kind of document if the mistake is in the whole
	Text   string
}

var _ error = Problem{}

// Error returns the problem as file:line:column: key: text.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Key, p.Text)
}

// position returns the line and column, both from 1, of a byte offset; an offset beyond the end counts as the end.
func position(b []byte, offset int) (int, int) {
	offset = min(offset, len(b))
	l := bytes.Count(b[:offset], []byte("\n")) + 1
	c := offset - bytes.LastIndexByte(b[:offset], '\n')
	return l, c
}

// syntaxProblem converts an error of the parser, which gives the position in its text, into a Problem.
func syntaxProblem(kind, file string, err error) error {
	var s *json.SyntaxError
	if errors.As(err, &s) {
		return Problem{File: file, Line: 1, Column: int(s.Offset), Key: kind, Text: s.Error()}
	}
	t := err.Error()
	p := Problem{File: file, Line: 1, Column: 1, Key: kind, Text: t}
	if _, e := fmt.Sscanf(t, "hujson: line %d, column %d:", &p.Line, &p.Column); e == nil {
		_, p.Text, _ = strings.Cut(t, ": ")
		_, p.Text, _ = strings.Cut(p.Text, ": ")
	}
	return p
}
