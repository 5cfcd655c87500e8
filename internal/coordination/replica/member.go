package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
)

// member is this replica's part in one group; but for apply and status it belongs to the loop.
type member struct {
	group    uint32
	core     *consensus.Core
	machine  Machine
	start    consensus.Entry // index and term that the recovered state has applied
	files    snapshots
	status   atomic.Pointer[Status]
	work     chan work // has room for one
	waiting  work      // what the applying goroutine gets next
	held     work      // commits behind a snapshot that is not in place yet
	holding  bool
	busy     bool
	applied  uint64 // index
	noted    uint64 // index up to which the journal knows what is committed
	notedAt  time.Time
	since    uint64 // entries applied since the last snapshot
	bytes    uint64
	taking   bool     // a snapshot is being taken or written
	stored   uint64   // index of the snapshot whose file is in place
	obsolete []uint64 // snapshots whose files are to be removed
	open     map[uint64]opened
	reads    map[uint64][]waiter
	next     uint64    // number of the next read
	led      time.Time // when a leader was last known
	fresh    []waiter
	copies   []chan groupState // wait for a copy of the applied state
	waits    []wait
	answers  map[string]uint64 // blank founders that answered: replica id by VM
	newcomer map[string]newcomer
	hint     string // VM that leads, as another VM told
}

// opened is a proposal in the log that is not applied yet.
type opened struct {
	term uint64
	done chan outcome
}

// waiter is a barrier that waits.
type waiter struct {
	done  chan outcome
	until time.Time
}

// wait is a barrier that waits until an index is applied.
type wait struct {
	waiter
	index uint64
}

// work is what the applying goroutine does in one go, in the order of the fields.
type work struct {
	install  *consensus.Snapshot
	entries  []consensus.Entry
	snapshot bool
	copies   []chan groupState
}

// applied reports what the applying goroutine has done.
type applied struct {
	group    uint32
	index    uint64
	bytes    uint64
	entries  uint64
	outcomes []appliedOutcome
	snapshot []byte
	taken    *consensus.Snapshot // described but for the configuration
}

type appliedOutcome struct {
	index, term uint64
	b           []byte
}

func newMember(group uint32, c *consensus.Core, m Machine, f snapshots) *member {
	return &member{
		group:    group,
		core:     c,
		machine:  m,
		start:    consensus.Entry{Index: c.Snapshot().Index, Term: c.Snapshot().Term},
		files:    f,
		work:     make(chan work, 1),
		applied:  c.Snapshot().Index,
		noted:    c.Commit(),
		stored:   c.Snapshot().Index,
		open:     map[uint64]opened{},
		reads:    map[uint64][]waiter{},
		answers:  map[string]uint64{},
		newcomer: map[string]newcomer{},
	}
}

func (w *work) empty() bool {
	return w.install == nil && len(w.entries) == 0 && !w.snapshot && len(w.copies) == 0
}

// apply carries out work until ctx ends.
func (m *member) apply(ctx context.Context, done chan<- applied) error {
	at := m.start
	for {
		select {
		case w := <-m.work:
			a, err := m.carryOut(w, &at)
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

func (m *member) carryOut(w work, at *consensus.Entry) (applied, error) {
	a := applied{group: m.group}
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
			a.outcomes = append(a.outcomes, appliedOutcome{index: e.Index, term: e.Term, b: m.machine.Apply(e.Index, e.Data)})
		}
	}
	a.index = at.Index
	if w.snapshot || len(w.copies) > 0 {
		m.copyState(w, *at, &a)
	}
	return a, nil
}

// copyState gives a copy of the state to whoever waits for one.
func (m *member) copyState(w work, at consensus.Entry, a *applied) {
	b := m.machine.Snapshot()
	s := consensus.Snapshot{Index: at.Index, Term: at.Term, Size: uint64(len(b)), Checksum: xxhash.Sum64(b)}
	if w.snapshot {
		a.snapshot, a.taken = b, &s
	}
	for _, c := range w.copies {
		c <- groupState{group: m.group, snapshot: s, content: b}
	}
}

// commit queues committed entries for the applying goroutine.
func (m *member) commit(l []consensus.Entry) {
	if m.holding {
		m.held.entries = append(m.held.entries, l...)
		return
	}
	m.waiting.entries = append(m.waiting.entries, l...)
}

// hold keeps commits back until the content of an installed snapshot is in place.
func (m *member) hold(s *consensus.Snapshot) {
	m.holding = true
	if m.waiting.snapshot {
		m.taking = false
	}
	m.copies = append(m.copies, m.waiting.copies...)
	m.held = work{install: s}
	m.waiting = work{}
}

// release lets the applying goroutine go on with an installed snapshot.
func (m *member) release(s *consensus.Snapshot) {
	if !m.holding || m.held.install.Index != s.Index {
		return
	}
	m.waiting = m.held
	m.held = work{}
	m.holding = false
	m.since, m.bytes = 0, 0
}

// keep makes the file of a snapshot the newest, in place of an older one.
func (m *member) keep(index uint64) {
	o := min(m.stored, index)
	m.stored = max(m.stored, index)
	if o > 0 && o != m.stored {
		m.obsolete = append(m.obsolete, o)
	}
}

// hand gives the applying goroutine what waits, when it is idle.
func (m *member) hand() {
	if !m.holding {
		m.waiting.copies = append(m.waiting.copies, m.copies...)
		m.copies = nil
	}
	if m.busy || m.waiting.empty() {
		return
	}
	m.work <- m.waiting
	m.waiting = work{}
	m.busy = true
}

// settle answers everything that what was applied decides.
func (m *member) settle(a applied) {
	m.busy = false
	m.applied = max(m.applied, a.index)
	m.since += a.entries
	m.bytes += a.bytes
	for _, o := range a.outcomes {
		p, ok := m.open[o.index]
		if !ok {
			continue
		}
		delete(m.open, o.index)
		if p.term == o.term {
			p.done <- outcome{b: o.b}
		} else {
			p.done <- outcome{err: lostLeadership()}
		}
	}
	var rest []wait
	for _, w := range m.waits {
		if w.index <= m.applied {
			w.done <- outcome{}
		} else {
			rest = append(rest, w)
		}
	}
	m.waits = rest
}

// fail answers the open proposals of a replica that leads no more.
func (m *member) fail() {
	for i, p := range m.open {
		p.done <- outcome{err: lostLeadership()}
		delete(m.open, i)
	}
}
