package document

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Field reads the value at a path.
type Field func(path string, v hujson.Value)

// Decoder maps a syntax tree by hand and keeps the first mistake with its place.
type Decoder struct {
	kind    string // names the whole document in a message
	file    string
	text    []byte
	tree    hujson.Value
	offsets map[string]int // offset of the value at each path
	problem *Problem
}

// New parses a document; kind names it in messages about the whole.
func New(kind, file string, b []byte) (*Decoder, error) {
	v, err := hujson.Parse(b)
	if err != nil {
		return nil, syntaxProblem(kind, file, err)
	}
	return &Decoder{kind: kind, file: file, text: b, tree: v, offsets: map[string]int{}}, nil
}

// Root reads the document's outermost object and returns the first mistake.
func (d *Decoder) Root(known map[string]Field, required ...string) error {
	d.Object("", d.tree, known, required...)
	return d.Err()
}

// Err returns the first mistake as a Problem, or nil.
func (d *Decoder) Err() error {
	if d.problem == nil {
		return nil
	}
	return *d.problem
}

// Object reads an object whose keys are all known.
func (d *Decoder) Object(path string, v hujson.Value, known map[string]Field, required ...string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(v.StartOffset, path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		d.member(path, m, known, seen)
	}
	for _, k := range required {
		if !seen[k] {
			d.fail(endOf(o, v), join(path, k), "is missing")
		}
	}
}

// List reads a list element by element; the element's path carries its index.
func (d *Decoder) List(each Field) Field {
	return func(path string, v hujson.Value) {
		a, ok := v.Value.(*hujson.Array)
		if !ok {
			d.fail(v.StartOffset, path, "must be a list")
			return
		}
		for i, e := range a.Elements {
			p := fmt.Sprintf("%s[%d]", path, i)
			d.offsets[p] = e.StartOffset
			each(p, e)
		}
	}
}

// Text reads a text that is not empty.
func (d *Decoder) Text(to *string) Field {
	return func(path string, v hujson.Value) {
		l, ok := v.Value.(hujson.Literal)
		if !ok || l.Kind() != '"' || l.String() == "" {
			d.fail(v.StartOffset, path, "must be a text that is not empty")
			return
		}
		*to = l.String()
	}
}

// OneOf reads one of the allowed texts.
func (d *Decoder) OneOf(to *string, allowed ...string) Field {
	return func(path string, v hujson.Value) {
		d.Text(to)(path, v)
		for _, a := range allowed {
			if *to == a {
				return
			}
		}
		d.fail(v.StartOffset, path, "must be one of "+strings.Join(allowed, ", "))
	}
}

// Unique reads a text that used does not hold yet, and adds it.
func (d *Decoder) Unique(to *string, used map[string]string) Field {
	return func(path string, v hujson.Value) {
		d.Text(to)(path, v)
		if o, ok := used[*to]; ok {
			d.fail(v.StartOffset, path, fmt.Sprintf("%q is already the name %s", *to, o))
		}
		used[*to] = path
	}
}

// Texts reads a list of texts.
func (d *Decoder) Texts(to *[]string) Field {
	return d.List(func(path string, v hujson.Value) {
		var s string
		d.Text(&s)(path, v)
		*to = append(*to, s)
	})
}

// Number reads a number.
func (d *Decoder) Number(to *float64) Field {
	return func(path string, v hujson.Value) {
		l, ok := v.Value.(hujson.Literal)
		if !ok || l.Kind() != '0' {
			d.fail(v.StartOffset, path, "must be a number")
			return
		}
		n, err := strconv.ParseFloat(string(l), 64)
		if err != nil || math.IsInf(n, 0) {
			d.fail(v.StartOffset, path, "is out of range")
			return
		}
		*to = n
	}
}

// Whole reads a whole number.
func (d *Decoder) Whole(to *int) Field {
	return func(path string, v hujson.Value) {
		var n float64
		d.Number(&n)(path, v)
		if n != math.Trunc(n) || math.Abs(n) > 1<<53 {
			d.fail(v.StartOffset, path, "must be a whole number")
			return
		}
		*to = int(n)
	}
}

// Bool reads true or false.
func (d *Decoder) Bool(to *bool) Field {
	return func(path string, v hujson.Value) {
		l, ok := v.Value.(hujson.Literal)
		if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
			d.fail(v.StartOffset, path, "must be true or false")
			return
		}
		*to = l.Bool()
	}
}

// Fail records a mistake at a path that was read, unless one was found before.
func (d *Decoder) Fail(path, format string, args ...any) {
	d.fail(d.offsets[path], path, fmt.Sprintf(format, args...))
}

// Problem returns a mistake at a path that was read.
func (d *Decoder) Problem(path, format string, args ...any) Problem {
	l, c := position(d.text, d.offsets[path])
	return Problem{File: d.file, Line: l, Column: c, Key: path, Text: fmt.Sprintf(format, args...)}
}

func (d *Decoder) member(path string, m hujson.ObjectMember, known map[string]Field, seen map[string]bool) {
	l, _ := m.Name.Value.(hujson.Literal)
	k := l.String()
	f, ok := known[k]
	switch {
	case !ok:
		d.fail(m.Name.StartOffset, join(path, k), "is not a known key")
	case seen[k]:
		d.fail(m.Name.StartOffset, join(path, k), "is given twice")
	default:
		seen[k] = true
		d.offsets[join(path, k)] = m.Value.StartOffset
		f(join(path, k), m.Value)
	}
}

func (d *Decoder) fail(offset int, key, text string) {
	if d.problem != nil {
		return
	}
	if key == "" {
		key = d.kind
	}
	l, c := position(d.text, offset)
	d.problem = &Problem{File: d.file, Line: l, Column: c, Key: key, Text: text}
}

func endOf(o *hujson.Object, v hujson.Value) int {
	if len(o.Members) == 0 {
		return v.StartOffset
	}
	return o.Members[len(o.Members)-1].Value.EndOffset
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
