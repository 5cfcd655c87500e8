package replica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/result"
)

// Add makes the replica of a VM, which is blank or has no leader and sends hellos, a learner of the groups that this
// replica leads. The learner becomes a voter later: after it has caught up and, if Deps.Growth is set, as far as that allows.
//
// It returns the number of changed groups, and result.ChangeInvalid if the VM is not a member and its replica has sent
// this leader no hello within joiningExpiry.
func (r *Replica) Add(ctx context.Context, vm string) (int, error) {
	return r.changeLedGroups(ctx, func(now time.Time, m *groupReplica) (bool, error) {
		n, ok := m.joining[vm]
		f := m.core.Configuration()
		if !ok && hasVM(f, vm) {
			return false, nil
		}
		if !ok {
			return false, result.New(result.ChangeInvalid, "VM %q runs no keeper without a part in group %d", vm, m.group)
		}
		return r.reconfigure(now, m, replaceLearner(f, consensus.Member{VM: vm, ID: n.id}))
	})
}

// Remove removes the replica of a VM from the groups that this replica leads.
//
// It returns the number of changed groups, and result.NoQuorum if the responsive voters among the remaining ones would
// not be a majority.
func (r *Replica) Remove(ctx context.Context, vm string) (int, error) {
	return r.changeLedGroups(ctx, func(now time.Time, m *groupReplica) (bool, error) {
		f := m.core.Configuration()
		n := f
		for _, x := range f.Members() {
			if x.VM == vm {
				n = n.Without(x.ID)
			}
		}
		if len(n.Members()) == len(f.Members()) {
			return false, nil
		}
		if !m.core.Reachable(now, n) {
			return false, result.New(result.NoQuorum, "group %d would have no quorum without VM %q", m.group, vm)
		}
		return r.reconfigure(now, m, n)
	})
}

// reconfigure starts a membership change that an operator requested.
func (r *Replica) reconfigure(now time.Time, m *groupReplica, f consensus.Configuration) (bool, error) {
	if _, _, err := m.core.ChangeMembership(now, f); err != nil {
		return false, result.New(result.NoQuorum, "group %d: %v", m.group, err)
	}
	r.d.Log.Info("membership change", "group", m.group, "change", "operator", "voters", len(f.Voters), "learners", len(f.Learners))
	return true, nil
}

// changeLedGroups calls f for every group that this replica leads, up to the first error, and returns the number of
// groups that f changed. It does not wait until the changes are committed.
func (r *Replica) changeLedGroups(ctx context.Context, f func(time.Time, *groupReplica) (bool, error)) (int, error) {
	type response struct {
		changed int
		err     error
	}
	done := make(chan response, 1)
	err := r.runInLoop(ctx, func(now time.Time) {
		var a response
		for _, n := range r.groupIDs {
			m := r.groups[n]
			if m.core.Role() != consensus.Leader || a.err != nil {
				continue
			}
			ok, err := f(now, m)
			if ok {
				a.changed++
			}
			a.err = err
		}
		done <- a
	})
	if err != nil {
		return 0, err
	}
	select {
	case a := <-done:
		return a.changed, a.err
	case <-ctx.Done():
	case <-r.done:
	}
	return 0, errors.New("the replica did not respond in time; some groups may have been changed")
}
