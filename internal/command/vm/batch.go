package vm

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/command/settings"
	"snipetack/internal/coordination/batch"
	"snipetack/internal/coordination/routing"
	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/batches"
	"snipetack/internal/transport/gateway"
	"snipetack/internal/transport/operator"
)

// buildBatch builds the batch API, the scheduler of batch items and their runner.
func (v *VM) buildBatch() {
	c := batches.NewClient(v.client, v.mesh, v.d.Settings.Keepers(v.self.DataCentre))
	var vms []string
	for _, s := range v.d.Settings.VMs {
		vms = append(vms, s.Name)
	}
	operator.MountJobs(v.operator, c, vms)
	batches.New(batches.Deps{Client: c, Access: v.gateway, Copy: v.copy, VMs: vms, Log: v.d.Log}).Mount(v.gateway)
	v.scheduler = batch.New(batch.Deps{
		VM:       v.self.Name,
		VMs:      vms,
		Settings: batchSettings(v.d.Settings),
		Ledger:   c,
		Runner:   batches.NewRunner(v.caller, v.copy, v.limiter),
		Copy:     v.copy,
		Load:     v.counter,
		Send:     batches.NewSender(v.mesh),
		Seed:     xxhash.Sum64String(v.self.Name),
		Log:      v.d.Log,
	})
	batches.Serve(v.mesh, v.replica, v.jobs, v.scheduler.Hold)
	batches.Receive(v.mesh, v.scheduler.TakeLoad)
}

// batchSettings returns the scheduler's settings for the fleet's batch policy.
func batchSettings(s settings.Settings) batch.Settings {
	if s.BatchPolicy == settings.Throughput {
		return batch.ThroughputSettings()
	}
	return batch.DefaultSettings()
}

// startBatch starts the batch scheduler. The returned function stops it and waits until it has released its leases.
func (v *VM) startBatch(ctx context.Context) (end func()) {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = v.scheduler.Run(ctx)
	}()
	return func() {
		stop()
		<-done
	}
}

// countingRouter counts online requests in flight at each upstream; batch items run only in the slots that these leave.
type countingRouter struct {
	gateway.RouterProvider
	counter *batch.Counter
}

var _ gateway.RouterProvider = (*countingRouter)(nil)

// Choose counts a request at the chosen upstream until the choice's Done is called.
func (c *countingRouter) Choose(f *catalog.Configuration, q routing.Request) (routing.Choice, error) {
	x, err := c.RouterProvider.Choose(f, q)
	if err != nil {
		return x, err
	}
	c.counter.Add(x.Upstream.Name, 1)
	done := x.Done
	x.Done = func(r routing.Report) {
		c.counter.Add(x.Upstream.Name, -1)
		done(r)
	}
	return x, nil
}
