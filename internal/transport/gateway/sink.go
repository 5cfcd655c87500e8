package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/result"
)

// maxJoinedBytes bounds the chunks, in bytes, of a response that is sent as a whole.
const maxJoinedBytes = 8 << 20

// errCallerLost reports that the caller disconnected or reads its response too slowly.
type errCallerLost struct{ error }

func (e errCallerLost) Unwrap() error { return e.error }

// sink sends a response to a caller.
type sink interface {
	chunk(data []byte) error // accepts the next chunk of the response
	done() error             // ends a complete response
	fail(err error)          // ends a response that will not be completed
}

// streamSink forwards each chunk as a server-sent event. A failure before the first chunk becomes an HTTP error, a
// later one an event.
type streamSink struct {
	w       http.ResponseWriter
	c       *http.ResponseController
	started bool
}

var _ sink = (*streamSink)(nil)

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, c: http.NewResponseController(w)}
}

func (s *streamSink) chunk(data []byte) error {
	return s.write(data)
}

func (s *streamSink) done() error {
	return s.write([]byte(doneMarker))
}

func (s *streamSink) fail(err error) {
	if !s.started {
		reply.Failure(s.w, err)
		return
	}
	_ = s.write(reply.FailureEvent(err))
}

func (s *streamSink) write(data []byte) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	if _, err := s.w.Write(bytes.Join([][]byte{[]byte("data: "), data, []byte("\n\n")}, nil)); err != nil {
		return errCallerLost{err}
	}
	if err := s.c.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errCallerLost{err}
	}
	return nil
}

// joinedSink joins the chunks and sends them as one JSON response.
type joinedSink struct {
	w    http.ResponseWriter
	m    merger
	size int
}

var _ sink = (*joinedSink)(nil)

func newJoinedSink(w http.ResponseWriter) *joinedSink {
	return &joinedSink{w: w}
}

func (s *joinedSink) chunk(data []byte) error {
	s.size += len(data)
	if s.size > maxJoinedBytes {
		return result.New(result.UpstreamBroken, "the answer exceeds %d bytes", maxJoinedBytes).WithRan(result.DidRun)
	}
	return s.m.add(data)
}

func (s *joinedSink) done() error {
	b, err := json.Marshal(s.m.result())
	if err != nil {
		return errors.Wrap(err, "encoding a joined response")
	}
	return writeComplete(s.w, http.StatusOK, "application/json", b)
}

func (s *joinedSink) fail(err error) {
	reply.Failure(s.w, err)
}

// writeComplete sends a response with its Content-Length, so that a caller notices a truncated one. With an empty
// contentType the header stays as it is.
func writeComplete(w http.ResponseWriter, status int, contentType string, b []byte) error {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	if _, err := w.Write(b); err != nil {
		return errCallerLost{err}
	}
	return nil
}
