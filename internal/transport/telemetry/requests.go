package telemetry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"snipetack/internal/protocol/reply"
)

// otherPath is the label of all paths without a handler of their own, so that callers can't add time series at will.
const otherPath = "other"

// Requests counts callers' requests and measures the time to the first byte of the response.
type Requests struct {
	count     metric.Int64Counter
	firstByte metric.Float64Histogram
}

// NewRequests creates the instruments of a Requests.
func NewRequests(m metric.Meter) (*Requests, error) {
	c, err := m.Int64Counter("requests", metric.WithDescription("Requests by path, status and result code."))
	if err != nil {
		return nil, errors.Wrap(err, "creating the request counter")
	}
	h, err := m.Float64Histogram("time_to_first_byte", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the first byte of its answer."))
	return &Requests{count: c, firstByte: h}, errors.Wrap(err, "creating the latency histogram")
}

// Wrap returns a handler that measures the requests that h serves.
func (q *Requests) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := &observer{ResponseWriter: w, start: time.Now()}
		defer func() { q.record(r, o) }()
		h.ServeHTTP(o, r)
	})
}

func (q *Requests) record(r *http.Request, o *observer) {
	p := r.Pattern
	if p == "" || p == "/" {
		p = otherPath
	}
	a := metric.WithAttributes(
		attribute.String("path", p),
		attribute.Int("status", o.status),
		attribute.String("result", o.Header().Get(reply.CodeHeader)),
	)
	q.count.Add(r.Context(), 1, a)
	if o.status != 0 {
		q.firstByte.Record(r.Context(), o.firstByte.Seconds(), metric.WithAttributes(attribute.String("path", p)))
	}
}

// observer is a ResponseWriter that records the status and the time to the first byte. Status is zero until the response
// begins.
type observer struct {
	http.ResponseWriter
	start     time.Time
	status    int
	firstByte time.Duration
}

// WriteHeader records the first status.
func (o *observer) WriteHeader(status int) {
	if o.status == 0 {
		o.status = status
		o.firstByte = time.Since(o.start)
	}
	o.ResponseWriter.WriteHeader(status)
}

// Write records status 200 when it begins the response.
func (o *observer) Write(b []byte) (int, error) {
	if o.status == 0 {
		o.WriteHeader(http.StatusOK)
	}
	return o.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (o *observer) Unwrap() http.ResponseWriter {
	return o.ResponseWriter
}
