package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"snipetack/internal/command/explain"
)

type explainCommand struct {
	Position struct {
		ID    string   `positional-arg-name:"ID" description:"id of a request or job" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"logs of VMs; standard input without any"`
	} `positional-args:"yes"`
}

func (c explainCommand) run(e *environment) error {
	lines, others, err := c.read(e.in)
	if err != nil {
		return err
	}
	s := explain.BuildTimeline(lines, c.Position.ID)
	if len(s) == 0 {
		return errors.Errorf("%s is in none of %d lines (%d are no lines of a log)", c.Position.ID, len(lines), others)
	}
	return printTimeline(e.out, s)
}

// read returns the log lines of all files, or of in when none are named, and the number of lines that are not log lines.
func (c explainCommand) read(in io.Reader) (lines []explain.Line, others int, err error) {
	if len(c.Position.Files) == 0 {
		return explain.Read(in)
	}
	for _, f := range c.Position.Files {
		l, n, err := readLog(f)
		if err != nil {
			return nil, 0, err
		}
		lines, others = append(lines, l...), others+n
	}
	return lines, others, nil
}

func readLog(file string) ([]explain.Line, int, error) {
	h, err := os.Open(file)
	if err != nil {
		return nil, 0, errors.Wrap(err, "opening a log")
	}
	defer h.Close()
	l, n, err := explain.Read(h)
	return l, n, errors.Wrap(err, file)
}

// printTimeline prints an event a line; those about the request or job itself are marked with an asterisk.
func printTimeline(w io.Writer, s explain.Timeline) error {
	for _, x := range s {
		mark := "*"
		if x.Context {
			mark = " "
		}
		if _, err := fmt.Fprintln(w, mark, x.String()); err != nil {
			return errors.Wrap(err, "printing the timeline")
		}
	}
	return nil
}
