package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Limits of messages and replication.
const (
	maxAppendBytes = 256 << 10 // bytes of entries in one message, unless a single entry is larger
	maxInflight    = 64        // appends to one member that may await a response
	maxWindowBytes = 4 << 20   // bytes of entries in them, unless a single entry is larger
	ChunkBytes     = 256 << 10 // bytes of a snapshot in one message
	entryOverhead  = 16        // bytes counted for an entry beside its data
	promoteLag     = 64        // committed entries that a learner may still lack when it becomes a voter
)

// Timing holds the intervals and timeouts of a group. All replicas must use the same, or a lease may overlap the next
// leader's term.
type Timing struct {
	Heartbeat   time.Duration // interval at which a leader confirms its leadership
	ElectionMin time.Duration // a replica that had contact with a leader within this time votes for no other
	ElectionMax time.Duration // a replica without a leader starts an election after a random time from ElectionMin to this
	RetryMax    time.Duration // a failed election is repeated after Heartbeat/2 plus a random time up to this
	Resend      time.Duration // entries and chunks without a response are sent again after this time
	DriftDenom  int64         // clocks may drift apart by 1/DriftDenom; leases are shortened by as much
}

// DefaultTiming returns the timing for a fleet with low network latency.
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

// Role is the role of a replica in the current term.
type Role byte

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// NotLeader is the error of a request that only the leader can serve, or that the leader refuses while it transfers its
// leadership. In the second case Leader is the replica itself.
type NotLeader struct {
	Leader Member // zero when no leader is known
}

// Error names the leader's VM, empty if no leader is known.
func (n NotLeader) Error() string {
	return fmt.Sprintf("the leader is %q", n.Leader.VM)
}

// ErrBusy is the error of a refused membership change: the change before it or the first entry of the leader's term is
// not committed yet, or the new configuration has no voters or differs by more than one voter.
var ErrBusy = errors.New("another membership change is in progress")

// ReadResult is the result of the read with the number Read. State to which the entries up to Index were applied
// contains everything committed before the read. Failed means that this replica became or stopped being the leader; the
// driver may repeat the read.
type ReadResult struct {
	Read   uint64
	Index  uint64
	Failed bool
}

// Effects lists what the driver has to do, in the order of the fields.
type Effects struct {
	Messages  []Message  // to be sent immediately
	Chunks    []Chunk    // to be written to the partial snapshot files
	Install   *Snapshot  // the content of this snapshot has been received completely and replaces log and state
	Entries   []Entry    // to be written; an entry replaces all entries with the same or a greater index
	HardState *HardState // to be written
	Synced    []Message  // to be sent after the writes of this and all earlier Effects are synced
	Committed []Entry    // to be applied to the state machine
	Reads     []ReadResult
}

// Writes reports whether something has to be written and synced.
func (e *Effects) Writes() bool {
	return len(e.Chunks) > 0 || e.Install != nil || len(e.Entries) > 0 || e.HardState != nil
}

// Settings are the parameters of New.
type Settings struct {
	Self   Member
	Timing Timing
	Seed   uint64 // seed of the random election timeouts
	Stored Stored
	Now    time.Time
	Keep   Tail
}

// Tail bounds the entries that are kept below a snapshot, so that slow members need no snapshot to catch up.
type Tail struct {
	Entries uint64
	Bytes   uint64 // 0 is no limit
}

// Base returns the index before the first entry to keep, for a snapshot at an index and a log that starts after base. It calls
// size with the index of an entry, whose data has that many bytes.
func (t Tail) Base(snapshot, base uint64, size func(index uint64) int) uint64 {
	i, n := snapshot, uint64(0)
	for ; i > base && snapshot-i < t.Entries; i-- {
		n += uint64(size(i)) + entryOverhead
		if t.Bytes > 0 && n > t.Bytes {
			break
		}
	}
	return i
}

// Stored is the state that a replica recovered from disk. It is zero for a replica that was never in the group.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	BaseIndex uint64 // index before the first of Entries
	BaseTerm  uint64
	Entries   []Entry
	Commit    uint64 // index up to which entries were known to be committed
}

