package telemetry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Traffic counts relayed requests and the attempts at upstreams, and measures the time to an upstream's first byte.
type Traffic struct {
	requests  metric.Int64Counter
	attempts  metric.Int64Counter
	firstByte metric.Float64Histogram
	estimates metric.Float64Histogram
	discarded metric.Int64Counter
}

// NewTraffic creates the instruments of a Traffic.
func NewTraffic(m metric.Meter) (*Traffic, error) {
	t := &Traffic{}
	var err error
	t.requests, err = m.Int64Counter("relayed_requests", metric.WithDescription("Relayed requests by kind of route and result code; 0 is an answer of an upstream."))
	if err != nil {
		return nil, errors.Wrap(err, "creating the counter of requests")
	}
	t.attempts, err = m.Int64Counter("relay_attempts", metric.WithDescription("Attempts at upstreams by outcome."))
	if err != nil {
		return nil, errors.Wrap(err, "creating the counter of attempts")
	}
	t.firstByte, err = m.Float64Histogram("relay_first_byte", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the first byte from an upstream."),
		metric.WithExplicitBucketBoundaries(0.01, 0.03, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5))
	if err != nil {
		return nil, errors.Wrap(err, "creating the histogram of first bytes")
	}
	t.estimates, err = m.Float64Histogram("relay_estimate_error", metric.WithUnit("s"),
		metric.WithDescription("Time by which the first byte from an upstream came later than expected; below 0 it came earlier."),
		metric.WithExplicitBucketBoundaries(-0.5, -0.2, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.5, 1))
	if err != nil {
		return nil, errors.Wrap(err, "creating the histogram of estimates")
	}
	t.discarded, err = m.Int64Counter("upstream_reports_discarded", metric.WithDescription("Load reports of upstreams that were nonsense."))
	return t, errors.Wrap(err, "creating the counter of discarded reports")
}

// Request counts a request whose response is final. The code is the result code, or zero for an upstream's own response.
func (t *Traffic) Request(kind string, code int) {
	t.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.Int("code", code)))
}

// Attempt counts an attempt at an upstream.
func (t *Traffic) Attempt(outcome string) {
	t.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// FirstByte records the time from a request's arrival to the first byte from an upstream.
func (t *Traffic) FirstByte(kind string, d time.Duration) {
	t.firstByte.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// EstimateError records by how much the first byte of a response came later than expected.
func (t *Traffic) EstimateError(kind string, d time.Duration) {
	t.estimates.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}

// ReportDiscarded counts a load report of an upstream that was nonsense.
func (t *Traffic) ReportDiscarded() { t.discarded.Add(context.Background(), 1) }
