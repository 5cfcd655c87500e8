package consensus

import (
	"slices"
	"time"
)

// Change appends a membership change that differs by at most one voter from the configuration in force.
func (c *Core) Change(now time.Time, f Configuration) (index, term uint64, err error) {
	if c.role != Leader || c.target != 0 {
		return 0, 0, NotLeader{Leader: c.leader}
	}
	newest := c.configs[len(c.configs)-1].index
	if newest > c.commit || c.commit < c.termAt || c.Configuration().distance(f) > 1 || len(f.Voters) == 0 {
		return 0, 0, ErrBusy
	}
	c.append(Entry{Term: c.hard.Term, Kind: Membership, Data: EncodeConfiguration(f)})
	c.syncPeers(now)
	return c.log.last(), c.hard.Term, nil
}

// Transfer hands leadership to the voter that has the most of the log; no command is taken meanwhile.
func (c *Core) Transfer(now time.Time) {
	if c.role != Leader || c.target != 0 {
		return
	}
	var best uint64
	var match uint64
	for _, v := range c.Configuration().Voters {
		p := c.peers[v.ID]
		if p != nil && p.match >= match && c.alive(p, now) {
			best, match = v.ID, p.match
		}
	}
	if best == 0 {
		return
	}
	c.target = best
	c.giveUp = now.Add(c.s.Timing.ElectionMin)
	c.hand(c.peers[best])
}

// Sending reports whether a live member is being sent the newest snapshot, which would start anew with another.
func (c *Core) Sending(now time.Time) bool {
	for _, p := range c.peers {
		if p.snapshot != nil && c.alive(p, now) {
			return true
		}
	}
	return false
}

