package replica

import (
	"slices"
	"time"

	"snipetack/internal/coordination/consensus"
)

// Timing of hellos and of the membership changes that follow from them.
const (
	helloInterval     = 100 * time.Millisecond
	leaderInterval    = 700 * time.Millisecond // between hellos to a known leader, where there are more than maxHellos contacts
	maxHellos         = 8                      // VMs that get a hello at a time; with all of them it would be the square of the fleet
	joiningExpiry     = 2 * time.Second        // a replica that sent no hello for this long is down or has a leader
	deadLearnerFactor = 4                      // times Growth.DeadAfter; an unresponsive learner does not weaken the quorum
	noLeaderTimeout   = 2 * time.Second        // a replica without a leader for this long may have been removed from the group
	announceInterval  = 500 * time.Millisecond
	leaderHintExpiry  = 4 * announceInterval
)

// joiningReplica is a replica that is blank or has no leader and sends hellos. Its VM may be in the group with another
// replica ID, which was lost with the disk.
type joiningReplica struct {
	id      uint64
	helloAt time.Time
}

// discoverGroups sends hellos for the groups in which this replica is blank or has had no leader for noLeaderTimeout,
// and bootstraps groups that no initial member has any state of.
//
// Only the initial member whose name sorts first bootstraps a group, and only after each of the others has responded
// that it is blank. A replica that has heard of a leader is not blank, even if it never becomes a member. So initial
// members that lost their disks can't create the group a second time unless all did so before they heard of it.
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
		for _, v := range r.helloTargets(now, m) {
			if v != r.d.VM {
				r.outbox.hello(v, hello{Group: n, ID: r.id})
			}
		}
	}
}

// helloTargets returns the VMs that get a hello now: all contacts, or in a large fleet the leader while one is known, else the initial
// members, the members that this replica knows and some of the others in turn.
func (r *Replica) helloTargets(now time.Time, m *groupReplica) []string {
	l := r.contacts(m)
	if len(l) <= maxHellos {
		return l
	}
	if m.leaderHint != "" && now.Sub(m.leaderHintAt) < leaderHintExpiry {
		if now.Sub(m.leaderHelloAt) < leaderInterval {
			return nil
		}
		m.leaderHelloAt = now
		return []string{m.leaderHint}
	}
	first := slices.Clone(r.d.InitialMembers)
	for _, x := range m.core.Configuration().Members() {
		first = append(first, x.VM)
	}
	slices.Sort(first)
	first = slices.Compact(first)
	others := slices.DeleteFunc(l, func(v string) bool { return slices.Contains(first, v) })
	for range min(len(others), max(1, maxHellos-len(first))) {
		m.helloTurn++
		first = append(first, others[m.helloTurn%len(others)])
	}
	return first
}

// announce tells the contacts that have no responsive replica in the group that this replica leads. After a restart of all
// VMs they may know no member, and only members know the others' addresses from their disks. A contact that has lost its disk
// is still in the configuration, under its lost replica's ID.
func (r *Replica) announce(now time.Time, m *groupReplica) {
	if r.d.Contacts == nil || now.Sub(m.announcedAt) < announceInterval {
		return
	}
	m.announcedAt = now
	responsive := map[string]bool{r.d.VM: true}
	for _, x := range m.core.Configuration().Members() {
		if m.core.UnresponsiveFor(now, x.ID) < announceInterval {
			responsive[x.VM] = true
		}
	}
	for _, v := range r.contacts(m) {
		if j, ok := m.joining[v]; ok && now.Sub(j.helloAt) < joiningExpiry {
			continue // knows this leader from the response to its hello
		}
		if !responsive[v] {
			r.outbox.hello(v, hello{Group: m.group, ID: r.id, HasState: true, Leader: r.d.VM, Announcement: true})
		}
	}
}

