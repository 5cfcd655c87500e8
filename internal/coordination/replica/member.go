package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
)

// groupReplica is this replica's part in one group; but for apply and status it belongs to the loop.
type groupReplica struct {
	group                uint32
	core                 *consensus.Core
	machine              Machine
	start                consensus.Entry // index and term that the recovered state has applied
	files                snapshotFiles
	status               atomic.Pointer[Status]
	applyQueue           chan applyWork // has room for one
	pendingWork          applyWork      // what the applying goroutine gets next
	deferredWork         applyWork      // commits behind a snapshot that is not in place yet
	installing           bool
	busy                 bool
	applied              uint64 // index
	recordedCommit       uint64 // index up to which the journal knows what is committed
	commitRecordedAt     time.Time
	entriesSinceSnapshot uint64 // entries applied since the last snapshot
	bytesSinceSnapshot   uint64
	takingSnapshot       bool     // a snapshot is being taken or written
	newestFile           uint64   // index of the snapshot whose file is in place
	obsoleteFiles        []uint64 // snapshots whose files are to be removed
	openProposals        map[uint64]openProposal
	reads                map[uint64][]pendingBarrier
	lastRead             uint64    // number of the next read
	leaderSeen           time.Time // when a leader was last known
	newBarriers          []pendingBarrier
	copies               []chan groupState // wait for a copy of the applied state
	indexedBarriers      []indexedBarrier
	blankPeers           map[string]uint64 // blank founders that answered: replica id by VM
	joining              map[string]joiningReplica
	leaderHint           string // VM that leads, as another VM told
}

// openProposal is a proposal in the log that is not applied yet.
type openProposal struct {
	term uint64
	done chan outcome
}

// pendingBarrier is a barrier that waits.
type pendingBarrier struct {
	done  chan outcome
	until time.Time
}

// indexedBarrier is a barrier that waits until an index is applied.
type indexedBarrier struct {
	pendingBarrier
	index uint64
}

// applyWork is what the applying goroutine does in one go, in the order of the fields.
type applyWork struct {
	install  *consensus.Snapshot
	entries  []consensus.Entry
	snapshot bool
	copies   []chan groupState
}

// applyResult reports what the applying goroutine has done.
type applyResult struct {
	group    uint32
	index    uint64
	bytes    uint64
	entries  uint64
	outcomes []commandOutcome
	snapshot []byte
	taken    *consensus.Snapshot // described but for the configuration
}

type commandOutcome struct {
	index, term uint64
	response    []byte
}

func newGroupReplica(group uint32, c *consensus.Core, m Machine, f snapshotFiles) *groupReplica {
	return &groupReplica{
		group:          group,
		core:           c,
		machine:        m,
		start:          consensus.Entry{Index: c.Snapshot().Index, Term: c.Snapshot().Term},
		files:          f,
		applyQueue:     make(chan applyWork, 1),
		applied:        c.Snapshot().Index,
		recordedCommit: c.Commit(),
		newestFile:     c.Snapshot().Index,
		openProposals:  map[uint64]openProposal{},
		reads:          map[uint64][]pendingBarrier{},
		blankPeers:     map[string]uint64{},
		joining:        map[string]joiningReplica{},
	}
}

func (w *applyWork) empty() bool {
	return w.install == nil && len(w.entries) == 0 && !w.snapshot && len(w.copies) == 0
}

