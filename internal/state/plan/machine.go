package plan

import (
	"slices"
	"strings"
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

	QuarantineRevision uint64 // grows with each change of Quarantines
	Quarantines        []Quarantine

	EvacuationRevision   uint64 // grows with each change of Evacuations
	Evacuations          []Evacuation
	EvacuationsSupported bool // all members of the group ran a build that replicates evacuations
}

// Quarantine holds back prompts or one request that crash upstreams.
type Quarantine struct {
	// Segments are the sorted ids of prompt segments, or only the fingerprint of a request; a prompt that has all of them and the request are
	// not sent to an upstream. Both are in one field because builds that know no fingerprints replicate this state, too.
	Segments []string
}

// FingerprintPrefix begins the fingerprint of a request; ids of segments have no colon.
const FingerprintPrefix = "request:"

// Fingerprint returns the fingerprint of the request that the quarantine holds back, or "" if it holds back prompts.
func (q Quarantine) Fingerprint() string {
	if len(q.Segments) == 1 && strings.HasPrefix(q.Segments[0], FingerprintPrefix) {
		return q.Segments[0]
	}
	return ""
}

// Key returns a text that is the same for equal quarantines only.
func (q Quarantine) Key() string { return strings.Join(q.Segments, ",") }

// Matches reports whether a prompt with these segments is held back.
func (q Quarantine) Matches(segments []string) bool {
	for _, s := range q.Segments {
		if !slices.Contains(segments, s) {
			return false
		}
	}
	return len(q.Segments) > 0
}

// maxQuarantines bounds the quarantines of a State; a further one replaces the oldest.
const maxQuarantines = 64

// Command is one change of a State: a configuration with its version, the initial members, a VM to drain, a quarantine, or an order
// about an evacuation.
type Command struct {
	Version        uint64
	Document       []byte
	InitialMembers []string
	Leave          string // name of the VM to drain
	Quarantine     Quarantine
	Release        bool // removes the Quarantine instead of adding it
	Evacuation     EvacuationOrder
	Supported      bool // sets State.EvacuationsSupported
}

// NewControl returns a Control with an empty state. Apply and Restore, which must be called one at a time, call observe with the new
// state before they return. The Control isn't locked then, so observe may wait for others that read the state.
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
// and neither do initial members once they are set. The result is empty, or says why the command can't be decoded or
// that its order was superseded.
func (c *Control) Apply(_ uint64, command []byte) []byte {
	m, err := DecodeCommand(command)
	if err != nil {
		return []byte(err.Error())
	}
	s, result := c.change(m)
	c.observer(s)
	return result
}

// change executes a command and returns the new state and the result.
func (c *Control) change(m Command) (State, []byte) {
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
	case len(m.Quarantine.Segments) > 0:
		c.state.quarantine(m.Quarantine, m.Release)
	case m.Version > c.state.Version:
		c.state.Version, c.state.Document = m.Version, m.Document
	case m.Evacuation.Zone != "":
		if !c.state.evacuate(m.Evacuation) {
			return c.state, []byte(superseded)
		}
	case m.Supported:
		c.state.EvacuationsSupported = true
	}
	return c.state, nil
}

// quarantine adds or removes a quarantine; one that is there already, or not there, changes nothing.
func (s *State) quarantine(q Quarantine, release bool) {
	i := slices.IndexFunc(s.Quarantines, func(x Quarantine) bool { return x.Key() == q.Key() })
	if release != (i >= 0) {
		return
	}
	l := slices.Clone(s.Quarantines)
	switch {
	case release:
		l = slices.Delete(l, i, i+1)
	case len(l) >= maxQuarantines:
		l = append(l[1:], q)
	default:
		l = append(l, q)
	}
	s.Quarantines = l
	s.QuarantineRevision++
}

// Snapshot returns the encoded state.
func (c *Control) Snapshot() []byte {
	s := c.State()
	e := wire.NewEncoder()
	e.Uint(1, s.Version)
	e.Bytes(2, s.Document)
	e.Texts(3, s.InitialMembers)
	e.Texts(4, s.Leaving)
	e.Uint(5, s.QuarantineRevision)
	EncodeQuarantines(e, 6, s.Quarantines)
	e.Uint(7, s.EvacuationRevision)
	EncodeEvacuations(e, 8, s.Evacuations)
	e.Bool(9, s.EvacuationsSupported)
	return e.Encoded()
}

// EncodeQuarantines writes each quarantine as a field.
func EncodeQuarantines(e *wire.Encoder, field int, l []Quarantine) {
	for _, q := range l {
		e.Record(field, func(e *wire.Encoder) { e.Texts(1, q.Segments) })
	}
}

// DecodeQuarantine reads the current field, which EncodeQuarantines wrote.
func DecodeQuarantine(p *wire.Decoder) Quarantine {
	var q Quarantine
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f == 1 {
			q.Segments = append(q.Segments, d.Text())
		}
	}
	p.Fail(d.Err())
	return q
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
		case 5:
			s.QuarantineRevision = d.Uint()
		case 6:
			s.Quarantines = append(s.Quarantines, DecodeQuarantine(d))
		case 7:
			s.EvacuationRevision = d.Uint()
		case 8:
			s.Evacuations = append(s.Evacuations, DecodeEvacuation(d))
		case 9:
			s.EvacuationsSupported = d.Bool()
		}
	}
	if err := d.Err(); err != nil {
		return errors.Wrap(err, "decoding the control state")
	}
	c.mu.Lock()
	c.state = s
	c.mu.Unlock()
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
	e.Texts(5, m.Quarantine.Segments)
	e.Bool(6, m.Release)
	encodeOrder(e, 7, m.Evacuation)
	e.Bool(8, m.Supported)
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
		case 5:
			m.Quarantine.Segments = append(m.Quarantine.Segments, d.Text())
		case 6:
			m.Release = d.Bool()
		case 7:
			m.Evacuation = decodeOrder(d)
		case 8:
			m.Supported = d.Bool()
		}
	}
	return m, errors.Wrap(d.Err(), "decoding a control command")
}
