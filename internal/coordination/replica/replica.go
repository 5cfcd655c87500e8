package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/journal"
	"snipetack/internal/state/result"
)

// Capacities of the channels into the loop.
const (
	inboxSize    = 4096 // envelopes; when full, a new one is dropped, like a frame lost in the network
	proposalSize = 1024 // commands; when full, callers block
	requestSize  = 64   // functions to be run in the loop; when full, callers block
)

// journalName is the name of the journal in the data folder.
const journalName = "journal"

// ForwardProvider sends a command to the replica of another VM and returns its response. That replica must not forward it
// again.
type ForwardProvider interface {
	Forward(ctx context.Context, vm string, group uint32, command []byte) ([]byte, error)
}

// Deps are the dependencies of a Replica.
type Deps struct {
	VM             string          // name of this VM
	InitialMembers []string        // VMs that are the first voters; the groups are bootstrapped when all of them are blank
	Contacts       func() []string // further VMs that may know the groups' members; with nil, leader hints are ignored too
	Growth         *Growth         // lets other VMs join and replaces dead ones; with nil members change only by an operator's request or when a member restarts with an empty disk
	Folder         journal.Folder
	Machines       map[uint32]Machine // by group
	Send           SendProvider
	Forward        ForwardProvider
	Timing         consensus.Timing // zero for consensus.DefaultTiming
	TimeOfDay      func() time.Time // clock that goes on while the VM is suspended; nil for time.Now
	Limits         Limits           // zero for DefaultLimits
	Log            *slog.Logger
}

// Limits bound the log and journal of a replica.
type Limits struct {
	SnapshotEntries uint64 // entries applied since the last snapshot, at which the next is taken
	SnapshotBytes   uint64 // the same in bytes of entries; whichever is reached first
	KeepTail        uint64 // entries kept below a snapshot, so that slow members need no snapshot
	KeepBytes       uint64 // the same in bytes of entries, 0 for no limit; whichever is reached first
	JournalBytes    int64  // above this size the journal is rewritten if it has also doubled since it was last rewritten
}

// tail returns the bounds of the log below a snapshot.
func (l Limits) tail() consensus.Tail {
	return consensus.Tail{Entries: l.KeepTail, Bytes: l.KeepBytes}
}

// Growth configures how the members of the groups change without an operator.
type Growth struct {
	Candidates func() []string // VMs that may join; nil for all
	MaxVoters  int             // target number of voters, odd; exceeded only while dead or leaving voters are replaced
	DeadAfter  time.Duration   // a voter that is unresponsive for this long may be replaced
	Leaving    func() []string // VMs whose members are to be removed from the groups
	MinVoters  int             // voters that must remain; a dead or leaving voter stays until they do
}

// DefaultLimits returns the Limits that apply if Deps.Limits is zero.
func DefaultLimits() Limits {
	return Limits{SnapshotEntries: 4096, SnapshotBytes: 16 << 20, KeepTail: 512, KeepBytes: 8 << 20, JournalBytes: 16 << 20}
}

// Replica runs a VM's replica of every group. Its methods are safe for concurrent use.
type Replica struct {
	d             Deps
	id            uint64
	journal       *journal.Journal
	files         snapshotFiles
	groupIDs      []uint32 // sorted
	groups        map[uint32]*groupReplica
	inbox         chan envelope
	proposals     chan proposal
	requests      chan func(time.Time)
	written       chan *batch      // batches that are synced
	applied       chan applyResult // from applyLoop of all groups
	writes        chan *batch      // batches to be written
	pending       *batch           // the next batch for writeLoop
	writing       bool             // writeLoop has a batch
	rewrittenSize int64            // size of the journal when it was opened or last rewritten
	rewriteDue    bool             // the next batch rewrites the journal
	outbox        *outbox
	helloSentAt   time.Time // when hellos were last sent
	clocks        clocks    // at the last event of the loop
	done          chan struct{}
	syncs         atomic.Uint64
	journalBytes  atomic.Int64 // size of the journal after the newest batch
}