// contacts returns the VMs that may have a replica of the group or know one.
func (r *Replica) contacts(m *groupReplica) []string {
	if r.d.Contacts == nil {
		return r.d.InitialMembers
	}
	l := slices.Concat(r.d.InitialMembers, r.d.Contacts())
	for _, x := range m.core.Configuration().Members() {
		l = append(l, x.VM)
	}
	if m.leaderHint != "" {
		l = append(l, m.leaderHint)
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// mayBootstrap reports whether this VM is the first initial member and all others have responded that they are blank.
func (r *Replica) mayBootstrap(m *groupReplica) bool {
	if len(r.d.InitialMembers) == 0 || slices.Min(r.d.InitialMembers) != r.d.VM {
		return false
	}
	for _, v := range r.d.InitialMembers {
		if v != r.d.VM && m.blankPeers[v] == 0 {
			return false
		}
	}
	return true
}

// bootstrap creates the group with all initial members as voters.
func (r *Replica) bootstrap(now time.Time, m *groupReplica) {
	var l []consensus.Member
	for _, v := range r.d.InitialMembers {
		id := m.blankPeers[v]
		if v == r.d.VM {
			id = r.id
		}
		l = append(l, consensus.Member{VM: v, ID: id})
	}
	r.d.Log.Info("bootstrapping group", "group", m.group, "voters", len(l))
	m.core.Bootstrap(now, l)
}

// onHello responds to a request, which the leader also records as a joining replica, or records a response to a request
// of this replica. Responses to an earlier replica of this VM are ignored.
func (r *Replica) onHello(now time.Time, m *groupReplica, from string, h hello) {
	if h.Leader != "" {
		m.core.Discover()
	}
	if h.Announcement {
		m.leaderHint, m.leaderHintAt = h.Leader, now
		return
	}
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
		m.leaderHint, m.leaderHintAt = h.Leader, now
	}
	if h.HasState {
		delete(m.blankPeers, from)
		return
	}
	m.blankPeers[from] = h.ID
}

// adjustMembership starts at most one membership change on the leader: it adds joining replicas as learners, promotes
// learners that have caught up, and with Deps.Growth removes dead and leaving members.
//
// A replica whose VM has restarted with an empty disk is replaced in three steps: the new replica becomes a learner and
// receives the log; the lost replica, which can't vote any more, is removed; the new replica becomes a voter. So no
// step needs more live replicas than the one before.
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

// promote starts the next change that is needed before a learner that has caught up can vote, and reports whether there
// was one. With Deps.Growth the number of voters is kept odd: a learner is promoted alone if the number is even or a
// voter is dead or leaving, otherwise only if a second learner can follow.
//
// A dead voter is replaced before it is removed, because it may still have its disk: with one voter less, the group
// could lose its majority for good when others lose theirs.
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
	_, dead := r.deadVoter(now, m)
	if dead && len(f.Voters) > g.MaxVoters {
		return false
	}
	leaves := func(v consensus.Member) bool { return slices.Contains(g.Leaving(), v.VM) }
	pair := len(f.Voters)+2 <= g.MaxVoters && r.countCaughtUp(now, m) >= 2
	if len(f.Voters)%2 == 0 || pair || dead || slices.ContainsFunc(f.Voters, leaves) {
		r.changeMembership(now, m, f.WithVoter(l), "learner promoted")
		return true
	}
	return false
}

// countCaughtUp returns the number of learners that could become voters.
func (r *Replica) countCaughtUp(now time.Time, m *groupReplica) int {
	n := 0
	for _, l := range m.core.Configuration().Learners {
		if m.core.CaughtUp(now, l.ID) {
			n++
		}
	}
	return n
}

// mayJoin reports whether a VM that is not in the group may become a learner: it is a candidate, and there are fewer members
// than Growth.MaxVoters, not counting voters that are leaving and one dead voter.
func (r *Replica) mayJoin(now time.Time, m *groupReplica, vm string) bool {
	g := r.d.Growth
	if g == nil || slices.Contains(g.Leaving(), vm) {
		return false
	}
	if g.Candidates != nil && !slices.Contains(g.Candidates(), vm) {
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
	return len(f.Members()) < g.MaxVoters+spare
}

// deadVoter returns a voter that has been unresponsive for Growth.DeadAfter.
func (r *Replica) deadVoter(now time.Time, m *groupReplica) (consensus.Member, bool) {
	for _, v := range m.core.Configuration().Voters {
		if m.core.UnresponsiveFor(now, v.ID) >= r.d.Growth.DeadAfter {
			return v, true
		}
	}
	return consensus.Member{}, false
}

// removeDead removes a dead learner, or a dead voter if the number of voters is even and at least Growth.MinVoters
// remain, and reports whether it did. An even number of voters tolerates no more failures than one voter less. If the
// number is odd, promote first adds a voter that replaces a dead one.
func (r *Replica) removeDead(now time.Time, m *groupReplica) bool {
	f := m.core.Configuration()
	for _, l := range f.Learners {
		if m.core.UnresponsiveFor(now, l.ID) >= deadLearnerFactor*r.d.Growth.DeadAfter {
			r.changeMembership(now, m, f.Without(l.ID), "dead learner removed")
			return true
		}
	}
	v, ok := r.deadVoter(now, m)
	if !ok || len(f.Voters)%2 != 0 || len(f.Voters) <= max(2, r.d.Growth.MinVoters) || !m.core.Reachable(now, f.Without(v.ID)) {
		return false
	}
	r.changeMembership(now, m, f.Without(v.ID), "dead voter removed")
	return true
}

// removeLeaving removes the member of a VM that is to leave, if at least Growth.MinVoters voters and a responsive
// majority remain. If this replica is to leave, it transfers leadership instead, and the next leader removes it.
func (r *Replica) removeLeaving(now time.Time, m *groupReplica) {
	g := r.d.Growth
	f := m.core.Configuration()
	for _, v := range f.Members() {
		if !slices.Contains(g.Leaving(), v.VM) {
			continue
		}
		n := f.Without(v.ID)
		if len(n.Voters) < g.MinVoters || !m.core.Reachable(now, n) {
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

// changeMembership starts a change; if the core refuses it, a later tick tries again.
func (r *Replica) changeMembership(now time.Time, m *groupReplica, f consensus.Configuration, what string) {
	if _, _, err := m.core.ChangeMembership(now, f); err == nil {
		r.d.Log.Info("membership change", "group", m.group, "change", what, "voters", len(f.Voters), "learners", len(f.Learners))
	}
}

// replaceLearner returns a copy of f with n as a learner, without any other learner of the same VM.
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