// Core is the state of one replica of one group. It is not safe for concurrent use.
type Core struct {
	s                Settings
	rand             *rand.Rand
	hard             HardState
	hardChanged      bool // hard has changed since it was last passed to the driver
	unsent           bool // entries appended as leader are not sent yet; Effects sends them together
	log              log
	snap             Snapshot
	configs          []indexedConfiguration // oldest first; the last is in force
	commit           uint64
	deliveredCommit  uint64 // last committed index that was passed to the driver
	role             Role
	leader           Member
	leaderContact    time.Time            // when this replica last had contact with a leader, or the start of the core: see New
	deadline         time.Time            // when to start the next election; unused while leading
	heartbeatAt      time.Time            // when the leader sends the next heartbeat, or another role repeats its reads
	votes            map[uint64]bool      // voters that granted the vote or pre-vote
	mayOverlapLease  bool                 // the election started while the previous leader may have held a lease
	peers            map[uint64]*progress // by replica ID; only while leading
	noOpIndex        uint64               // index of the no-op with which this leader's term starts
	leaderSince      time.Time
	transferTarget   uint64            // voter to which leadership is being transferred; 0 for none
	transferDeadline time.Time         // when the leader steps down if the target has not taken over
	leaseAfter       time.Time         // a lease begins only with a heartbeat round sent after this time
	campaignNowSent  bool              // CampaignNow was sent, so the lease of this term is void
	reads            []read            // pending
	origin           time.Time         // zero point of clock
	lastClock        uint64            // last reading of clock
	ownMatch         uint64            // index up to which this replica has synced its log; only while leading
	incoming         *incomingSnapshot // nil while none is being received
	out              Effects           // collected since the last call of Effects
}

// indexedConfiguration is a configuration and the index from which on it is in force.
type indexedConfiguration struct {
	index uint64
	c     Configuration
}

// New returns a Core that continues from the stored state. It acts as if it had contact with a leader at Settings.Now,
// because before the restart it may have confirmed a lease that still holds. A blank replica or a sole voter can't have
// confirmed another's lease, so it does not wait.
func New(s Settings) *Core {
	c := &Core{
		s:               s,
		rand:            rand.New(rand.NewPCG(s.Seed, s.Self.ID)),
		hard:            s.Stored.HardState,
		snap:            s.Stored.Snapshot,
		commit:          s.Stored.Snapshot.Index,
		deliveredCommit: s.Stored.Snapshot.Index,
		leaderContact:   s.Now,
		origin:          s.Now.Add(-time.Second), // further back than the default ElectionMin, so that a member without any response counts as unresponsive
	}
	c.log = log{base: s.Stored.BaseIndex, term: s.Stored.BaseTerm, entries: s.Stored.Entries, size: sizeOf(s.Stored.Entries...)}
	c.log.delivered = c.log.last()
	c.commit = max(c.commit, min(s.Stored.Commit, c.log.last()))
	c.configs = []indexedConfiguration{{index: c.snap.Index, c: c.snap.Configuration}}
	for _, e := range s.Stored.Entries {
		if e.Index > c.snap.Index {
			c.adoptConfiguration(e)
		}
	}
	c.deadline = s.Now.Add(c.electionTimeout())
	if c.soleVoter() || c.Blank() {
		c.leaderContact = s.Now.Add(-s.Timing.ElectionMin)
		c.deadline = s.Now
	}
	return c
}

// Blank reports whether the replica has no term, vote or log entry, so that it has neither taken part in the group nor
// heard of a leader.
func (c *Core) Blank() bool {
	return c.hard == (HardState{}) && c.log.last() == 0
}

// Bootstrap creates the group with the given voters on a blank replica, which then starts an election. It does nothing
// on a replica that is not blank. Only one replica of a group may be bootstrapped.
func (c *Core) Bootstrap(now time.Time, voters []Member) {
	if !c.Blank() {
		return
	}
	c.setHard(HardState{Term: 1})
	c.append(Entry{Term: 1, Kind: Membership, Data: EncodeConfiguration(Configuration{Voters: voters})})
	c.deadline = now
	c.Tick(now)
}

// Discover records on a blank replica that the group exists. The replica then is not blank any more, also after a
// restart, so it can't be bootstrapped and counted as a blank initial member. It does nothing on other replicas.
func (c *Core) Discover() {
	if c.Blank() {
		c.setHard(HardState{Term: 1})
	}
}