// proposal is a command on its way to the loop.
type proposal struct {
	group   uint32
	command []byte
	done    chan outcome // buffered, so that the loop does not block
}

// outcome is the result of a proposal or a barrier.
type outcome struct {
	response []byte
	err      error
}

// New recovers the groups from the data folder, or formats the folder if it is empty. The caller calls Run next, or Close.
func New(d Deps) (*Replica, error) {
	if d.Timing == (consensus.Timing{}) {
		d.Timing = consensus.DefaultTiming()
	}
	if d.Limits == (Limits{}) {
		d.Limits = DefaultLimits()
	}
	r := &Replica{
		d:         d,
		files:     snapshotFiles{folder: d.Folder},
		groups:    map[uint32]*groupReplica{},
		inbox:     make(chan envelope, inboxSize),
		proposals: make(chan proposal, proposalSize),
		requests:  make(chan func(time.Time), requestSize),
		written:   make(chan *batch, 1),
		applied:   make(chan applyResult, len(d.Machines)),
		writes:    make(chan *batch, 1),
		pending:   newBatch(),
		outbox:    newOutbox(d.Send),
		done:      make(chan struct{}),
	}
	return r, errors.Wrapf(r.recoverGroups(), "recovering the replica of %s", d.VM)
}

// Run takes part in the groups until ctx ends or a disk operation fails. It is called at most once and closes the
// journal.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.Close()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.loop(ctx) })
	g.Go(func() error { return r.writeLoop(ctx) })
	for _, n := range r.groupIDs {
		m := r.groups[n]
		g.Go(func() error { return m.applyLoop(ctx, r.applied) })
	}
	return g.Wait()
}

// Receive queues a frame from another VM. It does not block: when the queue is full, the frame is dropped.
func (r *Replica) Receive(from string, frame []byte) {
	v, err := decodeEnvelope(frame, from)
	if err != nil {
		r.d.Log.Error("received frame can't be decoded; dropped", "peer", from, "error", err)
		return
	}
	select {
	case r.inbox <- v:
	default:
	}
}

// Propose commits a command, applies it and returns the response of the Machine. It forwards the command if another VM
// leads the group.
//
// After an error that does not state not_run the command may be committed, now or later. A command therefore has to
// carry an id by which the Machine detects a retry.
func (r *Replica) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	b, err := r.ProposeHere(ctx, group, command)
	var n consensus.NotLeader
	if !errors.As(err, &n) {
		return b, err
	}
	if n.Leader.VM == "" || n.Leader.VM == r.d.VM {
		return nil, result.New(result.NoQuorum, "group %d has no leader now", group)
	}
	return r.d.Forward.Forward(ctx, n.Leader.VM, group, command)
}

// ProposeHere is Propose without forwarding: it returns consensus.NotLeader if another replica leads.
func (r *Replica) ProposeHere(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	p := proposal{group: group, command: command, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, result.New(result.NoQuorum, "the command was not taken in time")
	case <-r.done:
		return nil, result.New(result.NoQuorum, "the replica has ended")
	}
	select {
	case o := <-p.done:
		return o.response, o.err
	case <-ctx.Done():
	case <-r.done:
	}
	return nil, result.New(result.ChangeUncommitted, "no outcome in time").WithRan(result.Unknown)
}

// Barrier returns once all commands that were committed in a group before the call are applied on this VM. It fails after
// barrierTimeout at the latest.
func (r *Replica) Barrier(ctx context.Context, group uint32) error {
	w := pendingBarrier{done: make(chan outcome, 1), until: time.Now().Add(barrierTimeout)}
	err := r.runInLoop(ctx, func(now time.Time) { r.barrier(now, group, w) })
	if err != nil {
		return err
	}
	select {
	case o := <-w.done:
		return o.err
	case <-ctx.Done():
	case <-r.done:
	}
	return result.New(result.NoQuorum, "no leader confirmed group %d in time", group)
}

