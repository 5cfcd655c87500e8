package explain

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	maxLine       = 1 << 20         // bytes; Read fails on a longer line
	contextWindow = 2 * time.Second // lines about the fleet are included this long before and after those that name the id
)

// Event is a line of a timeline.
type Event struct {
	Line
	Context bool // about the VM or the fleet, not about the request or job
}

// Timeline holds the log lines about one request or job, sorted by time. Lines of different VMs may be out of order, since
// their clocks may differ.
type Timeline []Event

// Read returns the log lines of r and the number of lines that are not log lines.
func Read(r io.Reader) (lines []Line, others int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, err := ParseLine(s.Bytes())
		if err != nil {
			others++
			continue
		}
		lines = append(lines, l)
	}
	return lines, others, errors.Wrap(s.Err(), "reading a log")
}

// BuildTimeline returns the timeline of the request or job with an id: the lines that name it, and as context the lines that
// the same VMs logged meanwhile about themselves and the fleet. It is empty if no line names the id.
func BuildTimeline(lines []Line, id string) Timeline {
	var s Timeline
	first, last := map[string]time.Time{}, map[string]time.Time{} // by VM, since the clocks of VMs differ
	for _, l := range lines {
		if !l.isAbout(id) {
			continue
		}
		s = append(s, Event{Line: l})
		if t, ok := first[l.VM]; !ok || l.Time.Before(t) {
			first[l.VM] = l.Time
		}
		if l.Time.After(last[l.VM]) {
			last[l.VM] = l.Time
		}
	}
	for _, l := range lines {
		t, ok := first[l.VM]
		if ok && !l.hasID() && !l.Time.Before(t.Add(-contextWindow)) && !l.Time.After(last[l.VM].Add(contextWindow)) {
			s = append(s, Event{Line: l, Context: true})
		}
	}
	slices.SortStableFunc(s, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	return s
}
