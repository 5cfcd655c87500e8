package consensus

import "slices"

// Member identifies a replica by its VM and by the ID that was generated when its data folder was formatted. A VM
// whose data folder is formatted again is a new member.
type Member struct {
	VM string
	ID uint64
}

// Configuration lists the members of a group.
type Configuration struct {
	Voters   []Member
	Learners []Member // receive the log and do not vote
}

// Voter reports whether the replica with the given ID is a voter.
func (c Configuration) Voter(id uint64) bool {
	return containsID(c.Voters, id)
}

// Member returns the voter or learner with the given ID.
func (c Configuration) Member(id uint64) (Member, bool) {
	for _, m := range c.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Members returns a new slice of the voters followed by the learners.
func (c Configuration) Members() []Member {
	return append(slices.Clone(c.Voters), c.Learners...)
}

// Quorum returns how many voters make a majority.
func (c Configuration) Quorum() int {
	return len(c.Voters)/2 + 1
}

// WithLearner returns a copy of c in which m is a learner, also if it was a voter.
func (c Configuration) WithLearner(m Member) Configuration {
	n := c.Without(m.ID)
	n.Learners = append(n.Learners, m)
	return n
}

// WithVoter returns a copy of c in which m is a voter, also if it was a learner.
func (c Configuration) WithVoter(m Member) Configuration {
	n := c.Without(m.ID)
	n.Voters = append(n.Voters, m)
	return n
}

// Without returns a copy of c without the replica with the given ID.
func (c Configuration) Without(id uint64) Configuration {
	f := func(m Member) bool { return m.ID == id }
	return Configuration{
		Voters:   slices.DeleteFunc(slices.Clone(c.Voters), f),
		Learners: slices.DeleteFunc(slices.Clone(c.Learners), f),
	}
}

// distance returns the number of replicas that vote in only one of the two configurations.
func (c Configuration) distance(o Configuration) int {
	n := 0
	for _, m := range c.Voters {
		if !o.Voter(m.ID) {
			n++
		}
	}
	for _, m := range o.Voters {
		if !c.Voter(m.ID) {
			n++
		}
	}
	return n
}

func containsID(l []Member, id uint64) bool {
	return slices.ContainsFunc(l, func(m Member) bool { return m.ID == id })
}
