package consensus

import (
	"slices"
	"time"
)

// ChangeMembership appends a configuration that differs by at most one voter from the one in force, and returns its
// index and term. It returns NotLeader or ErrBusy if the change can't be started now.
func (c *Core) ChangeMembership(now time.Time, f Configuration) (index, term uint64, err error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, 0, NotLeader{Leader: c.leader}
	}
	newest := c.configs[len(c.configs)-1].index
	if newest > c.commit || c.commit < c.noOpIndex || c.Configuration().distance(f) > 1 || len(f.Voters) == 0 {
		return 0, 0, ErrBusy
	}
	c.append(Entry{Term: c.hard.Term, Kind: Membership, Data: EncodeConfiguration(f)})
	c.syncPeers(now)
	return c.log.last(), c.hard.Term, nil
}

// Transfer starts to transfer leadership to the responsive voter with the longest matching log. It does nothing if
// there is no such voter. Commands and membership changes are refused meanwhile. The leader steps down if the target
// has not taken over within Timing.ElectionMin.
func (c *Core) Transfer(now time.Time) {
	if c.role != Leader || c.transferTarget != 0 {
		return
	}
	var best uint64
	var match uint64
	for _, v := range c.Configuration().Voters {
		p := c.peers[v.ID]
		if p != nil && p.match >= match && c.responsive(p, now) {
			best, match = v.ID, p.match
		}
	}
	if best == 0 {
		return
	}
	c.transferTarget = best
	c.transferDeadline = now.Add(c.s.Timing.ElectionMin)
	c.finishTransfer(c.peers[best])
}

// SendingSnapshot reports whether a snapshot is being sent to a responsive member. If the driver took a newer snapshot
// now, that transfer would restart with it.
func (c *Core) SendingSnapshot(now time.Time) bool {
	for _, p := range c.peers {
		if p.snapshot != nil && c.responsive(p, now) {
			return true
		}
	}
	return false
}

