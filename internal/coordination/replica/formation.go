package replica

import (
	"slices"
	"time"

	"snipetack/internal/coordination/consensus"
)

// Timing of the search for a group.
const (
	helloInterval     = 100 * time.Millisecond
	joiningExpiry     = 2 * time.Second
	deadLearnerFactor = 4               // times the silence of a dead voter; a learner costs nothing while it is silent
	noLeaderTimeout   = 2 * time.Second // a replica that heard no leader for this long may be a member no more
)

// joiningReplica is a replica without a part in the group, whose VM may have been in it with another replica.
type joiningReplica struct {
	id      uint64
	helloAt time.Time
}

// discoverGroups tells the other VMs of groups that are blank here or whose leader is silent, and founds those that nobody has.
//
// Only the first founder founds, and only after every other one has answered it that it has no part in the group.
// So a replica whose disk was lost can't found a second group while any part of the first is left.
func (r *Replica) discoverGroups(now time.Time) {
	for _, n := range r.groupIDs {
		m := r.groups[n]
		if !m.core.Blank() && now.Sub(m.leaderSeen) < noLeaderTimeout {
			continue
		}
		if m.core.Blank() && r.mayBootstrap(m) {
			r.bootstrap(now, m)
			continue
		}
		for _, v := range r.contacts(m) {
			if v != r.d.VM {
				r.outbox.hello(v, hello{Group: n, ID: r.id})
			}
		}
	}
}

// contacts returns the VMs that a replica without a leader asks.
func (r *Replica) contacts(m *groupReplica) []string {
	if r.d.Contacts == nil {
		return r.d.Founders
	}
	l := slices.Concat(r.d.Founders, r.d.Contacts())
	if m.leaderHint != "" {
		l = append(l, m.leaderHint)
	}
	slices.Sort(l)
	return slices.Compact(l)
}

func (r *Replica) mayBootstrap(m *groupReplica) bool {
	if len(r.d.Founders) == 0 || slices.Min(r.d.Founders) != r.d.VM {
		return false
	}
	for _, v := range r.d.Founders {
		if v != r.d.VM && m.blankPeers[v] == 0 {
			return false
		}
	}
	return true
}

func (r *Replica) bootstrap(now time.Time, m *groupReplica) {
	var l []consensus.Member
	for _, v := range r.d.Founders {
		id := m.blankPeers[v]
		if v == r.d.VM {
			id = r.id
		}
		l = append(l, consensus.Member{VM: v, ID: id})
	}
	r.d.Log.Info("founding a group", "group", m.group, "voters", len(l))
	m.core.Bootstrap(now, l)
}

func (r *Replica) onHello(now time.Time, m *groupReplica, from string, h hello) {
	if h.ResponseTo == 0 {
		if m.core.Role() == consensus.Leader {
			m.joining[from] = joiningReplica{id: h.ID, helloAt: now}
		}
		r.outbox.hello(from, hello{Group: m.group, ID: r.id, ResponseTo: h.ID, HasState: !m.core.Blank(), Leader: m.core.Leader().VM})
		return
	}
	if h.ResponseTo != r.id {
		return
	}
	if h.Leader != "" {
		m.leaderHint = h.Leader
	}
	if h.HasState {
		delete(m.blankPeers, from)
		return
	}
	m.blankPeers[from] = h.ID
}

// adjustMembership makes the next membership change that replaces a replica whose VM has come back with an empty disk.
//
// The new replica first learns the log; then the lost one goes, whose vote can never be had again; then the new
// one votes. So no step needs more live replicas than the one before.
func (r *Replica) adjustMembership(now time.Time, m *groupReplica) {
	f := m.core.Configuration()
	for vm, n := range m.joining {
		if now.Sub(n.helloAt) > joiningExpiry {
			delete(m.joining, vm)
			continue
		}
		if _, ok := f.Member(n.id); !ok && (hasVM(f, vm) || r.mayJoin(now, m, vm)) {
			r.changeMembership(now, m, replaceLearner(f, consensus.Member{VM: vm, ID: n.id}), "learner added")
			return
		}
	}
	for _, l := range f.Learners {
		if m.core.CaughtUp(now, l.ID) && r.promote(now, m, l) {
			return
		}
	}
	if r.d.Growth != nil && !r.removeDead(now, m) {
		r.removeLeaving(now, m)
	}
}

