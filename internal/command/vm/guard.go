package vm

import (
	"cmp"
	"context"
	"time"

	"snipetack/internal/coordination/budget"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/transport/httpserver"
)

// The VM's limits, and the parts of them that its clients may take.
const (
	defaultMemoryMB  = 512
	defaultMaxFiles  = 16384
	callerFraction   = 0.5     // of the descriptors
	operatorFraction = 1.0 / 8 // of the descriptors
	memoryFraction   = 1.0 / 3 // of the memory; the heap may take 3/4 of it, and garbage as much as is held
)

// buildGuard builds the budget of the VM's memory and descriptors, and the guard of its servers.
func (v *VM) buildGuard() {
	memory := memoryFraction * float64(cmp.Or(v.d.MemoryMB, defaultMemoryMB)) * (1 << 20)
	v.budget = budget.New(int64(memory), cmp.Or(v.d.MaxFiles, defaultMaxFiles))
	var cuts httpserver.CutProvider
	if v.d.Telemetry != nil {
		cuts = v.d.Telemetry.Cuts()
	}
	v.guard = httpserver.NewGuard(v.budget, cuts, v.d.Log)
}

// relieve closes the connections of callers that accept nothing of their responses while others wait for slots, until ctx ends.
func (v *VM) relieve(ctx context.Context) error {
	for pause.For(ctx, time.Second) {
		n := 0
		for _, w := range v.queue.Waiting() {
			n += w
		}
		v.budget.CloseSlowReaders(time.Now(), n)
	}
	return nil
}

// registerGauges adds the gauges of what clients hold.
func (v *VM) registerGauges() error {
	for name, f := range map[string]func() float64{
		"client_bytes":       func() float64 { return float64(v.budget.Held()) },
		"client_bytes_limit": func() float64 { return float64(v.budget.Memory()) },
		"client_connections": func() float64 { return float64(v.budget.Open()) },
	} {
		if err := v.d.Telemetry.Gauge(name, "What is held for clients.", "", f); err != nil {
			return err
		}
	}
	return nil
}
