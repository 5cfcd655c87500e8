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

// appliedLease is a replica's lease once it has applied what earlier leaders committed; it is not safe for concurrent use.
type appliedLease struct {
	replica *replica.Replica
	term    uint64
	index   uint64 // committed when the term's lease was first seen
}

var _ quota.LeaseProvider = (*appliedLease)(nil)

// Lease returns the term that this replica leads a group in, and until when.
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

// room tells the queue what the router knows of a service's upstreams.
type room struct {
	copy   *feed.Copy
	router *routing.Router
	vms    int
}

var _ queue.CapacityProvider = room{}

// Capacity returns the room of a service.
func (r room) Capacity(service string) queue.Capacity {
	m := r.router.Capacity(r.copy.Current(), service)
	return queue.Capacity{Slots: m.Slots, Others: m.Others, Limit: m.Limit, VMs: r.vms}
}

// buildQueue holds back requests until the upstreams have room.
func (v *VM) buildQueue() {
	v.queue = queue.New(room{copy: v.copy, router: v.router, vms: len(v.d.Settings.VMs)})
}

// buildQuotaOwner lets a keeper grant tokens while it leads the control group.
func (v *VM) buildQuotaOwner(m *control.Machine) {
	v.owner = quota.NewServer(quota.ServerDeps{
		Leases:        &appliedLease{replica: v.replica},
		Configuration: m,
		Log:           v.d.Log,
	})
	grant.Serve(v.mesh, v.owner)
}

// buildLimiter admits requests with tokens from whichever keeper is the quota owner.
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

// Limiter returns what admits work at this VM.
func (v *VM) Limiter() *quota.Limiter {
	return v.limiter
}
