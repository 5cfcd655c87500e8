package consensus

import "time"

// preCampaign asks the voters whether they would vote for this replica, without starting a term: an election that can't
// succeed would only depose a working leader.
func (c *Core) preCampaign(now time.Time) {
	c.role = PreCandidate
	c.leader = Member{}
	c.votes = map[uint64]bool{c.s.Self.ID: true}
	c.deadline = now.Add(c.campaignRetry())
	c.requestVotes(Message{Kind: PreVote, Term: c.hard.Term + 1})
	if c.hasVoteQuorum() {
		c.campaign(now, false)
	}
}

// mayCampaign reports whether the replica is a voter, or was one before an uncommitted membership change. In the second
// case its log may be the only one that can win an election, and without it the change could neither be committed nor
// replaced.
func (c *Core) mayCampaign() bool {
	n := len(c.configs)
	if c.configs[n-1].c.Voter(c.s.Self.ID) {
		return true
	}
	return n > 1 && c.configs[n-1].index > c.commit && c.configs[n-2].c.Voter(c.s.Self.ID)
}

// campaign starts a term and requests votes. The replica's own vote is a message to itself, so that it counts only
// after it is synced.
func (c *Core) campaign(now time.Time, force bool) {
	c.role = Candidate
	c.leader = Member{}
	c.mayOverlapLease = force || c.leaderMayHoldLease(now)
	c.votes = map[uint64]bool{}
	c.deadline = now.Add(c.campaignRetry())
	c.setHard(HardState{Term: c.hard.Term + 1, Vote: c.s.Self.ID})
	c.sendSynced(Message{Kind: VoteResponse, To: c.s.Self})
	c.requestVotes(Message{Kind: Vote, Force: force})
}

// requestVotes sends m to all other voters with the position of this replica's last log entry.
func (c *Core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	for _, v := range c.Configuration().Voters {
		if v.ID == c.s.Self.ID {
			continue
		}
		m.To = v
		c.sendSynced(m)
	}
}

func (c *Core) onPreVote(now time.Time, m Message) {
	reject := m.Term <= c.hard.Term || c.leaderMayHoldLease(now) || !c.upToDate(m) || c.outranks(m)
	a := Message{Kind: PreVoteResponse, To: m.From, Term: m.Term, Reject: reject}
	if reject {
		a.Term = c.hard.Term
	}
	c.sendSynced(a)
}

// outranks reports whether this replica is asking for pre-votes in the same term with an equal log and has the greater
// ID. It then refuses the sender its pre-vote, so that the two do not split the votes.
func (c *Core) outranks(m Message) bool {
	return c.role == PreCandidate && m.Term == c.hard.Term+1 && c.s.Self.ID > m.From.ID &&
		m.LogTerm == c.log.lastTerm() && m.Index == c.log.last() && c.Configuration().Voter(c.s.Self.ID)
}

func (c *Core) onPreVoteResponse(now time.Time, m Message) {
	if m.Reject && m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term)
		return
	}
	if c.role != PreCandidate || m.Reject || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From.ID] = true
	if c.hasVoteQuorum() {
		c.campaign(now, false)
	}
}

func (c *Core) onVote(now time.Time, m Message) {
	mayVote := c.hard.Vote == 0 && c.leader == (Member{}) || c.hard.Vote == m.From.ID
	if !mayVote || !c.upToDate(m) || c.role == Leader {
		c.sendSynced(Message{Kind: VoteResponse, To: m.From, Reject: true})
		return
	}
	if c.hard.Vote == 0 {
		c.setHard(HardState{Term: c.hard.Term, Vote: m.From.ID})
	}
	c.deadline = now.Add(c.electionTimeout())
	c.sendSynced(Message{Kind: VoteResponse, To: m.From})
}

func (c *Core) onVoteResponse(now time.Time, m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.votes[m.From.ID] = true
	if c.hasVoteQuorum() {
		c.becomeLeader(now)
	}
}

func (c *Core) onCampaignNow(now time.Time) {
	if c.role == Follower && c.Configuration().Voter(c.s.Self.ID) {
		c.campaign(now, true)
	}
}

// hasVoteQuorum reports whether a quorum of the voters has granted the vote or pre-vote.
func (c *Core) hasVoteQuorum() bool {
	f := c.Configuration()
	n := 0
	for _, v := range f.Voters {
		if c.votes[v.ID] {
			n++
		}
	}
	return n >= f.Quorum()
}

// upToDate reports whether the sender's log is at least as up to date as this one: its last entry has a greater term,
// or the same term and no smaller index.
func (c *Core) upToDate(m Message) bool {
	t := c.log.lastTerm()
	return m.LogTerm > t || m.LogTerm == t && m.Index >= c.log.last()
}

// becomeLeader makes the replica the leader of the term and appends a no-op. Entries of earlier terms are committed
// together with it, as a leader may only count the replicas of entries of its own term.
func (c *Core) becomeLeader(now time.Time) {
	c.role = Leader
	c.leader = c.s.Self
	c.transferTarget = 0
	c.campaignNowSent = false
	c.leaderSince = now
	c.peers = map[uint64]*progress{}
	c.failReads()
	c.append(Entry{Term: c.hard.Term, Kind: NoOp})
	c.noOpIndex = c.log.last()
	c.ownMatch = 0
	c.syncPeers(now)
	c.heartbeat(now)
}
