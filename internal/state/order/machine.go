package order

import (
	"maps"
	"sync"

	"github.com/pkg/errors"
)

// Machine is the placement group's state machine; it is safe for concurrent use.
type Machine struct {
	mu    sync.RWMutex
	state State
}

// New returns a Machine with nothing placed.
func New() *Machine {
	return &Machine{state: State{Upstreams: map[string]Placed{}}}
}

// State returns the current state, which must not be modified.
func (m *Machine) State() State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state
}

// Apply executes an encoded Command and returns an encoded Outcome.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	if err != nil {
		return EncodeOutcome(Outcome{Stale: true})
	}
	return EncodeOutcome(m.Execute(c))
}

// Execute applies a command and returns its outcome.
func (m *Machine) Execute(c Command) Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Term < m.state.Term {
		return Outcome{Stale: true}
	}
	n := State{Fence: m.state.Fence, Term: c.Term, Upstreams: maps.Clone(m.state.Upstreams)}
	for _, f := range c.Finish {
		n.finish(f)
	}
	for _, u := range c.Forget {
		delete(n.Upstreams, u)
	}
	var o Outcome
	for _, i := range c.Begin {
		o.Fences = append(o.Fences, n.begin(i, c.Term))
	}
	m.state = n
	return o
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	return encodeState(m.State())
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	s, err := decodeState(snapshot)
	if err != nil {
		return errors.Wrap(err, "restoring the placement state from a snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	return nil
}

// begin makes an intent the pending one of its upstream and returns its fencing number.
func (s *State) begin(i Intent, term uint64) uint64 {
	s.Fence++
	i.Fence, i.Term = s.Fence, term
	p := s.Upstreams[i.Upstream]
	p.Pending = &i
	s.Upstreams[i.Upstream] = p
	return i.Fence
}

// finish ends a pending intent, unless another one has replaced it.
func (s *State) finish(f Finish) {
	p, ok := s.Upstreams[f.Upstream]
	if !ok || p.Pending == nil || p.Pending.Fence != f.Fence {
		return
	}
	if f.Done {
		p = p.after(*p.Pending)
	}
	p.Pending = nil
	s.Upstreams[f.Upstream] = p
}

// after returns what the upstream holds when i has been carried out. It doesn't modify p.
func (p Placed) after(i Intent) Placed {
	p.Loaded = maps.Clone(p.Loaded)
	switch i.Action {
	case Load:
		if p.Loaded == nil {
			p.Loaded = map[string]Held{}
		}
		p.Loaded[i.Target] = Held{Since: i.At, Bytes: i.Bytes}
	case Unload:
		delete(p.Loaded, i.Target)
	case Role:
		p.Role = i.Target
	}
	return p
}
