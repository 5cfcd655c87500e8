package document

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Field reads the value at a path, such as vms[0].name, into a variable that it was made with. Mistakes are recorded in the
// Decoder.
type Field func(path string, v hujson.Value)

// Decoder reads a parsed document through Fields and keeps the first mistake with its position. Reading continues after a
// mistake; later ones are ignored. It is not safe for concurrent use.
type Decoder struct {
	kind    string // stands for the key in messages about the whole document
	file    string
	text    []byte
	tree    hujson.Value
	offsets map[string]int // byte offset of the value at each path read so far
	problem *Problem
}

// New parses a document. Its kind, such as "settings", stands for the key in messages about the whole document. A syntax error
// is returned as a Problem.
func New(kind, file string, b []byte) (*Decoder, error) {
	v, err := hujson.Parse(b)
	if err != nil {
		return nil, syntaxProblem(kind, file, err)
	}
	return &Decoder{kind: kind, file: file, text: b, tree: v, offsets: map[string]int{}}, nil
}

// Root reads the document's outermost object as Object does and returns the first mistake as a Problem, or nil.
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

// Object reads an object. A key that is not in known, a key given twice and a missing required key are mistakes.
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

// List reads a list and calls each for every element, with the element's index appended to the path.
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

// Text reads a string that is not empty.
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

// OneOf reads a string that is one of the allowed ones.
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

// Unique reads a string that is not a key of used, and adds it there with its path.
func (d *Decoder) Unique(to *string, used map[string]string) Field {
	return func(path string, v hujson.Value) {
		d.Text(to)(path, v)
		if o, ok := used[*to]; ok {
			d.fail(v.StartOffset, path, fmt.Sprintf("%q is already the name %s", *to, o))
		}
		used[*to] = path
	}
}

// Texts reads a list of strings that are not empty, and appends them.
func (d *Decoder) Texts(to *[]string) Field {
	return d.List(func(path string, v hujson.Value) {
		var s string
		d.Text(&s)(path, v)
		*to = append(*to, s)
	})
}

// TextMap reads an object whose keys are not known beforehand and whose values are strings that are not empty.
func (d *Decoder) TextMap(to *map[string]string) Field {
	return func(path string, v hujson.Value) {
		o, ok := v.Value.(*hujson.Object)
		if !ok {
			d.fail(v.StartOffset, path, "must be an object")
			return
		}
		m := make(map[string]string, len(o.Members))
		known := map[string]Field{}
		for _, x := range o.Members {
			l, _ := x.Name.Value.(hujson.Literal)
			known[l.String()] = func(path string, v hujson.Value) {
				var text string
				d.Text(&text)(path, v)
				m[l.String()] = text
			}
		}
		d.Object(path, v, known)
		*to = m
	}
}

// Number reads a number that fits a float64.
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

// Integer reads a whole number of at most 1<<53 either way, the range in which a float64 is exact.
func (d *Decoder) Integer(to *int) Field {
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

// Fail records a mistake at a path that was read, unless there is an earlier one.
func (d *Decoder) Fail(path, format string, args ...any) {
	d.fail(d.offsets[path], path, fmt.Sprintf(format, args...))
}

// Problem returns a mistake at a path that was read, without recording it.
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

// endOf returns the offset at which a missing key is reported: the end of the last member, or the start of an empty object.
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
