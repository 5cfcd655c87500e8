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
	maxLine       = 1 << 20         // bytes
	contextWindow = 2 * time.Second // lines about the fleet this long before and after a story belong to it
)

// Event is a line of a story.
type Event struct {
	Line
	Context bool // about the VM or the fleet, not about the request or job
}

// Timeline is what the logs say of one request or job, in the order of time; clocks of VMs may differ.
type Timeline []Event

// Read returns the lines of a log, and how many others it holds.
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

// BuildTimeline returns the story of a request or job: the lines that name it, and what its VMs learned of the fleet meanwhile.
func BuildTimeline(lines []Line, id string) Timeline {
	var s Timeline
	first, last := map[string]time.Time{}, map[string]time.Time{} // by VM, whose clock both are of
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
