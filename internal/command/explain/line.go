package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one line of a VM's log.
type Line struct {
	Time    time.Time // by the clock of the VM
	VM      string
	Level   string
	Message string
	Details []Detail // in the order of the line
}

// Detail is an attribute of a line.
type Detail struct {
	Key   string
	Value string
}

// errNotLogLine reports text that is no line of a log.
var errNotLogLine = errors.New("no line of a log")

// ParseLine reads a line; what stands before its JSON, such as a collector's prefix, is passed over.
func ParseLine(text []byte) (Line, error) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, errNotLogLine
	}
	d := json.NewDecoder(bytes.NewReader(text[i:]))
	d.UseNumber()
	if _, err := d.Token(); err != nil {
		return Line{}, errNotLogLine
	}
	var l Line
	for d.More() {
		k, err := d.Token()
		if err != nil {
			return Line{}, errNotLogLine
		}
		var v any
		if err := d.Decode(&v); err != nil {
			return Line{}, errNotLogLine
		}
		l.set(fmt.Sprint(k), v)
	}
	if l.Message == "" {
		return Line{}, errNotLogLine
	}
	return l, nil
}

func (l *Line) set(key string, v any) {
	text := fmt.Sprint(v)
	switch key {
	case "time":
		if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
			l.Time = t
		}
	case "level":
		l.Level = text
	case "msg":
		l.Message = text
	case "vm":
		l.VM = text
	default:
		l.Details = append(l.Details, Detail{Key: key, Value: formatValue(key, v, text)})
	}
}

// formatValue returns a value as people read it: durations are logged in nanoseconds.
func formatValue(key string, v any, text string) string {
	n, ok := v.(json.Number)
	if !ok || !isDuration(key) {
		return text
	}
	x, err := n.Int64()
	if err != nil {
		return text
	}
	return time.Duration(x).Round(time.Microsecond).String()
}

// isDuration reports whether lines give a duration under a key.
func isDuration(key string) bool {
	switch key {
	case "waited", "took", "ran", "first", "longest_gap", "placed", "due_in", "silence", "grace":
		return true
	}
	return false
}

// isAbout reports whether a line is about a request or job.
func (l *Line) isAbout(id string) bool {
	for _, d := range l.Details {
		if d.Value == id && (d.Key == "request" || d.Key == "job") {
			return true
		}
	}
	return false
}

// hasID reports whether a line is about one request or job.
func (l *Line) hasID() bool {
	for _, d := range l.Details {
		if d.Key == "request" || d.Key == "job" {
			return true
		}
	}
	return false
}

// String returns the line for people.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.VM, l.Message)
	for _, d := range l.Details {
		fmt.Fprintf(&b, " %s=%s", d.Key, d.Value)
	}
	return b.String()
}
