package control

import (
	"sync"

	"snipetack/internal/state/catalog"
)

// Machine is the control group's replicated state machine; it is safe for concurrent use.
type Machine struct {
	mu      sync.RWMutex
	m       *catalog.Machine
	changed chan struct{}
}

// New returns a Machine at revision 0.
func New() *Machine {
	return &Machine{m: catalog.New(), changed: make(chan struct{})}
}

// Apply executes the encoded change at a log index and returns its encoded result.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.m.Current().Revision
	o := m.m.Apply(index, command)
	if m.m.Current().Revision != r {
		m.notify()
	}
	return o
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.m.Snapshot()
}

// Restore replaces the state with an encoded snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.notify()
	return m.m.Restore(snapshot)
}

// Current returns the newest configuration; it is immutable.
func (m *Machine) Current() *catalog.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.m.Current()
}

// Since returns the changes after a revision, or false when some of them have been discarded.
func (m *Machine) Since(revision uint64) ([]catalog.Applied, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.m.Since(revision)
}

// Changed returns a channel that is closed when the next revision is applied or a snapshot is restored.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// notify wakes all that wait on Changed; the lock must be held.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}
