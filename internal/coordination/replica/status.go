package replica

import (
	"time"

	"snipetack/internal/coordination/consensus"
)

// Status is the state of a group as this replica knows it.
type Status struct {
	Group         uint32
	Leader        consensus.Member // zero when none is known
	LeaderHint    string           // VM that leads according to others; only where Leader is zero, and empty when none is known
	Term          uint64
	Leads         bool                    // this replica is the leader
	Lease         time.Time               // time by this VM's clock until which no other replica can lead; zero without a lease
	Last          uint64                  // index of the last entry
	Commit        uint64                  // index up to which entries are known to be committed
	Applied       uint64                  // index up to which entries are applied
	Snapshot      uint64                  // index of the newest snapshot; 0 for none
	LogBytes      uint64                  // bytes of the entries in memory
	Configuration consensus.Configuration // in force; a newer leader may still replace it
	Committed     consensus.Configuration // the newest that is known to be committed

	clocks clocks // when the status was published
}

// Leader returns the VM of a group's leader and its term, the newest that this replica knows. A replica that has no leader
// returns the VM that others have named within leaderHintExpiry, or "".
func (r *Replica) Leader(group uint32) (vm string, term uint64) {
	s := r.statusOf(group)
	if s.Leader.VM == "" {
		return s.LeaderHint, s.Term
	}
	return s.Leader.VM, s.Term
}

// Lease returns the term in which this replica leads a group, and the time by this VM's clock until which no other
// replica can lead. It returns false if this replica holds no lease now.
//
// The lease starts when the heartbeats that a quorum has confirmed were sent.
func (r *Replica) Lease(group uint32) (term uint64, until time.Time, ok bool) {
	s := r.statusOf(group)
	c := r.readClocks()
	if !s.Leads || !c.steady.Before(s.Lease) || c.suspendedSince(s.clocks) {
		return 0, time.Time{}, false
	}
	return s.Term, s.Lease, true
}

// Status returns the status of every group, ordered by group number.
func (r *Replica) Status() []Status {
	var l []Status
	for _, n := range r.groupIDs {
		l = append(l, r.statusOf(n))
	}
	return l
}

// ID returns the replica ID, which was generated when the data folder was formatted.
func (r *Replica) ID() uint64 {
	return r.id
}

// Syncs returns how many batches were written or are being written.
func (r *Replica) Syncs() uint64 {
	return r.syncs.Load()
}

// JournalBytes returns the size of the journal after the newest batch.
func (r *Replica) JournalBytes() int64 {
	return r.journalBytes.Load()
}

// statusOf returns the published status of a group. Only Group is set before the first one and for unknown groups.
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

// publishStatus stores the status for readers in other goroutines. It is called before the collected messages are sent,
// so that the status is visible before another replica can respond to a message that depends on it.
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
		LogBytes:      c.LogBytes(),
		Configuration: c.Configuration(),
		Committed:     c.ConfigurationAt(c.Commit()),
		clocks:        r.clocks,
	}
	if u, ok := c.Lease(now); ok {
		s.Lease = u
	}
	if s.Leader.VM == "" && now.Sub(m.leaderHintAt) < leaderHintExpiry {
		s.LeaderHint = m.leaderHint
	}
	if o := m.status.Load(); o == nil || o.Leader != s.Leader || o.Term != s.Term {
		r.d.Log.Info("leader", "group", m.group, "leader", s.Leader.VM, "term", s.Term)
	}
	m.status.Store(s)
}
