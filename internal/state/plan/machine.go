package plan

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// Control is the state machine of the control VMs' group; it is safe for concurrent use.
type Control struct {
	mu       sync.RWMutex
	state    State
	observer func(State)
}

// State is what the control VMs replicate. Its slices are shared and must not be modified.
type State struct {
	Version        uint64   // of Document; 0 when there is none
	Document       []byte   // the newest configuration, as the operator sent it
	InitialMembers []string // the batch group's initial members; set once
	Leaving        []string // names of VMs to drain
}

// Command is one change of a State: a configuration with its version, the initial members, or a VM to drain.
type Command struct {
	Version        uint64
	Document       []byte
	InitialMembers []string
	Leave          string // name of the VM to drain
}

// NewControl returns a Control with an empty state. It calls observe with the state after each command and Restore,
// while it is locked: observe must not call its methods.
func NewControl(observe func(State)) *Control {
	return &Control{observer: observe}
}

// State returns the state applied so far.
func (c *Control) State() State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.state
}

// Apply executes an encoded Command. A configuration whose version is not higher than the current one changes nothing,
// and neither do initial members once they are set. The result is empty, or says why the command can't be decoded.
func (c *Control) Apply(_ uint64, command []byte) []byte {
	m, err := DecodeCommand(command)
	if err != nil {
		return []byte(err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case m.Leave != "":
		if !slices.Contains(c.state.Leaving, m.Leave) {
			c.state.Leaving = append(slices.Clone(c.state.Leaving), m.Leave)
		}
	case len(m.InitialMembers) > 0:
		if len(c.state.InitialMembers) == 0 {
			c.state.InitialMembers = m.InitialMembers
		}
	case m.Version > c.state.Version:
		c.state.Version, c.state.Document = m.Version, m.Document
	}
	c.observer(c.state)
	return nil
}

// Snapshot returns the encoded state.
func (c *Control) Snapshot() []byte {
	s := c.State()
	e := wire.NewEncoder()
	e.Uint(1, s.Version)
	e.Bytes(2, s.Document)
	e.Texts(3, s.InitialMembers)
	e.Texts(4, s.Leaving)
	return e.Encoded()
}

// Restore replaces the state by a snapshot.
func (c *Control) Restore(b []byte) error {
	var s State
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.Version = d.Uint()
		case 2:
			s.Document = slices.Clone(d.Bytes())
		case 3:
			s.InitialMembers = append(s.InitialMembers, d.Text())
		case 4:
			s.Leaving = append(s.Leaving, d.Text())
		}
	}
	if err := d.Err(); err != nil {
		return errors.Wrap(err, "decoding the control state")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	c.observer(s)
	return nil
}

// EncodeCommand returns the stored form of a command.
func EncodeCommand(m Command) []byte {
	e := wire.NewEncoder()
	e.Uint(1, m.Version)
	e.Bytes(2, m.Document)
	e.Texts(3, m.InitialMembers)
	e.Text(4, m.Leave)
	return e.Encoded()
}

// DecodeCommand reads the stored form of a command.
func DecodeCommand(b []byte) (Command, error) {
	var m Command
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			m.Version = d.Uint()
		case 2:
			m.Document = slices.Clone(d.Bytes())
		case 3:
			m.InitialMembers = append(m.InitialMembers, d.Text())
		case 4:
			m.Leave = d.Text()
		}
	}
	return m, errors.Wrap(d.Err(), "decoding a control command")
}
