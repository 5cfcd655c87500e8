package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Cuts counts connections of clients that were closed.
type Cuts struct{ count metric.Int64Counter }

// Cuts creates the counter of closed connections.
func (t *Telemetry) Cuts() *Cuts {
	c, err := t.Meter().Int64Counter("clients_cut_off", metric.WithDescription("Connections of clients that were closed, by listener and reason."))
	if err != nil {
		return &Cuts{}
	}
	return &Cuts{count: c}
}

// Cut counts a connection of a listener that was closed for a reason.
func (c *Cuts) Cut(listener, reason string) {
	if c.count != nil {
		c.count.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", listener), attribute.String("reason", reason)))
	}
}
