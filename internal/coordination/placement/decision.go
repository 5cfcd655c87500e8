package placement

import (
	"fmt"
	"time"

	"snipetack/internal/state/order"
)

// maxDecisions is the max number of decisions that Explain can return; beyond it the older half is dropped.
const maxDecisions = 1024

// Decision is a decision with its reason, for the log and for operators.
type Decision struct {
	At       time.Time
	Upstream string // empty when the action has to wait
	Action   order.Action
	Target   string
	Fence    uint64 // of the intent; zero, since decisions are recorded before it is committed
	Reason   string
}

// String returns the decision as one line of text.
func (d Decision) String() string {
	return fmt.Sprintf("%s %s at %q: %s", d.Action, d.Target, d.Upstream, d.Reason)
}

// record keeps a decision. A wait is skipped if the last decision about the same action and target had the same reason,
// so that it isn't logged again in each step.
func (c *Core) record(d Decision) {
	k := string(d.Action) + " " + d.Target
	if d.Upstream == "" && c.lastReason[k] == d.Reason {
		return
	}
	c.lastReason[k] = d.Reason
	c.newDecisions = append(c.newDecisions, d)
	c.decisions = append(c.decisions, d)
	if len(c.decisions) > maxDecisions {
		c.decisions = append([]Decision(nil), c.decisions[maxDecisions/2:]...)
	}
}

// Explain returns the latest decisions about an upstream or artifact, or about all if the name is empty, oldest first.
func (c *Core) Explain(name string) []Decision {
	var l []Decision
	for _, d := range c.decisions {
		if name == "" || d.Upstream == name || d.Target == name {
			l = append(l, d)
		}
	}
	return l
}