// Match returns up to which index a member is known to be synced; the leader alone knows.
func (c *Core) Match(id uint64) uint64 {
	if id == c.s.Self.ID {
		return c.synced
	}
	if p := c.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// CaughtUp reports whether a member answers and has nearly all that is committed, so that it may vote.
func (c *Core) CaughtUp(now time.Time, id uint64) bool {
	p := c.peers[id]
	return p != nil && c.alive(p, now) && p.match+promoteLag >= c.commit
}

// Reachable reports whether a majority of a configuration's voters answers now.
func (c *Core) Reachable(now time.Time, f Configuration) bool {
	n := 0
	for _, v := range f.Voters {
		if p := c.peers[v.ID]; v.ID == c.s.Self.ID || p != nil && c.alive(p, now) {
			n++
		}
	}
	return n >= f.Quorum()
}

// Lease returns until when no other replica can lead, by this replica's clock.
func (c *Core) Lease(now time.Time) (until time.Time, ok bool) {
	t := c.s.Timing
	if c.role != Leader || c.told || c.commit < c.termAt {
		return time.Time{}, false
	}
	if c.early && now.Sub(c.ledAt) < t.ElectionMin {
		return time.Time{}, false
	}
	base := c.confirmed(now)
	until = base.Add(t.ElectionMin - t.ElectionMin/time.Duration(t.DriftDenom))
	return until, now.Before(until)
}

func (c *Core) tickLeader(now time.Time) {
	if now.Sub(c.ledAt) > c.s.Timing.ElectionMin && now.Sub(c.confirmed(now)) > c.s.Timing.ElectionMin {
		c.follow(now, c.hard.Term)
		return
	}
	if c.target != 0 && now.After(c.giveUp) {
		c.follow(now, c.hard.Term)
		return
	}
	if now.Before(c.beat) {
		return
	}
	c.heartbeat(now)
}

// heartbeat confirms leadership and sends again what was lost.
func (c *Core) heartbeat(now time.Time) {
	c.beat = c.nextBeat(now)
	t := c.clock(now)
	for _, v := range c.Configuration().Members() {
		p := c.peers[v.ID]
		if p == nil {
			continue
		}
		c.send(Message{Kind: Heartbeat, To: v, Commit: min(c.commit, p.match), Sent: t})
		if now.Sub(p.moved) > c.s.Timing.Resend && (p.inflight > 0 || p.paused || p.snapshot != nil) {
			c.resend(now, v, p)
		}
	}
}

// nextBeat returns the next heartbeat, at which the groups that a replica has started together share messages.
func (c *Core) nextBeat(now time.Time) time.Time {
	t := c.s.Timing.Heartbeat
	return now.Add(t - now.Sub(c.origin)%t)
}

func (c *Core) resend(now time.Time, v Member, p *progress) {
	if p.snapshot != nil {
		p.moved = now
		c.sendChunk(v, p)
		return
	}
	p.probe(p.match+1, now)
	c.replicate(now, v, p)
}

// syncPeers keeps one progress for each other member.
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

// replicate sends what a member lacks, as far as its window allows.
func (c *Core) replicate(now time.Time, v Member, p *progress) {
	for !p.blocked() && (p.probing || p.next <= c.log.last()) {
		prev := p.next - 1
		t, ok := c.log.termAt(prev)
		if !ok {
			c.startSnapshot(now, v, p)
			return
		}
		l := c.log.slice(p.next, c.log.last(), maxAppendBytes)
		if p.inflight == 0 {
			p.moved = now
		}
		p.inflight++
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
	p.moved = now
	c.sendChunk(v, p)
}

func (c *Core) sendChunk(v Member, p *progress) {
	if p.snapshot.Index != c.snap.Index {
		s := c.snap
		p.snapshot = &s
		p.offset = 0
	}
	s := *p.snapshot
	c.send(Message{Kind: SnapshotChunk, To: v, Snapshot: &s, Offset: p.offset})
}

func (c *Core) onAppendAnswer(now time.Time, m Message) {
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
	c.hand(p)
}

func (c *Core) onReject(now time.Time, m Message, p *progress) {
	if m.Index <= p.match || p.probing && m.Index != p.next-1 {
		return
	}
	p.probe(min(m.Index, c.log.matchHint(m.Hint, m.LogTerm)+1), now)
	c.replicate(now, m.From, p)
}

func (c *Core) onHeartbeatAnswer(now time.Time, m Message) {
	p := c.peers[m.From.ID]
	if c.role != Leader || p == nil {
		return
	}
	p.acked = max(p.acked, m.Sent)
	c.serveReads(now)
	c.replicate(now, m.From, p)
}

func (c *Core) onChunkAnswer(now time.Time, m Message) {
	p := c.peers[m.From.ID]
	if c.role != Leader || p == nil || p.snapshot == nil || m.Index != p.snapshot.Index {
		return
	}
	if m.Offset == p.offset && !m.Reject {
		return
	}
	p.offset = min(m.Offset, p.snapshot.Size)
	p.moved = now
	c.sendChunk(m.From, p)
}

// advanceCommit commits what a quorum has synced; own is what this replica has synced, if more than known.
func (c *Core) advanceCommit(now time.Time, own uint64) {
	f := c.Configuration()
	c.synced = max(c.synced, own)
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
		c.follow(now, c.hard.Term)
		return
	}
	c.tellCommit(now)
}

// tellCommit lets members that have everything know at once what is committed.
func (c *Core) tellCommit(now time.Time) {
	t := c.clock(now)
	for _, v := range c.Configuration().Members() {
		if p := c.peers[v.ID]; p != nil && p.match >= c.commit && p.inflight == 0 {
			c.send(Message{Kind: Heartbeat, To: v, Commit: c.commit, Sent: t})
		}
	}
}

// hand tells the target of a transfer to campaign once it has everything.
func (c *Core) hand(p *progress) {
	if c.target == 0 || c.peers[c.target] != p || p.match < c.log.last() || c.told {
		return
	}
	m, ok := c.Configuration().Member(c.target)
	if !ok {
		return
	}
	c.told = true
	c.send(Message{Kind: CampaignNow, To: m})
}

// confirmed returns when the newest round was sent that a quorum has answered.
func (c *Core) confirmed(now time.Time) time.Time {
	f := c.Configuration()
	l := make([]uint64, 0, len(f.Voters))
	for _, v := range f.Voters {
		switch p := c.peers[v.ID]; {
		case v.ID == c.s.Self.ID:
			l = append(l, max(c.ticks, uint64(now.Sub(c.origin))))
		case p != nil:
			l = append(l, p.acked)
		default:
			l = append(l, 0)
		}
	}
	slices.Sort(l)
	return c.origin.Add(time.Duration(l[len(l)-f.Quorum()]))
}

func (c *Core) alive(p *progress, now time.Time) bool {
	return now.Sub(c.origin.Add(time.Duration(p.acked))) < c.s.Timing.ElectionMin
}

// Silence returns for how long a member has not answered this leader; it counts from when the leader first knew the member.
func (c *Core) Silence(now time.Time, id uint64) time.Duration {
	p := c.peers[id]
	if p == nil || id == c.s.Self.ID {
		return 0
	}
	return now.Sub(later(c.origin.Add(time.Duration(p.acked)), p.since))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clock returns the time since the core began in ns; no two readings are equal, and none is 0.
func (c *Core) clock(now time.Time) uint64 {
	c.ticks = max(c.ticks+1, uint64(now.Sub(c.origin)))
	return c.ticks
}