// promote makes the next change that lets a learner vote, and reports whether there was one.
func (r *Replica) promote(now time.Time, m *groupReplica, l consensus.Member) bool {
	f := m.core.Configuration()
	for _, v := range f.Voters {
		if v.VM == l.VM {
			r.changeMembership(now, m, f.Without(v.ID), "lost replica removed")
			return true
		}
	}
	g := r.d.Growth
	if g == nil {
		r.changeMembership(now, m, f.WithVoter(l), "learner promoted")
		return true
	}
	if slices.Contains(g.Leaving(), l.VM) {
		r.changeMembership(now, m, f.Without(l.ID), "leaving learner removed")
		return true
	}
	if v, ok := r.deadVoter(now, m); ok && m.core.Reachable(now, f.Without(v.ID)) {
		r.changeMembership(now, m, f.Without(v.ID), "dead voter removed")
		return true
	}
	leaves := func(v consensus.Member) bool { return slices.Contains(g.Leaving(), v.VM) }
	pair := len(f.Voters)+2 <= g.Voters && r.countCaughtUp(now, m) >= 2
	if len(f.Voters)%2 == 0 || pair || slices.ContainsFunc(f.Voters, leaves) {
		r.changeMembership(now, m, f.WithVoter(l), "learner promoted")
		return true
	}
	return false
}

// countCaughtUp counts the learners that could vote.
func (r *Replica) countCaughtUp(now time.Time, m *groupReplica) int {
	n := 0
	for _, l := range m.core.Configuration().Learners {
		if m.core.CaughtUp(now, l.ID) {
			n++
		}
	}
	return n
}

// mayJoin reports whether a VM that was never a member may learn: a vote is free, or will be.
func (r *Replica) mayJoin(now time.Time, m *groupReplica, vm string) bool {
	g := r.d.Growth
	if g == nil || slices.Contains(g.Leaving(), vm) {
		return false
	}
	f := m.core.Configuration()
	spare := 0
	for _, v := range f.Voters {
		if slices.Contains(g.Leaving(), v.VM) {
			spare++
		}
	}
	if _, ok := r.deadVoter(now, m); ok {
		spare++
	}
	return len(f.Members()) < g.Voters+spare
}

// deadVoter returns a voter that has been silent for too long.
func (r *Replica) deadVoter(now time.Time, m *groupReplica) (consensus.Member, bool) {
	for _, v := range m.core.Configuration().Voters {
		if m.core.UnresponsiveFor(now, v.ID) >= r.d.Growth.DeadAfter {
			return v, true
		}
	}
	return consensus.Member{}, false
}

// removeDead drops a dead voter of an even number, which bears no more losses than one less.
func (r *Replica) removeDead(now time.Time, m *groupReplica) bool {
	f := m.core.Configuration()
	for _, l := range f.Learners {
		if m.core.UnresponsiveFor(now, l.ID) >= deadLearnerFactor*r.d.Growth.DeadAfter {
			r.changeMembership(now, m, f.Without(l.ID), "dead learner removed")
			return true
		}
	}
	v, ok := r.deadVoter(now, m)
	if !ok || len(f.Voters)%2 != 0 || len(f.Voters) <= 2 || !m.core.Reachable(now, f.Without(v.ID)) {
		return false
	}
	r.changeMembership(now, m, f.Without(v.ID), "dead voter removed")
	return true
}

// removeLeaving takes the vote of a VM that is to leave, once enough others vote; a leader hands on first.
func (r *Replica) removeLeaving(now time.Time, m *groupReplica) {
	g := r.d.Growth
	f := m.core.Configuration()
	for _, v := range f.Members() {
		if !slices.Contains(g.Leaving(), v.VM) {
			continue
		}
		n := f.Without(v.ID)
		if len(n.Voters) < g.Fewest || !m.core.Reachable(now, n) {
			continue
		}
		if v.VM == r.d.VM {
			m.core.Transfer(now)
			return
		}
		r.changeMembership(now, m, n, "leaving replica removed")
		return
	}
}

func (r *Replica) changeMembership(now time.Time, m *groupReplica, f consensus.Configuration, what string) {
	if _, _, err := m.core.ChangeMembership(now, f); err == nil {
		r.d.Log.Info("membership change", "group", m.group, "change", what, "voters", len(f.Voters), "learners", len(f.Learners))
	}
}

// replaceLearner adds a learner in place of an earlier one of the same VM.
func replaceLearner(f consensus.Configuration, n consensus.Member) consensus.Configuration {
	for _, l := range f.Learners {
		if l.VM == n.VM {
			f = f.Without(l.ID)
		}
	}
	return f.WithLearner(n)
}

func hasVM(f consensus.Configuration, vm string) bool {
	return slices.ContainsFunc(f.Members(), func(m consensus.Member) bool { return m.VM == vm })
}
