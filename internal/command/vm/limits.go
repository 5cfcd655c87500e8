package vm

import (
	"time"

	"snipetack/internal/coordination/control"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/coordination/queue"
	"snipetack/internal/coordination/quota"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/coordination/routing"
	"snipetack/internal/transport/grant"
)

// appliedLease reports a replica's lease only after the replica has applied what earlier leaders had committed, so that
// the quota owner never grants by an outdated configuration. It is not safe for concurrent use.
type appliedLease struct {
	replica *replica.Replica
	term    uint64
	index   uint64 // the commit index when the lease of the term was first seen
}

var _ quota.LeaseProvider = (*appliedLease)(nil)

// Lease returns the term in which this replica leads a group, and the time until which its lease holds. It returns
// false if the replica holds no lease, or has yet to apply what earlier leaders had committed.
func (l *appliedLease) Lease(group uint32) (term uint64, until time.Time, ok bool) {
	term, until, ok = l.replica.Lease(group)
	if !ok {
		return 0, time.Time{}, false
	}
	for _, s := range l.replica.Status() {
		if s.Group != group {
			continue
		}
		if l.term != term {
			l.term, l.index = term, s.Commit
		}
		return term, until, s.Applied >= l.index
	}
	return 0, time.Time{}, false
}

// capacityProvider reports to the queue the capacity that the router knows of a service's upstreams.
type capacityProvider struct {
	copy   *feed.Copy
	router *routing.Router
	vms    int
}

var _ queue.CapacityProvider = capacityProvider{}

// Capacity returns the capacity of a service's upstreams under the current configuration.
func (r capacityProvider) Capacity(service string) queue.Capacity {
	m := r.router.Capacity(r.copy.Current(), service)
	return queue.Capacity{Slots: m.Slots, Others: m.Others, Limit: m.Limit, VMs: r.vms}
}

// buildQueue builds the queue, in which requests wait until the upstreams have free slots.
func (v *VM) buildQueue() {
	v.queue = queue.New(capacityProvider{copy: v.copy, router: v.router, vms: len(v.d.Settings.VMs)})
}

// buildQuotaOwner builds the server that grants quota tokens while this keeper leads the control group.
func (v *VM) buildQuotaOwner(m *control.Machine) {
	v.owner = quota.NewServer(quota.ServerDeps{
		Leases:        &appliedLease{replica: v.replica},
		Configuration: m,
		Log:           v.d.Log,
	})
	grant.Serve(v.mesh, v.owner)
}

// buildLimiter builds the limiter, which admits requests with tokens from whichever keeper is the quota owner. If that
// is this VM, the limiter calls the owner directly.
func (v *VM) buildLimiter(keepers []string) {
	var o grant.OwnerProvider
	if v.owner != nil {
		o = v.owner
	}
	v.limiter = quota.New(quota.LimiterDeps{
		Requests: grant.NewClient(v.mesh, v.self.Name, o),
		Keepers:  keepers,
		Policy:   quota.DefaultPolicy(),
		Log:      v.d.Log,
	})
}

// Limiter returns the limiter that admits requests and batch items at this VM.
func (v *VM) Limiter() *quota.Limiter {
	return v.limiter
}
