package node

import (
	"cmp"
	"context"
	"net"
	"net/http"

	"snipetack/internal/coordination/budget"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/httpserver"
)

// Parts of the VM's limits that its clients may take.
const (
	fileFraction    = 0.5      // of the descriptors, for the connections of callers or operators; the rest is left to upstreams and other VMs
	sideFraction    = 1.0 / 16 // of the descriptors, for the connections of the readiness check and of metrics each
	memoryFraction  = 1.0 / 3  // of the memory, for all that clients hold; the heap may take 3/4 of it, and garbage as much as is held
	controlFraction = 0.5      // of a control VM's memory: a configuration of 16 MiB takes several times as much while it is decoded
)

// buildGuard builds the budget of the VM's memory and descriptors, and the guard of its servers.
func (n *Node) buildGuard() {
	d := defaults()
	part := memoryFraction
	if n.Settings.Class == string(roster.Control) {
		part = controlFraction
	}
	memory := part * float64(cmp.Or(n.Settings.MemoryMB, d.MemoryMB)) * (1 << 20)
	n.budget = budget.New(int64(memory), cmp.Or(n.Settings.MaxFiles, d.MaxFiles))
	var cuts httpserver.CutProvider
	if n.Telemetry != nil {
		cuts = n.Telemetry.Cuts()
	}
	n.guard = httpserver.NewGuard(n.budget, cuts, n.Log)
}

// setHeaders puts the bounds of heads of a configuration in force.
func (n *Node) setHeaders(l plan.Limits) {
	n.guard.SetHeaders(httpserver.Headers{Bytes: l.HeaderBytes, Time: l.HeaderTime, Idle: l.IdleTime})
}

// clientGauges returns the gauges of what clients hold.
func (n *Node) clientGauges() []gauge {
	return []gauge{
		{"client_bytes", "Bytes that are held for clients.", func() float64 { return float64(n.budget.Held()) }},
		{"client_bytes_limit", "Bytes that may be held for clients.", func() float64 { return float64(n.budget.Memory()) }},
		{"client_connections", "Connections of clients.", func() float64 { return float64(n.budget.Open()) }},
	}
}

// serveHTTP serves a handler at an address until ctx ends; "" serves none.
func serveHTTP(ctx context.Context, n *Node, address string, h http.Handler) error {
	return serveShare(ctx, n, address, "operators", fileFraction, h)
}

// serveShare is serveHTTP with a name and a part of the descriptors.
func serveShare(ctx context.Context, n *Node, address, name string, part float64, h http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := listen(n, address, name, part)
	if err != nil {
		return err
	}
	s := httpserver.New(h, n.Log)
	n.guard.Attach(s)
	return serve(ctx, l, s)
}

// listen returns a listener for an HTTP server, whose connections use at most a part of the descriptors.
func listen(n *Node, address, name string, part float64) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	if n.guard == nil {
		n.buildGuard()
	}
	return n.guard.Listen(l, name, part), nil
}
