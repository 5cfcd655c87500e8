package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Bounds of messages and the log.
const (
	maxAppendBytes = 256 << 10
	maxInflight    = 64
	ChunkBytes     = 256 << 10 // of a snapshot in one message
	entryOverhead  = 16
	promoteLag     = 64 // entries that a learner may lack when it is made a voter
)

// Timing tells how a group measures time; all replicas use the same.
type Timing struct {
	Heartbeat   time.Duration // a leader confirms itself this often
	ElectionMin time.Duration // a replica that heard a leader within this time votes for no other
	ElectionMax time.Duration // a replica that heard no leader for this long campaigns
	RetryMax    time.Duration // a failed campaign is repeated within this time
	Resend      time.Duration // unanswered entries are sent again after this time
	DriftDenom  int64         // clocks may drift apart by 1/DriftDenom
}

// DefaultTiming returns the timing of a fleet with short delays.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:   100 * time.Millisecond,
		ElectionMin: 600 * time.Millisecond,
		ElectionMax: 1000 * time.Millisecond,
		RetryMax:    300 * time.Millisecond,
		Resend:      400 * time.Millisecond,
		DriftDenom:  20,
	}
}

// Role is what a replica is in the current term.
type Role byte

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// NotLeader reports a request that only the leader can serve.
type NotLeader struct {
	Leader Member // zero when no leader is known
}

// Error names the leader.
func (n NotLeader) Error() string {
	return fmt.Sprintf("the leader is %q", n.Leader.VM)
}

// ErrBusy reports a membership change that must wait for the one before, or for the leader's first entry.
var ErrBusy = errors.New("another membership change is in progress")

// ReadResult answers a read; state that has applied Index shows all that was committed before the read.
type ReadResult struct {
	Read   uint64
	Index  uint64
	Failed bool
}

// Effects are what a driver has to do, in the order of the fields.
type Effects struct {
	Messages  []Message // to be sent at once
	Chunks    []Chunk
	Install   *Snapshot  // the received content is whole and replaces log and state
	Entries   []Entry    // to be written; an entry replaces all with the same or a greater index
	HardState *HardState // to be written
	Synced    []Message  // to be sent once all writes up to here are synced
	Committed []Entry    // to be applied
	Reads     []ReadResult
}

// Writes reports whether something has to be written and synced.
func (e *Effects) Writes() bool {
	return len(e.Chunks) > 0 || e.Install != nil || len(e.Entries) > 0 || e.HardState != nil
}

// Settings of a Core.
type Settings struct {
	Self     Member
	Timing   Timing
	Seed     uint64 // of the random election timeouts
	Stored   Stored
	Now      time.Time
	KeepTail uint64 // entries kept below a snapshot for slow members
}

// Stored is what a replica recovered.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	BaseIndex uint64 // just below Entries
	BaseTerm  uint64
	Entries   []Entry
	Commit    uint64 // index up to which entries were known to be committed
}

// Core is one replica of one group; it is not safe for concurrent use.
type Core struct {
	s        Settings
	rand     *rand.Rand
	hard     HardState
	dirty    bool // hard state is not handed out yet
	fresh    bool // entries of a leader are not sent yet
	log      log
	snap     Snapshot
	configs  []dated // in force from an index on, oldest first
	commit   uint64
	handed   uint64 // last committed index handed out
	role     Role
	leader   Member
	heard    time.Time // when a leader was heard last, or the start
	deadline time.Time // of the next campaign
	beat     time.Time // of the next heartbeat
	votes    map[uint64]bool
	early    bool // the campaign began while the leader before may have held a lease
	peers    map[uint64]*progress
	termAt   uint64 // index of the leader's no-op
	ledAt    time.Time
	target   uint64 // of a leadership transfer
	giveUp   time.Time
	told     bool // CampaignNow was sent, so the lease of this term is void
	reads    []read
	origin   time.Time
	ticks    uint64 // last reading of clock
	synced   uint64 // own match while leading
	partial  *partial
	out      Effects
}

type dated struct {
	index uint64
	c     Configuration
}

