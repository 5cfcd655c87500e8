package telemetry

import (
	"context"
	"log/slog"
)

// Decisions drops lines about single requests and items when their part of a LogRing's budget is used up, so that what
// a VM learns of the fleet is still written under load.
type Decisions struct {
	slog.Handler
	ring *LogRing
}

var _ slog.Handler = (*Decisions)(nil)

// NewDecisions returns Decisions in front of a handler that writes to a ring.
func NewDecisions(h slog.Handler, r *LogRing) *Decisions {
	return &Decisions{Handler: h, ring: r}
}

// Handle writes a line or counts it as dropped.
func (d *Decisions) Handle(ctx context.Context, r slog.Record) error {
	single := false
	r.Attrs(func(a slog.Attr) bool {
		single = a.Key == "request" || a.Key == "job" // always the first attribute
		return false
	})
	if single && r.Level < slog.LevelWarn && d.ring.crowded() {
		return nil
	}
	return d.Handler.Handle(ctx, r)
}

// WithAttrs returns Decisions whose lines have further attributes.
func (d *Decisions) WithAttrs(l []slog.Attr) slog.Handler {
	return &Decisions{Handler: d.Handler.WithAttrs(l), ring: d.ring}
}

// WithGroup returns Decisions whose lines have their attributes in a group.
func (d *Decisions) WithGroup(name string) slog.Handler {
	return &Decisions{Handler: d.Handler.WithGroup(name), ring: d.ring}
}
