package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"snipetack/internal/state/result"
)

// Bounds and marks of a stream of events.
const (
	maxLineBytes = 1 << 20 // bytes of a line, and of an event's data
	maxEventGap  = 4 << 20 // bytes from the end of one event with data to that of the next
	doneMarker   = "[DONE]"
)

// event is one server-sent event; Number is zero when the upstream doesn't number them.
type event struct {
	Number int
	Data   []byte
}

// eventReader reads the events of one connection.
type eventReader struct {
	s *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	return &eventReader{s: s}
}

// next returns the next event with data. An event that breaks off before its empty line is dropped, and the end of the
// stream is a Failure: a complete response ends with doneMarker.
func (r *eventReader) next() (event, error) {
	var e event
	n := 0
	for r.s.Scan() {
		l := r.s.Bytes()
		if n += len(l) + 1; n > maxEventGap {
			return event{}, result.New(result.UpstreamBroken, "no event within %d bytes", maxEventGap).WithRan(result.DidRun)
		}
		if len(l) == 0 && e.Data != nil {
			return e, nil
		}
		k, v, _ := bytes.Cut(l, []byte(":"))
		v = bytes.TrimPrefix(v, []byte(" "))
		switch string(k) {
		case "id":
			e.Number, _ = strconv.Atoi(string(v))
		case "data":
			if e.Data != nil {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, v...)
			if len(e.Data) > maxLineBytes {
				return event{}, result.New(result.UpstreamBroken, "an event exceeds %d bytes", maxLineBytes).WithRan(result.DidRun)
			}
		}
	}
	if errors.Is(r.s.Err(), bufio.ErrTooLong) {
		return event{}, result.New(result.UpstreamBroken, "a line exceeds %d bytes", maxLineBytes).WithRan(result.DidRun)
	}
	if err := r.s.Err(); err != nil {
		return event{}, result.Of(err).WithRan(result.DidRun)
	}
	return event{}, result.New(result.UpstreamBroken, "the answer broke off").WithRan(result.DidRun)
}