// Effects returns what the driver has to do as a result of the calls since the last one, and then forgets it. The
// driver calls it until it returns nothing to do.
func (c *Core) Effects(now time.Time) Effects {
	if c.unsent && c.role == Leader {
		c.broadcast(now)
		// The leader reports its own sync by a message to itself, so that it counts only once the entries are synced.
		c.sendSynced(Message{Kind: AppendResponse, To: c.s.Self, Index: c.log.last()})
	}
	c.unsent = false
	c.out.Entries = c.log.takeUndelivered()
	if c.hardChanged {
		h := c.hard
		c.out.HardState = &h
		c.hardChanged = false
	}
	if c.deliveredCommit < c.commit {
		c.out.Committed = c.log.slice(c.deliveredCommit+1, c.commit, 1<<62)
		c.deliveredCommit = c.commit
	}
	e := c.out
	c.out = Effects{}
	return e
}

// Tick starts elections, heartbeats and retries that are due. The driver calls it at least once in a quarter of
// Timing.Heartbeat.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.s.Timing.Heartbeat)
		c.resendReads()
	}
	if now.Before(c.deadline) {
		return
	}
	c.deadline = now.Add(c.electionTimeout())
	if c.mayCampaign() {
		c.preCampaign(now)
	}
}

// Step processes a received message. Messages to another replica ID are ignored.
func (c *Core) Step(now time.Time, m Message) {
	if m.To.ID != c.s.Self.ID {
		return
	}
	if m.Kind == PreVote {
		c.onPreVote(now, m)
		return
	}
	if m.Kind == PreVoteResponse {
		c.onPreVoteResponse(now, m)
		return
	}
	// With this vote a new leader could be elected while a lease that this replica confirmed still holds.
	if m.Kind == Vote && !m.Force && m.Term > c.hard.Term && c.leaderMayHoldLease(now) {
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(now, m.Term)
	}
	if m.Term < c.hard.Term {
		c.rejectStaleLeader(m)
		return
	}
	c.dispatch(now, m)
}

// Propose appends a command if this replica is the leader and returns its index and term. The command is confirmed only
// if the entry committed at this index has this term. It returns NotLeader on other replicas and during a
// leadership transfer.
func (c *Core) Propose(command []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, 0, NotLeader{Leader: c.leader}
	}
	c.append(Entry{Term: c.hard.Term, Kind: Command, Data: command})
	return c.log.last(), c.hard.Term, nil
}

// Configuration returns the configuration in force, which may not be committed yet.
func (c *Core) Configuration() Configuration {
	return c.configs[len(c.configs)-1].c
}

// ConfigurationAt returns the configuration in force at index, which must not be below that of the newest snapshot.
func (c *Core) ConfigurationAt(index uint64) Configuration {
	r := c.configs[0].c
	for _, d := range c.configs {
		if d.index <= index {
			r = d.c
		}
	}
	return r
}

// Self returns this replica.
func (c *Core) Self() Member { return c.s.Self }

// Role returns the current role of the replica.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Leader returns the leader of the current term, or a zero Member.
func (c *Core) Leader() Member { return c.leader }

// Commit returns the greatest index that this replica knows to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Last returns the index of the last entry.
func (c *Core) Last() uint64 { return c.log.last() }

// TermAt returns the term of the entry at index, or false if it is not in memory.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.termAt(index) }

// Entries returns the entries with an index greater than above that are in memory.
func (c *Core) Entries(above uint64) []Entry {
	return c.log.slice(max(above, c.log.base)+1, c.log.last(), 1<<62)
}

// Base returns the index and term of the entry before the first in memory.
func (c *Core) Base() (index, term uint64) { return c.log.base, c.log.term }

// LogBytes returns the size of the entries in memory.
func (c *Core) LogBytes() uint64 { return c.log.size }

// Snapshot returns the newest snapshot.
func (c *Core) Snapshot() Snapshot { return c.snap }

// HardState returns the current term and vote, which may not be synced yet.
func (c *Core) HardState() HardState { return c.hard }

// Snapshotted records that the driver has stored a snapshot of applied state, and drops the log entries that it covers
// except for the last, which Settings.Keep bounds.
func (c *Core) Snapshotted(s Snapshot) {
	if s.Index <= c.snap.Index {
		return
	}
	c.snap = s
	c.log.compact(c.s.Keep.Base(s.Index, c.log.base, c.log.dataSize))
	c.compactConfigurations(s.Index)
}