// New returns a Core that continues from what was stored.
func New(s Settings) *Core {
	c := &Core{
		s:      s,
		rand:   rand.New(rand.NewPCG(s.Seed, s.Self.ID)),
		hard:   s.Stored.HardState,
		snap:   s.Stored.Snapshot,
		commit: s.Stored.Snapshot.Index,
		handed: s.Stored.Snapshot.Index,
		heard:  s.Now,
		origin: s.Now.Add(-time.Second),
	}
	c.log = log{base: s.Stored.BaseIndex, term: s.Stored.BaseTerm, entries: s.Stored.Entries}
	c.log.saved = c.log.last()
	c.commit = max(c.commit, min(s.Stored.Commit, c.log.last()))
	c.configs = []dated{{index: c.snap.Index, c: c.snap.Configuration}}
	for _, e := range s.Stored.Entries {
		if e.Index > c.snap.Index {
			c.learn(e)
		}
	}
	c.deadline = s.Now.Add(c.timeout())
	if c.sole() || c.Blank() {
		c.heard = s.Now.Add(-s.Timing.ElectionMin)
		c.deadline = s.Now
	}
	return c
}

// Blank reports whether the replica has never been part of the group.
func (c *Core) Blank() bool {
	return c.hard == (HardState{}) && c.log.last() == 0
}

// Found makes a blank replica the founder of a group with these voters.
func (c *Core) Found(now time.Time, voters []Member) {
	if !c.Blank() {
		return
	}
	c.setHard(HardState{Term: 1})
	c.append(Entry{Term: 1, Kind: Membership, Data: EncodeConfiguration(Configuration{Voters: voters})})
	c.deadline = now
	c.Tick(now)
}

// Effects hands out what is to be done since the last call.
func (c *Core) Effects(now time.Time) Effects {
	if c.fresh && c.role == Leader {
		c.broadcast(now)
		c.sendSynced(Message{Kind: AppendAnswer, To: c.s.Self, Index: c.log.last()})
	}
	c.fresh = false
	c.out.Entries = c.log.unsaved()
	if c.dirty {
		h := c.hard
		c.out.HardState = &h
		c.dirty = false
	}
	if c.handed < c.commit {
		c.out.Committed = c.log.slice(c.handed+1, c.commit, 1<<62)
		c.handed = c.commit
	}
	e := c.out
	c.out = Effects{}
	return e
}

// Tick lets time pass; it is called at least once in a quarter of a heartbeat.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if !now.Before(c.beat) {
		c.beat = now.Add(c.s.Timing.Heartbeat)
		c.resendReads()
	}
	if now.Before(c.deadline) {
		return
	}
	c.deadline = now.Add(c.timeout())
	if c.mayCampaign() {
		c.preCampaign(now)
	}
}

// Step takes a message.
func (c *Core) Step(now time.Time, m Message) {
	if m.To.ID != c.s.Self.ID {
		return
	}
	if m.Kind == PreVote {
		c.onPreVote(now, m)
		return
	}
	if m.Kind == PreVoteAnswer {
		c.onPreVoteAnswer(now, m)
		return
	}
	if m.Kind == Vote && !m.Force && m.Term > c.hard.Term && c.leaderHeard(now) {
		return
	}
	if m.Term > c.hard.Term {
		c.follow(now, m.Term)
	}
	if m.Term < c.hard.Term {
		c.refuseOld(m)
		return
	}
	c.dispatch(now, m)
}

// Propose appends a command as the leader and returns its index and term.
func (c *Core) Propose(command []byte) (index, term uint64, err error) {
	if c.role != Leader || c.target != 0 {
		return 0, 0, NotLeader{Leader: c.leader}
	}
	c.append(Entry{Term: c.hard.Term, Kind: Command, Data: command})
	return c.log.last(), c.hard.Term, nil
}

// Configuration returns the members now in force.
func (c *Core) Configuration() Configuration {
	return c.configs[len(c.configs)-1].c
}

// ConfigurationAt returns the members in force at an index that no snapshot has overtaken.
func (c *Core) ConfigurationAt(index uint64) Configuration {
	r := c.configs[0].c
	for _, d := range c.configs {
		if d.index <= index {
			r = d.c
		}
	}
	return r
}

// Self returns the replica that this core is.
func (c *Core) Self() Member { return c.s.Self }

// Role returns what the replica is now.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Leader returns the leader of the current term, or a zero Member.
func (c *Core) Leader() Member { return c.leader }

// Commit returns the greatest committed index known here.
func (c *Core) Commit() uint64 { return c.commit }

// Last returns the index of the last entry.
func (c *Core) Last() uint64 { return c.log.last() }

// TermAt returns the term of an entry that is held in memory.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.termAt(index) }

// Entries returns the entries above an index that are held in memory.
func (c *Core) Entries(above uint64) []Entry {
	return c.log.slice(max(above, c.log.base)+1, c.log.last(), 1<<62)
}

