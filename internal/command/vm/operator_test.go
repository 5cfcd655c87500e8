package vm_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/access"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
	"snipetack/internal/transport/operator"
)

const operatorToken = "op-anna"

// TestInvariantConfirmedWithdrawalIsInForce withdraws a key while a VM is isolated. Once the withdrawal is confirmed,
// by the VMs or by the expiry of the isolated VM's copy, every VM must refuse the key.
func TestInvariantConfirmedWithdrawalIsInForce(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := fleet.New(t, fleet.Shape{Seed: seed, Keepers: 3, Entries: 3, Engines: 2})
			defer f.Close()
			k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 1000, Burst: 1000, Weight: 1})
			o := newOperator(t, f, "entry-1")
			f.Await(time.Minute, "key works at entry-3", func() bool { return statusAt(f, "entry-3", k[0]) == http.StatusOK })
			c, err := o.Configuration(t.Context())
			require.NoError(t, err)
			f.Net.Isolate(f.IP("entry-3"), f.IPs(), true)
			id := onlyKey(t, c)
			a, err := o.Commit(t.Context(), catalog.Change{ID: "withdraw", Rebase: true, Ops: []catalog.Op{{Withdraw: id}}})
			require.NoError(t, err)
			start := time.Now()
			steps := 0
			n, err := o.Confirm(t.Context(), a.Revision, func(operator.Confirmation) { steps++ })
			require.NoError(t, err)
			for _, v := range f.Settings.VMs {
				require.Contains(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable}, statusAt(f, v.Name, k[0]), "seed %d, VM %s", seed, v.Name)
			}
			require.ElementsMatch(t, []string{"keeper-1", "keeper-2", "keeper-3", "entry-1", "entry-2"}, n.Confirmed)
			require.Equal(t, []string{"entry-3"}, n.Expired)
			require.Less(t, time.Since(start), feed.FreshnessLease+3*time.Second)
			require.Greater(t, steps, 1)
		})
	}
}

func TestDrainedVMIsUnreadyAndLeadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 3, Entries: 1, Engines: 1})
		defer f.Close()
		f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 1, Burst: 1, Weight: 1})
		o := newOperator(t, f, "entry-1")
		leader := reportedLeader(t, o)
		require.NotEmpty(t, leader)
		for range 2 { // draining is idempotent
			r, err := o.DrainVM(t.Context(), leader)
			require.NoError(t, err)
			require.True(t, r.Draining)
		}
		f.Await(10*time.Second, "another leader", func() bool { l := reportedLeader(t, o); return l != "" && l != leader })
		r, err := f.Client().Get(f.URL(leader, "/readyz"))
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
		_, err = o.DrainVM(t.Context(), "nobody")
		require.ErrorContains(t, err, `the settings name no VM "nobody"`)
	})
}

func TestHistorySaysWhoChangedWhatAndWhen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 3, Entries: 1, Engines: 1})
		defer f.Close()
		f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 1, Burst: 1, Weight: 1})
		o := newOperator(t, f, "entry-1")
		now := time.Now()
		a, err := o.Commit(t.Context(), catalog.Change{ID: "one", Rebase: true, Ops: []catalog.Op{{Account: &catalog.Account{Name: "drivers", Rate: 2, Burst: 1, Weight: 1}}}})
		require.NoError(t, err)
		l, err := o.History(t.Context(), a.Revision-1)
		require.NoError(t, err)
		require.Len(t, l, 1)
		require.Equal(t, "anna", l[0].Change.Author)
		require.Equal(t, "one", l[0].Change.ID)
		require.WithinDuration(t, now, l[0].Change.At, time.Second)
		require.InDelta(t, 2, l[0].Change.Ops[0].Account.Rate, 0)
	})
}

// newOperator adds an operator with a token to the configuration and returns their client of a VM's operators' API.
func newOperator(t *testing.T, f *fleet.Fleet, vm string) *operator.Client {
	f.Change(vm, catalog.Op{Operator: &catalog.Operator{Name: "anna", Digest: access.Digest(operatorToken)}})
	v, ok := f.Settings.VM(vm)
	require.True(t, ok)
	o := operator.NewClient(v.Operators, operatorToken, f.Client())
	f.Await(time.Minute, "operator known", func() bool {
		_, err := o.Configuration(t.Context())
		return err == nil
	})
	return o
}

func onlyKey(t *testing.T, c *catalog.Configuration) string {
	require.Len(t, c.Keys, 1)
	for id := range c.Keys {
		return id
	}
	return ""
}

// reportedLeader returns the leader of the newest term that any VM reports, or an empty string if that is unknown.
func reportedLeader(t *testing.T, o *operator.Client) string {
	l, err := o.Reports(t.Context())
	require.NoError(t, err)
	best, term := "", uint64(0)
	for _, r := range l {
		if r.Term > term || (r.Term == term && best == "") {
			best, term = r.Leader, r.Term
		}
	}
	return best
}

// statusAt returns the status of a short request with a key, or 0 if there is no response.
func statusAt(f *fleet.Fleet, vm, key string) int {
	r, err := f.Client().Do(f.Chat(f.T.Context(), vm, key, "x", 1, false))
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

func TestOperatorsSeeAndCancelJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 3, Keepers: 3, Entries: 2, Engines: 2})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1})
		o := newOperator(t, f, "entry-2")
		c := newCaller(f, k[0])
		j := c.start("entry-1", items(500, 50, "statement"))
		l, err := o.Jobs(t.Context(), "")
		require.NoError(t, err)
		require.Len(t, l, 1)
		require.Equal(t, j.ID, l[0].ID)
		require.Equal(t, "clerks", l[0].Account)
		require.Equal(t, 500, l[0].Items)
		for range 2 { // cancelling is idempotent
			n, err := o.CancelJob(t.Context(), j.ID, "clerks")
			require.NoError(t, err)
			require.NotEqual(t, "in_progress", n.Status)
		}
		c.await("entry-1", j.ID, 10*time.Second, "cancelled")
		n, err := o.Job(t.Context(), j.ID, "clerks")
		require.NoError(t, err)
		require.Equal(t, "cancelled", n.Status)
		_, err = o.Job(t.Context(), j.ID, "nobody")
		require.ErrorContains(t, err, "account nobody has no job")
	})
}
