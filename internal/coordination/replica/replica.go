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

// Bounds of the rings that join the goroutines.
const (
	inboxSize    = 4096 // envelopes that wait; the newest is dropped, as a network may
	proposalSize = 1024 // commands that wait; callers block
	requestSize  = 64
)

// journalName is the name of the journal in the data folder.
const journalName = "journal"

// ForwardProvider carries a command to the replica of another VM, which must not forward it again.
type ForwardProvider interface {
	Forward(ctx context.Context, vm string, group uint32, command []byte) ([]byte, error)
}

// Deps are the collaborators of a Replica.
type Deps struct {
	VM       string
	Founders []string        // VMs that found the groups when none of them holds any state
	Contacts func() []string // VMs that may know the groups; nil takes Founders
	Growth   *Growth         // lets VMs beyond the founders join and replaces lost ones; nil keeps to the founders
	Folder   journal.Folder
	Machines map[uint32]Machine // by group
	Send     SendProvider
	Forward  ForwardProvider
	Timing   consensus.Timing // zero takes the default
	Limits   Limits           // zero takes the default
	Log      *slog.Logger
}

// Limits bound what a replica keeps.
type Limits struct {
	SnapshotEntries uint64 // entries applied since the last snapshot
	SnapshotBytes   uint64
	KeepTail        uint64 // entries kept below a snapshot
	JournalBytes    int64  // above this size the journal is rewritten when most of it is outdated
}

// Growth is how the members of the groups change without an operator.
type Growth struct {
	Voters    int             // more do not vote
	DeadAfter time.Duration   // a voter that is silent for this long may be replaced
	Leaving   func() []string // VMs that are to be emptied
	Fewest    int             // voters that are left when a VM leaves
}

// DefaultLimits returns the limits of a keeper.
func DefaultLimits() Limits {
	return Limits{SnapshotEntries: 4096, SnapshotBytes: 16 << 20, KeepTail: 512, JournalBytes: 16 << 20}
}

// Replica is a VM's part in the replicated groups.
type Replica struct {
	d             Deps
	id            uint64
	journal       *journal.Journal
	files         snapshotFiles
	groupIDs      []uint32
	groups        map[uint32]*groupReplica
	inbox         chan envelope
	proposals     chan proposal
	requests      chan func(time.Time)
	written       chan *batch
	applied       chan applyResult
	writes        chan *batch
	pending       *batch // what waits for the writer
	writing       bool
	rewrittenSize int64 // size of the journal after it was last rewritten
	rewriteDue    bool
	outbox        *outbox
	helloSentAt   time.Time // when hellos were last sent
	done          chan struct{}
	syncs         atomic.Uint64
}

// proposal is a command that waits for its outcome.
type proposal struct {
	group   uint32
	command []byte
	done    chan outcome // has room for one
}

// outcome is the answer to a proposal or a barrier.
type outcome struct {
	response []byte
	err      error
}

// New formats the data folder or recovers the groups from it.
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

// Run takes part in the groups until ctx ends or the disk fails; it is called once.
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

// Receive takes a frame from another VM; it does not block.
func (r *Replica) Receive(from string, frame []byte) {
	v, err := decodeEnvelope(frame, from)
	if err != nil {
		r.d.Log.Error("message dropped", "peer", from, "error", err)
		return
	}
	select {
	case r.inbox <- v:
	default:
	}
}

// Propose commits a command and returns its outcome, through the leader's VM when that is another.
//
// After a failure that does not say not_run the command may be committed; it carries an id for a resend.
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

// ProposeHere is Propose without the way to another VM; it fails with consensus.NotLeader.
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

// Barrier returns once all commands that were committed in a group before the call are applied here.
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

// Transfer hands the leadership of all groups to other replicas, for a planned stop; it returns when this
// replica leads none or ctx ends.
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

// Close gives the journal up; it is needed only when Run was not called.
func (r *Replica) Close() {
	_ = r.journal.Close()
}

// runInLoop runs f in the goroutine that owns the cores.
func (r *Replica) runInLoop(ctx context.Context, f func(time.Time)) error {
	select {
	case r.requests <- f:
		return nil
	case <-ctx.Done():
	case <-r.done:
	}
	return result.New(result.NoQuorum, "the replica takes no request now")
}

func (r *Replica) recoverGroups() error {
	j, l, err := journal.Open(r.d.Folder, journalName)
	if err != nil {
		return err
	}
	r.journal = j
	s, err := replayJournal(l)
	if err == nil {
		err = r.format(&s)
	}
	if err == nil {
		err = r.restore(s)
	}
	if err != nil {
		_ = j.Close()
	}
	r.rewrittenSize = j.Size()
	return err
}

// format gives an empty data folder a new replica id.
func (r *Replica) format(s *journalState) error {
	if s.id == 0 {
		s.id = newID()
		if err := r.journal.Append(encodeFormat(s.id)); err != nil {
			return err
		}
		r.d.Log.Info("data folder formatted", "replica", s.id)
	}
	r.id = s.id
	return nil
}

func (r *Replica) restore(s journalState) error {
	keep := map[string]bool{}
	now := time.Now()
	for n, m := range r.d.Machines {
		g := s.groups[n]
		if g == nil {
			g = &consensus.Stored{}
		}
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
			Self:     consensus.Member{VM: r.d.VM, ID: r.id},
			Timing:   r.d.Timing,
			Seed:     rand.Uint64(),
			Stored:   *g,
			Now:      now,
			KeepTail: r.d.Limits.KeepTail,
		})
		r.groups[n] = newGroupReplica(n, c, m, r.files)
		r.groupIDs = append(r.groupIDs, n)
	}
	slices.Sort(r.groupIDs)
	return r.files.cleanUp(keep)
}