// Transfer transfers the leadership of all groups to other replicas, before a planned stop. It returns when this replica
// leads no group that has other voters, or when ctx ends.
func (r *Replica) Transfer(ctx context.Context) error {
	t := time.NewTicker(r.d.Timing.Heartbeat)
	defer t.Stop()
	for {
		var leads atomic.Bool
		ok := make(chan struct{})
		err := r.runInLoop(ctx, func(now time.Time) {
			leads.Store(r.transfer(now))
			close(ok)
		})
		if err != nil {
			return err
		}
		select {
		case <-ok:
		case <-r.done:
			return nil
		}
		if !leads.Load() {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "transferring leadership")
		}
	}
}

// Close closes the journal. It is needed only if Run was not called.
func (r *Replica) Close() {
	_ = r.journal.Close()
}

// runInLoop queues f for the goroutine that owns the cores. It does not wait until f has run.
func (r *Replica) runInLoop(ctx context.Context, f func(time.Time)) error {
	select {
	case r.requests <- f:
		return nil
	case <-ctx.Done():
	case <-r.done:
	}
	return result.New(result.NoQuorum, "the replica takes no request now")
}

// recoverGroups opens the journal and restores all groups from it and from the snapshot files.
func (r *Replica) recoverGroups() error {
	began := time.Now()
	s := newJournalState(r.d.Limits.tail())
	j, err := journal.Open(r.d.Folder, journalName, s.replay)
	if err != nil {
		return err
	}
	r.journal = j
	err = r.format(s)
	if err == nil {
		err = s.load(j)
	}
	if err == nil {
		err = r.restore(s)
	}
	if err != nil {
		_ = j.Close()
		return err
	}
	r.journalBytes.Store(j.Size())
	logged := uint64(0)
	for _, m := range r.groups {
		logged += m.core.LogBytes()
	}
	r.rewrittenSize = min(j.Size(), int64(logged))
	r.rewriteDue = r.rewritePays()
	r.d.Log.Info("journal read", "bytes", j.Size(), "records", s.records, "log_bytes", logged, "took", time.Since(began))
	return nil
}

// rewritePays reports whether the journal is large and has doubled since it was last rewritten.
func (r *Replica) rewritePays() bool {
	n := r.journal.Size()
	return n > r.d.Limits.JournalBytes && n > 2*r.rewrittenSize
}

// format stores a new replica ID if the journal has none.
func (r *Replica) format(s *journalState) error {
	if s.id == 0 {
		s.id = newID()
		if err := r.journal.Append(encodeReplicaID(s.id)); err != nil {
			return err
		}
		r.d.Log.Info("data folder formatted", "replica", s.id)
	}
	r.id = s.id
	return nil
}

// restore creates the groups from the recovered state and removes snapshot files that none of them refers to.
func (r *Replica) restore(s *journalState) error {
	keep := map[string]bool{}
	now := time.Now()
	for n, m := range r.d.Machines {
		g := s.stored(n)
		if g.Snapshot.Index > 0 {
			b, err := r.files.read(n, g.Snapshot)
			if err != nil {
				return err
			}
			if err := m.Restore(b); err != nil {
				return err
			}
			keep[snapshotName(n, g.Snapshot.Index)] = true
		}
		c := consensus.New(consensus.Settings{
			Self:   consensus.Member{VM: r.d.VM, ID: r.id},
			Timing: r.d.Timing,
			Seed:   rand.Uint64(),
			Stored: g,
			Now:    now,
			Keep:   r.d.Limits.tail(),
		})
		r.groups[n] = newGroupReplica(n, c, m, r.files)
		r.groupIDs = append(r.groupIDs, n)
	}
	slices.Sort(r.groupIDs)
	return r.files.cleanUp(keep)
}