// Match returns the index up to which the log of a member is known to be synced, or 0 for unknown members. The result
// is valid only on the leader.
func (c *Core) Match(id uint64) uint64 {
	if id == c.s.Self.ID {
		return c.ownMatch
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// CaughtUp reports whether a member is responsive and lacks at most promoteLag committed entries, so that it may become
// a voter. It is false on replicas that do not lead.
func (c *Core) CaughtUp(now time.Time, id uint64) bool {
	p := c.peers[id]
	return p != nil && c.responsive(p, now) && p.match+promoteLag >= c.commit
}

// Reachable reports whether a majority of the voters of f is responsive, so that f could commit entries. The
// result is valid only on the leader.
func (c *Core) Reachable(now time.Time, f Configuration) bool {
	n := 0
	for _, v := range f.Voters {
		if p := c.peers[v.ID]; v.ID == c.s.Self.ID || p != nil && c.responsive(p, now) {
			n++
		}
	}
	return n >= f.Quorum()
}

// Lease returns the time by this replica's clock until which no other replica can lead, and whether now is before it.
// The lease lasts ElectionMin, less the allowance for clock drift, from the newest heartbeat round that a quorum has
// confirmed. There is no lease before the first entry of the term is committed, after CampaignNow was sent, or while
// the previous leader's lease may still hold.
func (c *Core) Lease(now time.Time) (until time.Time, ok bool) {
	t := c.s.Timing
	if c.role != Leader || c.campaignNowSent || c.commit < c.noOpIndex {
		return time.Time{}, false
	}
	if c.mayOverlapLease && now.Sub(c.leaderSince) < t.ElectionMin {
		return time.Time{}, false
	}
	base := c.quorumConfirmedAt(now)
	if !base.After(c.leaseAfter) {
		return time.Time{}, false
	}
	until = base.Add(t.ElectionMin - t.ElectionMin/time.Duration(t.DriftDenom))
	return until, now.Before(until)
}

// VoidLease ends the lease, because time has passed that now does not count. A new one begins with the heartbeat round
// that a leader sends now.
func (c *Core) VoidLease(now time.Time) {
	c.leaseAfter = c.origin.Add(time.Duration(c.clock(now)))
	if c.role == Leader {
		c.heartbeat(now)
	}
}

// tickLeader steps down if no quorum has confirmed the leadership within ElectionMin or a transfer has not finished in
// time; otherwise it sends a heartbeat when due.
func (c *Core) tickLeader(now time.Time) {
	if now.Sub(c.leaderSince) > c.s.Timing.ElectionMin && now.Sub(c.quorumConfirmedAt(now)) > c.s.Timing.ElectionMin {
		c.becomeFollower(now, c.hard.Term)
		return
	}
	if c.transferTarget != 0 && now.After(c.transferDeadline) {
		c.becomeFollower(now, c.hard.Term)
		return
	}
	if now.Before(c.heartbeatAt) {
		return
	}
	c.heartbeat(now)
}

// heartbeat sends a heartbeat round, which confirms the leadership, and resends what had no response within
// Timing.Resend.
func (c *Core) heartbeat(now time.Time) {
	c.heartbeatAt = c.nextHeartbeat(now)
	t := c.clock(now)
	for _, v := range c.Configuration().Members() {
		p := c.peers[v.ID]
		if p == nil {
			continue
		}
		c.send(Message{Kind: Heartbeat, To: v, Commit: min(c.commit, p.match), Sent: t})
		if now.Sub(p.resendFrom) > c.s.Timing.Resend && (len(p.inflight) > 0 || p.paused || p.snapshot != nil) {
			c.resend(now, v, p)
		}
	}
}

// nextHeartbeat returns the time of the next heartbeat. It is a multiple of the interval from origin, so that groups
// whose cores were started together send heartbeats at the same time, in shared messages.
func (c *Core) nextHeartbeat(now time.Time) time.Time {
	t := c.s.Timing.Heartbeat
	return now.Add(t - now.Sub(c.origin)%t)
}

func (c *Core) resend(now time.Time, v Member, p *progress) {
	if p.snapshot != nil {
		p.resendFrom = now
		c.sendChunk(v, p)
		return
	}
	p.probe(p.match+1, now)
	c.replicate(now, v, p)
}

// syncPeers adds a progress for each new other member and removes those of former members.
func (c *Core) syncPeers(now time.Time) {
	f := c.Configuration()
	for _, m := range f.Members() {
		if m.ID != c.s.Self.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = newProgress(c.log.last(), now)
		}
	}
	for id := range c.peers {
		if _, ok := f.Member(id); !ok {
			delete(c.peers, id)
		}
	}
}

func (c *Core) broadcast(now time.Time) {
	for _, v := range c.Configuration().Members() {
		if p := c.peers[v.ID]; p != nil {
			c.replicate(now, v, p)
		}
	}
}

// replicate sends a member the entries that it lacks, as far as its window allows, or a snapshot if the log no longer
// holds them. While probing it sends one append, even without entries, to find out whether the logs match.
func (c *Core) replicate(now time.Time, v Member, p *progress) {
	for !p.blocked() && (p.probing || p.next <= c.log.last()) {
		prev := p.next - 1
		t, ok := c.log.termAt(prev)
		if !ok {
			c.startSnapshot(now, v, p)
			return
		}
		l := c.log.slice(p.next, c.log.last(), maxAppendBytes)
		if len(p.inflight) == 0 {
			p.resendFrom = now
		}
		p.sent(sentAppend{last: prev + uint64(len(l)), bytes: sizeOf(l...)})
		c.send(Message{Kind: Append, To: v, Index: prev, LogTerm: t, Commit: c.commit, Entries: l})
		if p.probing {
			p.paused = true
			return
		}
		p.next += uint64(len(l))
	}
}

func (c *Core) startSnapshot(now time.Time, v Member, p *progress) {
	s := c.snap
	p.snapshot = &s
	p.offset = 0
	p.resendFrom = now
	c.sendChunk(v, p)
}

// sendChunk sends the chunk at the member's offset. If there is a newer snapshot, the transfer restarts with that one,
// as the driver may have removed the older content.
func (c *Core) sendChunk(v Member, p *progress) {
	if p.snapshot.Index != c.snap.Index {
		s := c.snap
		p.snapshot = &s
		p.offset = 0
	}
	s := *p.snapshot
	c.send(Message{Kind: SnapshotChunk, To: v, Snapshot: &s, Offset: p.offset})
}

func (c *Core) onAppendResponse(now time.Time, m Message) {
	if c.role != Leader {
		return
	}
	if m.From.ID == c.s.Self.ID {
		c.advanceCommit(now, m.Index)
		return
	}
	p := c.peers[m.From.ID]
	if p == nil {
		return
	}
	if m.Reject {
		c.onReject(now, m, p)
		return
	}
	p.advance(m.Index, now)
	c.advanceCommit(now, 0)
	if c.role != Leader {
		return
	}
	c.replicate(now, m.From, p)
	c.finishTransfer(p)
}

// onReject returns to probing at the last index that may match. It ignores outdated responses: to an index known to
// match, or to another append than the current probe.
func (c *Core) onReject(now time.Time, m Message, p *progress) {
	if m.Index <= p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.probe(min(m.Index, c.log.matchHint(m.Hint, m.LogTerm)+1), now)
	c.replicate(now, m.From, p)
}

func (c *Core) onHeartbeatResponse(now time.Time, m Message) {
	p := c.peers[m.From.ID]
	if c.role != Leader || p == nil {
		return
	}
	p.acked = max(p.acked, m.Sent)
	c.serveReads(now)
	c.replicate(now, m.From, p)
}

func (c *Core) onSnapshotResponse(now time.Time, m Message) {
	p := c.peers[m.From.ID]
	if c.role != Leader || p == nil || p.snapshot == nil || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset && !m.Reject {
		return
	}
	p.offset = min(m.Offset, p.snapshot.Size)
	p.resendFrom = now
	c.sendChunk(m.From, p)
}

// advanceCommit commits the entries that a quorum has synced if the last of them is of the current term: an entry of an
// earlier term can still be replaced although a quorum has it. own is the index that this replica has synced, or 0 if
// unchanged. A leader that the committed configuration no longer has as a voter steps down.
func (c *Core) advanceCommit(now time.Time, own uint64) {
	f := c.Configuration()
	c.ownMatch = max(c.ownMatch, own)
	l := make([]uint64, 0, len(f.Voters))
	for _, v := range f.Voters {
		l = append(l, c.Match(v.ID))
	}
	slices.Sort(l)
	n := l[len(l)-f.Quorum()]
	if t, _ := c.log.termAt(n); n <= c.commit || t != c.hard.Term {
		return
	}
	c.commit = n
	c.serveReads(now)
	if c.configs[len(c.configs)-1].index <= c.commit && !f.Voter(c.s.Self.ID) {
		c.heartbeat(now)
		c.becomeFollower(now, c.hard.Term)
		return
	}
	c.notifyCommit(now)
}

// notifyCommit sends the commit index immediately to members that have all committed entries and no append in flight.
// The others receive it with the next append or heartbeat.
func (c *Core) notifyCommit(now time.Time) {
	t := c.clock(now)
	for _, v := range c.Configuration().Members() {
		if p := c.peers[v.ID]; p != nil && p.match >= c.commit && len(p.inflight) == 0 {
			c.send(Message{Kind: Heartbeat, To: v, Commit: c.commit, Sent: t})
		}
	}
}

// finishTransfer tells the target of a leadership transfer to start an election, once, when its log is complete.
func (c *Core) finishTransfer(p *progress) {
	if c.transferTarget == 0 || c.peers[c.transferTarget] != p || p.match < c.log.last() || c.campaignNowSent {
		return
	}
	m, ok := c.Configuration().Member(c.transferTarget)
	if !ok {
		return
	}
	c.campaignNowSent = true
	c.send(Message{Kind: CampaignNow, To: m})
}

// quorumConfirmedAt returns the time at which the newest heartbeat round was sent that a quorum has responded to. This
// replica counts as having responded now.
func (c *Core) quorumConfirmedAt(now time.Time) time.Time {
	f := c.Configuration()
	l := make([]uint64, 0, len(f.Voters))
	for _, v := range f.Voters {
		switch p := c.peers[v.ID]; {
		case v.ID == c.s.Self.ID:
			l = append(l, max(c.lastClock, uint64(now.Sub(c.origin))))
		case p != nil:
			l = append(l, p.acked)
		default:
			l = append(l, 0)
		}
	}
	slices.Sort(l)
	return c.origin.Add(time.Duration(l[len(l)-f.Quorum()]))
}

// responsive reports whether a member responded to a heartbeat round sent within ElectionMin.
func (c *Core) responsive(p *progress, now time.Time) bool {
	return now.Sub(c.origin.Add(time.Duration(p.acked))) < c.s.Timing.ElectionMin
}

// UnresponsiveFor returns the time since the newest heartbeat round that a member responded to was sent, or since the
// leader started to track the member if that is later. It returns 0 for this replica, for unknown members and on
// replicas that do not lead.
func (c *Core) UnresponsiveFor(now time.Time, id uint64) time.Duration {
	p := c.peers[id]
	if p == nil || id == c.s.Self.ID {
		return 0
	}
	return now.Sub(later(c.origin.Add(time.Duration(p.acked)), p.addedAt))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clock returns the time since origin in ns. Readings always increase and are never 0, so that each identifies one
// heartbeat round or read.
func (c *Core) clock(now time.Time) uint64 {
	c.lastClock = max(c.lastClock+1, uint64(now.Sub(c.origin)))
	return c.lastClock
}