func (c *Core) dispatch(now time.Time, m Message) {
	switch m.Kind {
	case Vote:
		c.onVote(now, m)
	case VoteResponse:
		c.onVoteResponse(now, m)
	case Append:
		c.onAppend(now, m)
	case AppendResponse:
		c.onAppendResponse(now, m)
	case Heartbeat:
		c.onHeartbeat(now, m)
	case HeartbeatResponse:
		c.onHeartbeatResponse(now, m)
	case SnapshotChunk:
		c.onChunk(now, m)
	case SnapshotResponse:
		c.onSnapshotResponse(now, m)
	case ReadIndex:
		c.onReadIndex(now, m)
	case ReadIndexResponse:
		c.onReadIndexResponse(m)
	case CampaignNow:
		c.onCampaignNow(now)
	}
}

// rejectStaleLeader responds to a leader of an older term, which steps down when it receives the current term.
func (c *Core) rejectStaleLeader(m Message) {
	switch m.Kind {
	case Append, Heartbeat, SnapshotChunk:
		c.sendSynced(Message{Kind: HeartbeatResponse, To: m.From})
	}
}

// becomeFollower makes the replica a follower in term. A leader that steps down takes the last confirmation by a quorum
// as its last contact with a leader, because the lease that it confirmed itself may still hold.
func (c *Core) becomeFollower(now time.Time, term uint64) {
	if term > c.hard.Term {
		c.setHard(HardState{Term: term})
		c.leader = Member{}
	}
	if c.role == Leader {
		c.failReads()
		c.leader = Member{}
		c.leaderContact = c.quorumConfirmedAt(now)
	}
	c.role = Follower
	c.peers = nil
	c.transferTarget = 0
	c.campaignNowSent = false
	c.deadline = now.Add(c.electionTimeout())
}

func (c *Core) setHard(h HardState) {
	c.hard = h
	c.hardChanged = true
}

func (c *Core) append(e Entry) {
	e.Index = c.log.last() + 1
	c.log.append(e)
	c.adoptConfiguration(e)
	c.unsent = true
}

// adoptConfiguration puts the configuration of an appended membership entry into force; it ignores other entries.
func (c *Core) adoptConfiguration(e Entry) {
	if e.Kind != Membership {
		return
	}
	f, err := DecodeConfiguration(e.Data)
	if err != nil {
		panic(errors.Wrapf(err, "configuration entry %d", e.Index))
	}
	c.configs = append(c.configs, indexedConfiguration{index: e.Index, c: f})
}

// revertConfigurations returns to the configuration that was in force before index from, as the entries from there on
// are replaced.
func (c *Core) revertConfigurations(from uint64) {
	n := len(c.configs)
	for n > 1 && c.configs[n-1].index >= from {
		n--
	}
	c.configs = c.configs[:n]
}

// compactConfigurations drops the configurations that were replaced at or below index, as a snapshot covers them.
func (c *Core) compactConfigurations(index uint64) {
	for len(c.configs) > 1 && c.configs[1].index <= index {
		c.configs = c.configs[1:]
	}
}

func (c *Core) soleVoter() bool {
	f := c.Configuration()
	return len(f.Voters) == 1 && f.Voter(c.s.Self.ID)
}

// electionTimeout returns a random time without a leader after which to start an election, so that replicas seldom
// start at the same time.
func (c *Core) electionTimeout() time.Duration {
	t := c.s.Timing
	return t.ElectionMin + time.Duration(c.rand.Int64N(int64(t.ElectionMax-t.ElectionMin)))
}

// campaignRetry returns a random time after which to repeat an election that nobody has won.
func (c *Core) campaignRetry() time.Duration {
	t := c.s.Timing
	return t.Heartbeat/2 + time.Duration(c.rand.Int64N(int64(t.RetryMax)))
}

// leaderMayHoldLease reports whether a leader, also this replica itself, may still hold a lease that this replica
// confirmed.
func (c *Core) leaderMayHoldLease(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return now.Sub(c.leaderContact) < c.s.Timing.ElectionMin
}

// send adds a message to be sent without waiting for writes.
func (c *Core) send(m Message) {
	c.out.Messages = append(c.out.Messages, c.withSender(m))
}

// sendSynced adds a message to be sent after the writes so far are synced, because it promises what they store.
func (c *Core) sendSynced(m Message) {
	c.out.Synced = append(c.out.Synced, c.withSender(m))
}

// withSender sets the sender and, where it is not set, the current term.
func (c *Core) withSender(m Message) Message {
	m.From = c.s.Self
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	return m
}
