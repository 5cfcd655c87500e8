package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pace"
	"snipetack/internal/state/result"
)

// Request is a request as it was received from a caller, or one that runs an item of a batch job.
type Request struct {
	ID       string // of this attempt of the caller
	Method   string
	Host     string
	Path     string // without the query
	Target   string // path and query as they were sent
	Key      string
	Header   http.Header // as the caller or the item has it; the UpstreamProvider forwards the headers that they may set
	Item     bool        // the request runs an item
	Body     []byte
	Arrived  time.Time
	Deadline time.Duration // how long the caller waits, counted from Arrived; 0 when unknown
	Resume   uint64        // id of the last event that the caller has; 0 when it has none
	TakesUp  string        // id of the caller's attempt that brought the first event of the stream, where Resume is set; "" when unknown
	Session  string        // requests with the same value share most of their prompt; may be ""
	Segments []string      // ids of the prompt's segments that other requests may share, in order
	Tokens   int           // of the prompt plus the most of the response; 0 when unknown
}

// Sending describes one attempt at an upstream.
type Sending struct {
	Upstream string // upstream id; an upstream with another id rejects the request
	Address  string
	Account  string
	Left     time.Duration // time within which the upstream must respond: until the deadline, less responseMargin
	Resume   uint64        // id of the last event that the caller has; 0 when it has none
	Stream   bool          // the response is a stream, of which Resume alone says where it goes on
}

// Response is an upstream's response; its header has been received, its body is read from Body.
type Response struct {
	Status            int
	Header            http.Header // headers to return to the caller
	Length            int64       // of the body in bytes; -1 when unknown
	Body              io.ReadCloser
	Unframed          bool          // the body has neither a length nor chunks and ends with its connection
	NotRun            bool          // the upstream reports that it has not run the request and will not run it
	AddressReassigned bool          // another upstream uses the address now; it has not run the request
	Limit             float64       // requests per second that the upstream takes from all VMs together; 0 when it names none
	Cold              time.Duration // remaining warm-up time of the upstream, where NamesCold is set
	NamesCold         bool
	Load              *pace.Report // of the upstream; nil when it says nothing of it
	Leaving           bool         // the upstream announces that it is about to stop
	Signed            bool         // the response carries the upstream's signature; an unsigned one is not forwarded
}

// UpstreamProvider sends requests to upstreams.
type UpstreamProvider interface {
	// Send returns the response as soon as its header has arrived. The request is cancelled when ctx ends or the body is
	// closed.
	//
	// An error that is an httpconn.NotSent guarantees that no byte was sent; after any other error the upstream may have run
	// the request.
	Send(ctx context.Context, q *Request, s Sending) (*Response, error)
}

// Sink writes the response to a caller.
type Sink interface {
	// Begin sends status and header; length is that of the body in bytes, -1 when unknown.
	Begin(status int, h http.Header, length int64)
	Write(b []byte) (int, error)
	// Flush sends what is still buffered.
	Flush() error
	// Refuse responds with an error of this system.
	Refuse(f *result.Failure)
	// Abort closes the connection, so that the caller does not take the response for complete.
	Abort()
}

// errEventOrder reports an event whose id does not follow the previous one by 1.
func errEventOrder(last, id uint64) error {
	return errors.Errorf("event %d came after event %d", id, last)
}
