package catalog

import (
	"github.com/pkg/errors"

	"snipetack/internal/state/result"
)

// Limits on the outcomes and changes that the machine retains.
const (
	maxOutcomes = 20_000 // change ids for which a retry still gets the first outcome
	maxHistory  = 4_096  // changes that a lagging watcher can fetch one by one; beyond it the older half is discarded
)

// Machine is the control group's state machine; it is not safe for concurrent use.
type Machine struct {
	current    *Configuration
	history    []Applied // the latest changes, oldest first
	outcomes   map[string]Outcome
	outcomeIDs []string // ids in outcomes, oldest first
}

// New returns a Machine at revision 0.
func New() *Machine {
	return &Machine{
		current:  NewConfiguration(),
		outcomes: map[string]Outcome{},
	}
}

// Current returns the configuration in force.
func (m *Machine) Current() *Configuration {
	return m.current
}

// Since returns the changes after a revision, or false when some of them have been discarded or
// revision is higher than the current one.
func (m *Machine) Since(revision uint64) ([]Applied, bool) {
	if revision > m.current.Revision {
		return nil, false
	}
	n := int(m.current.Revision - revision)
	if n > len(m.history) {
		return nil, false
	}
	return append([]Applied(nil), m.history[len(m.history)-n:]...), true
}

// Apply executes an encoded Change and returns an encoded Outcome.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	c, err := DecodeChange(command)
	if err != nil {
		return EncodeOutcome(Outcome{Code: result.ChangeInvalid, Detail: err.Error()})
	}
	return EncodeOutcome(m.Execute(c))
}

// Execute applies a change and returns its outcome. A change with the id of an earlier one is a retry: it changes
// nothing and gets the earlier outcome.
func (m *Machine) Execute(c Change) Outcome {
	if o, ok := m.outcomes[c.ID]; ok {
		return o
	}
	o := m.decide(c)
	m.recordOutcome(c.ID, o)
	return o
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	return encodeMachine(m)
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	n, err := decodeMachine(snapshot)
	if err != nil {
		return errors.Wrap(err, "restoring the configuration from a snapshot")
	}
	*m = *n
	return nil
}

func (m *Machine) decide(c Change) Outcome {
	if c.ID == "" {
		return Outcome{Code: result.ChangeInvalid, Detail: "the change has no id"}
	}
	if !c.Rebase && c.Base != m.current.Revision {
		return m.conflictOutcome(c)
	}
	n, err := m.current.With(c.Ops)
	if err != nil {
		return Outcome{Code: result.ChangeInvalid, Revision: m.current.Revision, Detail: err.Error()}
	}
	m.current = n
	m.history = append(m.history, Applied{Revision: n.Revision, Change: c})
	if len(m.history) > maxHistory {
		m.history = append([]Applied(nil), m.history[len(m.history)-maxHistory/2:]...)
	}
	return Outcome{Code: result.OK, Revision: n.Revision}
}

func (m *Machine) conflictOutcome(c Change) Outcome {
	o := Outcome{
		Code:     result.ChangeConflict,
		Revision: m.current.Revision,
		Detail:   "the change was made against another revision",
	}
	if after, ok := m.Since(c.Base); ok && len(after) > 0 {
		o.Winner = after[0].Change.ID
		o.Author = after[0].Change.Author
	}
	return o
}

func (m *Machine) recordOutcome(id string, o Outcome) {
	if id == "" {
		return
	}
	m.outcomes[id] = o
	m.outcomeIDs = append(m.outcomeIDs, id)
	for len(m.outcomeIDs) > maxOutcomes {
		delete(m.outcomes, m.outcomeIDs[0])
		m.outcomeIDs = m.outcomeIDs[1:]
	}
}
