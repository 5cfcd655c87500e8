package telemetry

import (
	"context"
	"log/slog"
)

// RequestLogLimiter is a slog.Handler that drops lines about single requests and items when a LogRing's budget is down to
// its reserve, so that lines about the fleet are still written under load. Lines of level WARN and above always pass.
type RequestLogLimiter struct {
	slog.Handler
	ring *LogRing
}

var _ slog.Handler = (*RequestLogLimiter)(nil)

// NewRequestLogLimiter returns a RequestLogLimiter in front of a handler that writes to a ring.
func NewRequestLogLimiter(h slog.Handler, r *LogRing) *RequestLogLimiter {
	return &RequestLogLimiter{Handler: h, ring: r}
}

// Handle passes a line on, or drops it and counts it in the ring. Lines about a request or item are those whose first
// attribute is "request" or "job".
func (d *RequestLogLimiter) Handle(ctx context.Context, r slog.Record) error {
	single := false
	r.Attrs(func(a slog.Attr) bool {
		single = a.Key == "request" || a.Key == "job" // by convention the first attribute
		return false
	})
	if single && r.Level < slog.LevelWarn && d.ring.dropForReserve() {
		return nil
	}
	return d.Handler.Handle(ctx, r)
}

// WithAttrs returns a RequestLogLimiter whose lines have further attributes, which Handle does not examine.
func (d *RequestLogLimiter) WithAttrs(l []slog.Attr) slog.Handler {
	return &RequestLogLimiter{Handler: d.Handler.WithAttrs(l), ring: d.ring}
}

// WithGroup returns a RequestLogLimiter whose lines have their attributes in a group.
func (d *RequestLogLimiter) WithGroup(name string) slog.Handler {
	return &RequestLogLimiter{Handler: d.Handler.WithGroup(name), ring: d.ring}
}