// applyLoop carries out work until ctx ends.
func (m *groupReplica) applyLoop(ctx context.Context, done chan<- applyResult) error {
	at := m.start
	for {
		select {
		case w := <-m.applyQueue:
			a, err := m.doWork(w, &at)
			if err != nil {
				return err
			}
			select {
			case done <- a:
			case <-ctx.Done():
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *groupReplica) doWork(w applyWork, at *consensus.Entry) (applyResult, error) {
	a := applyResult{group: m.group}
	if w.install != nil {
		b, err := m.files.read(m.group, *w.install)
		if err != nil {
			return a, err
		}
		if err := m.machine.Restore(b); err != nil {
			return a, errors.Wrapf(err, "group %d", m.group)
		}
		at.Index, at.Term = w.install.Index, w.install.Term
	}
	for _, e := range w.entries {
		at.Index, at.Term = e.Index, e.Term
		a.entries++
		a.bytes += uint64(len(e.Data))
		if e.Kind == consensus.Command {
			a.outcomes = append(a.outcomes, commandOutcome{index: e.Index, term: e.Term, response: m.machine.Apply(e.Index, e.Data)})
		}
	}
	a.index = at.Index
	if w.snapshot || len(w.copies) > 0 {
		m.copyState(w, *at, &a)
	}
	return a, nil
}

// copyState gives a copy of the state to whoever waits for one.
func (m *groupReplica) copyState(w applyWork, at consensus.Entry, a *applyResult) {
	b := m.machine.Snapshot()
	s := consensus.Snapshot{Index: at.Index, Term: at.Term, Size: uint64(len(b)), Checksum: xxhash.Sum64(b)}
	if w.snapshot {
		a.snapshot, a.taken = b, &s
	}
	for _, c := range w.copies {
		c <- groupState{group: m.group, snapshot: s, content: b}
	}
}

// enqueueCommitted queues committed entries for the applying goroutine.
func (m *groupReplica) enqueueCommitted(l []consensus.Entry) {
	if m.installing {
		m.deferredWork.entries = append(m.deferredWork.entries, l...)
		return
	}
	m.pendingWork.entries = append(m.pendingWork.entries, l...)
}

// beginInstall keeps commits back until the content of an installed snapshot is in place.
func (m *groupReplica) beginInstall(s *consensus.Snapshot) {
	m.installing = true
	if m.pendingWork.snapshot {
		m.takingSnapshot = false
	}
	m.copies = append(m.copies, m.pendingWork.copies...)
	m.deferredWork = applyWork{install: s}
	m.pendingWork = applyWork{}
}

// finishInstall lets the applying goroutine go on with an installed snapshot.
func (m *groupReplica) finishInstall(s *consensus.Snapshot) {
	if !m.installing || m.deferredWork.install.Index != s.Index {
		return
	}
	m.pendingWork = m.deferredWork
	m.deferredWork = applyWork{}
	m.installing = false
	m.entriesSinceSnapshot, m.bytesSinceSnapshot = 0, 0
}

// snapshotStored makes the file of a snapshot the newest, in place of an older one.
func (m *groupReplica) snapshotStored(index uint64) {
	o := min(m.newestFile, index)
	m.newestFile = max(m.newestFile, index)
	if o > 0 && o != m.newestFile {
		m.obsoleteFiles = append(m.obsoleteFiles, o)
	}
}

// startApply gives the applying goroutine what waits, when it is idle.
func (m *groupReplica) startApply() {
	if !m.installing {
		m.pendingWork.copies = append(m.pendingWork.copies, m.copies...)
		m.copies = nil
	}
	if m.busy || m.pendingWork.empty() {
		return
	}
	m.applyQueue <- m.pendingWork
	m.pendingWork = applyWork{}
	m.busy = true
}

// completeApplied answers everything that what was applied decides.
func (m *groupReplica) completeApplied(a applyResult) {
	m.busy = false
	m.applied = max(m.applied, a.index)
	m.entriesSinceSnapshot += a.entries
	m.bytesSinceSnapshot += a.bytes
	for _, o := range a.outcomes {
		p, ok := m.openProposals[o.index]
		if !ok {
			continue
		}
		delete(m.openProposals, o.index)
		if p.term == o.term {
			p.done <- outcome{response: o.response}
		} else {
			p.done <- outcome{err: lostLeadership()}
		}
	}
	var rest []indexedBarrier
	for _, w := range m.indexedBarriers {
		if w.index <= m.applied {
			w.done <- outcome{}
		} else {
			rest = append(rest, w)
		}
	}
	m.indexedBarriers = rest
}

// failProposals answers the open proposals of a replica that leads no more.
func (m *groupReplica) failProposals() {
	for i, p := range m.openProposals {
		p.done <- outcome{err: lostLeadership()}
		delete(m.openProposals, i)
	}
}
