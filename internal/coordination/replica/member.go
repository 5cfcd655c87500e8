package replica

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
)

// groupReplica is this replica's state of one group. It belongs to the loop's goroutine, except for applyLoop, which owns
// machine, and status, which any goroutine may load.
type groupReplica struct {
	group                uint32
	core                 *consensus.Core
	machine              Machine
	start                consensus.Entry // index and term of the snapshot that the machine was restored from
	files                snapshotFiles
	status               atomic.Pointer[Status]
	applyQueue           chan applyWork              // buffers one, so that startApply does not block
	pendingWork          applyWork                   // what applyLoop receives next
	deferredWork         applyWork                   // while installing: the snapshot and the entries committed after it
	installing           bool                        // a received snapshot's file is not complete yet
	busy                 bool                        // applyLoop has work
	applied              uint64                      // index up to which entries are applied
	recordedCommit       uint64                      // commit index in the journal
	commitRecordedAt     time.Time                   // when a record with only the commit index was last queued
	entriesSinceSnapshot uint64                      // entries applied since the last snapshot was taken or installed
	bytesSinceSnapshot   uint64                      // bytes of these entries
	takingSnapshot       bool                        // a snapshot is being taken or written
	newestFile           uint64                      // index of the newest snapshot with a complete file
	obsoleteFiles        []uint64                    // indexes of snapshots whose files are to be removed
	openProposals        map[uint64]openProposal     // by index
	reads                map[uint64][]pendingBarrier // barriers that wait for the core's read, by its number
	lastRead             uint64                      // number of the newest read
	leaderSeen           time.Time                   // when a leader was last known
	newBarriers          []pendingBarrier            // to be requested from the core at the next flush
	copies               []chan groupState           // receive a copy of the applied state
	indexedBarriers      []indexedBarrier            // oldest first
	blankPeers           map[string]uint64           // replica IDs of the initial members that responded as blank, by VM
	joining              map[string]joiningReplica   // by VM; only on the leader
	leaderHint           string                      // leader's VM according to the newest hello that names one
	leaderHintAt         time.Time                   // when that hello was received
	leaderHelloAt        time.Time                   // when the last hello to leaderHint was sent
	helloTurn            int                         // counts the contacts that got hellos in turn
	announcedAt          time.Time                   // when announcements were last sent; only on the leader
}

// openProposal is a command that this replica has appended as leader and not applied yet.
type openProposal struct {
	term uint64
	done chan outcome
}

// pendingBarrier is a barrier whose caller waits. It fails after until.
type pendingBarrier struct {
	done  chan outcome
	until time.Time
}

// indexedBarrier is a barrier that completes when index is applied.
type indexedBarrier struct {
	pendingBarrier
	index uint64
}

// applyWork is what applyLoop does in one step, in the order of the fields.
type applyWork struct {
	install  *consensus.Snapshot
	entries  []consensus.Entry
	snapshot bool // take a snapshot
	copies   []chan groupState
}

// applyResult reports to the loop what applyLoop has done for one applyWork.
type applyResult struct {
	group    uint32
	index    uint64 // of the last applied entry or installed snapshot
	bytes    uint64 // of the applied entries
	entries  uint64 // number of applied entries
	outcomes []commandOutcome
	snapshot []byte              // content of taken
	taken    *consensus.Snapshot // nil if none was taken; Configuration is not set
	encoding time.Duration       // that the snapshot took
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
		lastRead:       rand.Uint64(), // no number of an earlier process, whose responses may still arrive
		blankPeers:     map[string]uint64{},
		joining:        map[string]joiningReplica{},
	}
}

func (w *applyWork) empty() bool {
	return w.install == nil && len(w.entries) == 0 && !w.snapshot && len(w.copies) == 0
}

// applyLoop carries out work until ctx ends, and returns an error if a received snapshot can't be installed.
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

// copyState encodes the applied state for a snapshot, if one was requested, and for the waiting copies.
func (m *groupReplica) copyState(w applyWork, at consensus.Entry, a *applyResult) {
	began := time.Now()
	b := m.machine.Snapshot()
	a.encoding = time.Since(began)
	s := consensus.Snapshot{Index: at.Index, Term: at.Term, Size: uint64(len(b)), Checksum: xxhash.Sum64(b)}
	if w.snapshot {
		a.snapshot, a.taken = b, &s
	}
	for _, c := range w.copies {
		c <- groupState{group: m.group, snapshot: s, content: b}
	}
}

// enqueueCommitted queues committed entries for applyLoop, behind a snapshot that is being installed.
func (m *groupReplica) enqueueCommitted(l []consensus.Entry) {
	if m.installing {
		m.deferredWork.entries = append(m.deferredWork.entries, l...)
		return
	}
	m.pendingWork.entries = append(m.pendingWork.entries, l...)
}

// beginInstall defers work until the file of a received snapshot is complete. It drops the entries and the snapshot
// request of the pending work, which the received snapshot replaces, and keeps the requested copies.
func (m *groupReplica) beginInstall(s *consensus.Snapshot) {
	m.installing = true
	if m.pendingWork.snapshot {
		m.takingSnapshot = false
	}
	m.copies = append(m.copies, m.pendingWork.copies...)
	m.deferredWork = applyWork{install: s}
	m.pendingWork = applyWork{}
}

// finishInstall queues a received snapshot whose file is complete and the entries committed after it, unless a newer one
// is being installed.
func (m *groupReplica) finishInstall(s *consensus.Snapshot) {
	if !m.installing || m.deferredWork.install.Index != s.Index {
		return
	}
	m.pendingWork = m.deferredWork
	m.deferredWork = applyWork{}
	m.installing = false
	m.entriesSinceSnapshot, m.bytesSinceSnapshot = 0, 0
}

// snapshotStored records that the file of a snapshot is complete; the older of it and the newest file so far becomes
// obsolete.
func (m *groupReplica) snapshotStored(index uint64) {
	o := min(m.newestFile, index)
	m.newestFile = max(m.newestFile, index)
	if o > 0 && o != m.newestFile {
		m.obsoleteFiles = append(m.obsoleteFiles, o)
	}
}

// startApply passes the pending work to applyLoop if that is idle.
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

// completeApplied completes the proposals and barriers that waited for the applied entries. A proposal fails if the entry
// at its index has another term, because another leader's entry has replaced it.
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

// failProposals fails the open proposals after this replica has lost leadership. They may still be committed.
func (m *groupReplica) failProposals() {
	for i, p := range m.openProposals {
		p.done <- outcome{err: lostLeadership()}
		delete(m.openProposals, i)
	}
}
