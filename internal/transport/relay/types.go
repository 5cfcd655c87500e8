package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/result"
)

// Request is a caller's request.
type Request struct {
	ID       string // of this attempt of the caller
	Method   string
	Host     string
	Path     string // without the query
	Target   string // path and query as they were sent
	Key      string
	Header   http.Header // to be passed on
	Body     []byte
	Arrived  time.Time
	Deadline time.Duration // for which the caller waits from its arrival; 0 is unknown
	Resume   uint64        // last event that the caller has; 0 is none
	Session  string        // requests with the same value share most of a prompt
}

// Sending tells how a request goes to an upstream.
type Sending struct {
	Upstream string // id, which the upstream checks
	Address  string
	Account  string
	Left     time.Duration // until the deadline
	Resume   uint64        // last event that the caller has; 0 is none
}

// Answer is what an upstream said.
type Answer struct {
	Status int
	Header http.Header // to be passed on
	Length int64       // of the body; -1 is unknown
	Body   io.ReadCloser
	NotRun bool // the upstream says that the request has not run and will not
	Other  bool // another upstream has the address now
	Signed bool // the answer carries the upstream's signature
}

// UpstreamProvider sends requests to upstreams.
type UpstreamProvider interface {
	// Send returns an answer once its header is there; the run ends with ctx or when the body is closed.
	//
	// An httpconn.NotSent failure says that nothing has been sent.
	Send(ctx context.Context, q *Request, s Sending) (*Answer, error)
}

// Sink takes the answer to a caller.
type Sink interface {
	// Begin sends status and header; a length of -1 is unknown.
	Begin(status int, h http.Header, length int64)
	Write(b []byte) (int, error)
	// Flush sends what was written.
	Flush() error
	// Refuse answers with a failure of this system.
	Refuse(f *result.Failure)
	// Abort breaks the connection off, so that the answer does not look whole.
	Abort()
}

// errOrder reports an event that does not follow the one before.
func errOrder(last, id uint64) error {
	return errors.Errorf("event %d came after event %d", id, last)
}
