package replica

import (
	"time"

	"snipetack/internal/coordination/consensus"
)

// Status is what a replica knows of a group.
type Status struct {
	Group         uint32
	Leader        consensus.Member // zero when none is known
	Term          uint64
	Leads         bool
	Lease         time.Time // until when no other replica can lead; zero when there is no lease
	Last          uint64    // index of the last entry
	Commit        uint64
	Applied       uint64
	Snapshot      uint64 // index
	Configuration consensus.Configuration
}

// Leader returns the VM that leads a group in the newest term known here; the VM is empty when none is known.
func (r *Replica) Leader(group uint32) (vm string, term uint64) {
	s := r.statusOf(group)
	return s.Leader.VM, s.Term
}

// Lease returns the term that this replica leads a group in, and until when by this VM's clock no other can.
//
// The time counts from the moment at which the confirmed heartbeats were sent. It is false when another leads.
func (r *Replica) Lease(group uint32) (term uint64, until time.Time, ok bool) {
	s := r.statusOf(group)
	if !s.Leads || !time.Now().Before(s.Lease) {
		return 0, time.Time{}, false
	}
	return s.Term, s.Lease, true
}

// Status returns the status of every group, in order.
func (r *Replica) Status() []Status {
	var l []Status
	for _, n := range r.groupIDs {
		l = append(l, r.statusOf(n))
	}
	return l
}

// ID returns the replica id, made when the data folder was formatted.
func (r *Replica) ID() uint64 {
	return r.id
}

// Syncs returns how many batches were written so far.
func (r *Replica) Syncs() uint64 {
	return r.syncs.Load()
}

func (r *Replica) statusOf(group uint32) Status {
	m := r.groups[group]
	if m == nil {
		return Status{Group: group}
	}
	s := m.status.Load()
	if s == nil {
		return Status{Group: group}
	}
	return *s
}

// publishStatus makes the status readable before any message that depends on it is sent.
func (r *Replica) publishStatus(now time.Time, m *groupReplica) {
	c := m.core
	s := &Status{
		Group:         m.group,
		Leader:        c.Leader(),
		Term:          c.Term(),
		Leads:         c.Role() == consensus.Leader,
		Last:          c.Last(),
		Commit:        c.Commit(),
		Applied:       m.applied,
		Snapshot:      c.Snapshot().Index,
		Configuration: c.Configuration(),
	}
	if u, ok := c.Lease(now); ok {
		s.Lease = u
	}
	if o := m.status.Load(); o == nil || o.Leader != s.Leader || o.Term != s.Term {
		r.d.Log.Info("leader", "group", m.group, "leader", s.Leader.VM, "term", s.Term)
	}
	m.status.Store(s)
}