// Base returns index and term just below the entries held in memory.
func (c *Core) Base() (index, term uint64) { return c.log.base, c.log.term }

// Snapshot returns the newest snapshot.
func (c *Core) Snapshot() Snapshot { return c.snap }

// HardState returns term and vote.
func (c *Core) HardState() HardState { return c.hard }

// Snapshotted tells that the driver has stored a snapshot of applied state, and truncates the log.
func (c *Core) Snapshotted(s Snapshot) {
	if s.Index <= c.snap.Index {
		return
	}
	c.snap = s
	if s.Index > c.s.KeepTail {
		c.log.compact(s.Index - c.s.KeepTail)
	}
	c.forgetConfigurations(s.Index)
}

func (c *Core) dispatch(now time.Time, m Message) {
	switch m.Kind {
	case Vote:
		c.onVote(now, m)
	case VoteAnswer:
		c.onVoteAnswer(now, m)
	case Append:
		c.onAppend(now, m)
	case AppendAnswer:
		c.onAppendAnswer(now, m)
	case Heartbeat:
		c.onHeartbeat(now, m)
	case HeartbeatAnswer:
		c.onHeartbeatAnswer(now, m)
	case SnapshotChunk:
		c.onChunk(now, m)
	case SnapshotAnswer:
		c.onChunkAnswer(now, m)
	case ReadIndex:
		c.onReadIndex(now, m)
	case ReadIndexAnswer:
		c.onReadIndexAnswer(m)
	case CampaignNow:
		c.onCampaignNow(now)
	}
}

// refuseOld tells a leader of an older term that its term is over.
func (c *Core) refuseOld(m Message) {
	switch m.Kind {
	case Append, Heartbeat, SnapshotChunk:
		c.sendSynced(Message{Kind: HeartbeatAnswer, To: m.From})
	}
}

// follow enters a term as a follower.
func (c *Core) follow(now time.Time, term uint64) {
	if term > c.hard.Term {
		c.setHard(HardState{Term: term})
		c.leader = Member{}
	}
	if c.role == Leader {
		c.failReads()
		c.leader = Member{}
		c.heard = c.confirmed(now)
	}
	c.role = Follower
	c.peers = nil
	c.target = 0
	c.told = false
	c.deadline = now.Add(c.timeout())
}

func (c *Core) setHard(h HardState) {
	c.hard = h
	c.dirty = true
}

func (c *Core) append(e Entry) {
	e.Index = c.log.last() + 1
	c.log.append(e)
	c.learn(e)
	c.fresh = true
}

// learn takes the configuration of an appended entry into force.
func (c *Core) learn(e Entry) {
	if e.Kind != Membership {
		return
	}
	f, err := DecodeConfiguration(e.Data)
	if err != nil {
		panic(errors.Wrapf(err, "configuration entry %d", e.Index))
	}
	c.configs = append(c.configs, dated{index: e.Index, c: f})
}

// unlearn goes back to the configuration that was in force before an index.
func (c *Core) unlearn(from uint64) {
	n := len(c.configs)
	for n > 1 && c.configs[n-1].index >= from {
		n--
	}
	c.configs = c.configs[:n]
}

// forgetConfigurations drops those that were replaced at or below an index.
func (c *Core) forgetConfigurations(index uint64) {
	for len(c.configs) > 1 && c.configs[1].index <= index {
		c.configs = c.configs[1:]
	}
}

func (c *Core) sole() bool {
	f := c.Configuration()
	return len(f.Voters) == 1 && f.Voter(c.s.Self.ID)
}

func (c *Core) timeout() time.Duration {
	t := c.s.Timing
	return t.ElectionMin + time.Duration(c.rand.Int64N(int64(t.ElectionMax-t.ElectionMin)))
}

func (c *Core) retry() time.Duration {
	t := c.s.Timing
	return t.Heartbeat/2 + time.Duration(c.rand.Int64N(int64(t.RetryMax)))
}

// leaderHeard reports whether a leader may still hold a lease that this replica confirmed.
func (c *Core) leaderHeard(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return now.Sub(c.heard) < c.s.Timing.ElectionMin
}

func (c *Core) send(m Message) {
	c.out.Messages = append(c.out.Messages, c.stamp(m))
}

func (c *Core) sendSynced(m Message) {
	c.out.Synced = append(c.out.Synced, c.stamp(m))
}

func (c *Core) stamp(m Message) Message {
	m.From = c.s.Self
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	return m
}
