package ledger

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/result"
)

// Machine is the state machine of a job shard. It is safe for concurrent use.
type Machine struct {
	mu     sync.RWMutex
	limits Limits
	files  map[string]*File
	jobs   map[string]*jobState
	leases map[string]*leaseState
	stored int64 // compressed bytes of all chunks
}

// New returns an empty Machine.
func New(l Limits) *Machine {
	return &Machine{
		limits: l,
		files:  map[string]*File{},
		jobs:   map[string]*jobState{},
		leases: map[string]*leaseState{},
	}
}

// Apply executes an encoded Command and returns an encoded Outcome. A command that can't be decoded changes nothing.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	if err != nil {
		return EncodeOutcome(Outcome{Code: result.Internal, Detail: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Report != nil {
		return m.report(c.Report, c.At)
	}
	return EncodeOutcome(m.execute(c))
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return encodeMachine(m)
}

// Restore replaces the state by a snapshot; after an error the state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	n, err := decodeMachine(snapshot, m.limits)
	if err != nil {
		return errors.Wrap(err, "restoring jobs from a snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files = n.files
	m.jobs = n.jobs
	m.leases = n.leases
	m.stored = n.stored
	return nil
}

func (m *Machine) execute(c Command) Outcome {
	switch {
	case c.Open != nil:
		return m.open(*c.Open, c.At)
	case c.Append != nil:
		return m.append(*c.Append)
	case c.Seal != nil:
		return m.seal(*c.Seal)
	case c.Drop != nil:
		return m.drop(*c.Drop)
	case c.Create != nil:
		return m.create(*c.Create, c.At)
	case c.Cancel != nil:
		return m.cancel(*c.Cancel, c.At)
	case c.Take != nil:
		return m.take(*c.Take, c.At)
	case c.Release != nil:
		return m.release(*c.Release, c.At)
	case c.Prune:
		m.prune(c.At)
	}
	return Outcome{}
}

// prune removes ended jobs past their retention, files past theirs that no remaining job uses, and uploads that were
// not sealed in time.
func (m *Machine) prune(at time.Time) {
	used := map[string]bool{}
	for id, w := range m.jobs {
		if !w.EndedAt.IsZero() && at.Sub(w.EndedAt) > m.limits.Retention {
			m.stored -= w.output.stored + w.errors.stored
			delete(m.jobs, id)
			continue
		}
		used[w.File] = true
	}
	for id, f := range m.files {
		age := at.Sub(f.CreatedAt)
		if used[id] || f.Sealed && age <= m.limits.Retention || !f.Sealed && age <= m.limits.UploadTime {
			continue
		}
		m.stored -= f.stored
		delete(m.files, id)
	}
}

func refused(c result.Code, detail string) Outcome {
	return Outcome{Code: c, Detail: detail}
}
