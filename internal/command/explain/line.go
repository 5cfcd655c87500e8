package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is a line of a VM's log, which is written as JSON.
type Line struct {
	Time    time.Time // by the VM's clock; zero if missing or malformed
	VM      string
	Level   string
	Message string
	Details []Detail // in the order in which they were logged
}

// Detail is an attribute of a log line.
type Detail struct {
	Key   string
	Value string // durations are formatted, other values as logged
}

// errNotLogLine reports text that is not a log line.
var errNotLogLine = errors.New("no line of a log")

// ParseLine parses a log line. Text before the JSON object, such as a log collector's prefix, is ignored. Text without a JSON
// object, or with one that has no message, is an error.
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

// formatValue returns the text of a value. Durations, which are logged in nanoseconds, are formatted to the microsecond.
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

// isDuration reports whether the value of a key is a duration. A new duration in a log line is to be added here.
func isDuration(key string) bool {
	switch key {
	case "waited", "took", "ran", "first", "longest_gap", "placed", "due_in", "silence", "grace":
		return true
	}
	return false
}

// isAbout reports whether a line is about the request or job with an id.
func (l *Line) isAbout(id string) bool {
	for _, d := range l.Details {
		if d.Value == id && (d.Key == "request" || d.Key == "job") {
			return true
		}
	}
	return false
}

// hasID reports whether a line is about any single request or job, and so not about the VM or the fleet.
func (l *Line) hasID() bool {
	for _, d := range l.Details {
		if d.Key == "request" || d.Key == "job" {
			return true
		}
	}
	return false
}

// String returns the time of day, VM, message and details of a line, without date and level.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.VM, l.Message)
	for _, d := range l.Details {
		fmt.Fprintf(&b, " %s=%s", d.Key, d.Value)
	}
	return b.String()
}
