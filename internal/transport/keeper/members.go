package keeper

import (
	"context"

	"snipetack/internal/coordination/replica"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/mesh"
)

// Action is an operator's action on the members of the groups. The numbers are sent over the mesh and never reused.
type Action byte

// The actions of operators.
const (
	Show     Action = 1 // returns a Report, which the other actions return too
	Add      Action = 2 // adds the blank replica of a VM, first as a learner
	Remove   Action = 3 // removes a VM's replica
	Transfer Action = 4 // transfers the leadership of the groups that the keeper leads to other replicas
)

// Report is a keeper's report of itself and its groups.
type Report struct {
	VM      string
	ID      uint64 // replica id
	Changed int    // number of groups that the action changed
	Groups  []replica.Status
	Error   string // why the keeper returned no report; empty if it did
}

// MemberProvider reports and changes the members of a keeper's groups.
type MemberProvider interface {
	ID() uint64
	Status() []replica.Status
	Add(ctx context.Context, vm string) (int, error)
	Remove(ctx context.Context, vm string) (int, error)
	Transfer(ctx context.Context) error
}

// ServeMembers handles operators' actions on the members of the groups that this keeper leads.
func ServeMembers(m *mesh.Mesh, p MemberProvider) {
	m.Handle(frame.Membership, func(ctx context.Context, _ string, b []byte) ([]byte, error) {
		a, vm, err := decodeAction(b)
		if err != nil {
			return nil, err
		}
		n, err := perform(ctx, p, a, vm)
		if err != nil {
			return nil, err
		}
		return encodeReport(Report{ID: p.ID(), Changed: n, Groups: p.Status()}), nil
	})
}

// Keepers requests the reports of all keepers at the same time and returns one of each, with Error set if it failed.
func (c *Client) Keepers(ctx context.Context) []Report {
	l := make([]Report, len(c.keepers))
	done := make(chan struct{}, len(c.keepers))
	for i, k := range c.keepers {
		go func() {
			l[i] = c.report(ctx, k)
			done <- struct{}{}
		}()
	}
	for range c.keepers {
		<-done
	}
	return l
}

// Act runs an action on every keeper, each for the groups that it leads, and returns how many groups were changed.
// Transfer runs on vm only. Failures of some keepers are ignored if others have changed a group.
func (c *Client) Act(ctx context.Context, a Action, vm string) (int, error) {
	changed, answers := 0, 0
	var last error
	for _, k := range c.keepers {
		if a == Transfer && k != vm {
			continue
		}
		r, err := c.act(ctx, k, a, vm)
		if err != nil {
			last = err
			continue
		}
		answers++
		changed += r.Changed
	}
	if last != nil && (changed == 0 || answers == 0) {
		return changed, last
	}
	return changed, nil
}

func (c *Client) report(ctx context.Context, k string) Report {
	r, err := c.act(ctx, k, Show, "")
	if err != nil {
		r.Error = result.Of(err).Error()
	}
	r.VM = k
	return r
}

func (c *Client) act(ctx context.Context, k string, a Action, vm string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	b, err := c.calls.Call(ctx, k, frame.Membership, encodeAction(a, vm))
	if err != nil {
		return Report{}, err
	}
	return decodeReport(b)
}

func perform(ctx context.Context, p MemberProvider, a Action, vm string) (int, error) {
	switch a {
	case Show:
		return 0, nil
	case Add:
		return p.Add(ctx, vm)
	case Remove:
		return p.Remove(ctx, vm)
	case Transfer:
		n := countLed(p.Status())
		return n, p.Transfer(ctx)
	}
	return 0, result.New(result.MalformedRequest, "unknown action %d", a)
}

func countLed(l []replica.Status) int {
	n := 0
	for _, s := range l {
		if s.Leads {
			n++
		}
	}
	return n
}
