package batch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/standin/engine"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// seeds is how many simulations, each with faults of its own, check each invariant.
const seeds = 40

func overSeeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	for s := range uint64(seeds) {
		t.Run(fmt.Sprint("seed=", s), func(t *testing.T) { f(t, s) })
	}
}

func TestInvariantItemCompletesOnce(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed)
		w.rejectedItem, w.breakingItem = 3, 7
		a := w.job("a", "k1", 40, 0).Job.ID
		b := w.job("b", "k2", 25, 0).Job.ID
		for range 300 {
			w.tick()
		}
		w.runUntilDone(5 * time.Minute)
		for _, x := range []struct {
			account, id string
			n           int
		}{{"a", a, 40}, {"b", b, 25}} {
			j := w.jobOf(x.account, x.id)
			require.Equal(t, ledger.Completed, j.Status)
			require.Equal(t, x.n, j.Done+j.Failed)
			require.Len(t, w.lines(ledger.OutputFile(j.ID)), j.Done)
			require.Len(t, w.lines(ledger.ErrorsFile(j.ID)), j.Failed)
			require.GreaterOrEqual(t, j.Failed, 2, "the rejected item and the breaking item end as failed")
			require.Contains(t, w.first[ledger.LineID(j.ID, 3)], "bad")
			require.Contains(t, w.first[ledger.LineID(j.ID, 7)], "broken")
		}
		require.Len(t, w.first, 65)
	})
}

func TestInvariantItemCompletesOnceWhenItMayNotBeRepeated(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed)
		w.repeatable = false
		j := w.job("a", "k1", 30, 0).Job.ID
		for range 300 {
			w.tick()
		}
		w.runUntilDone(5 * time.Minute)
		require.Len(t, w.first, 30)
		require.Equal(t, ledger.Completed, w.jobOf("a", j).Status)
		for r, n := range w.runs {
			require.LessOrEqual(t, n, 1, "item %d ran more than once", r.Item)
		}
	})
}

func TestInvariantResultStaysReadable(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed)
		j := w.job("a", "k1", 40, 0).Job.ID
		for i := range 400 { // tick checks the results, across VM losses and restores of the ledger
			w.tick()
			if i%50 == 0 {
				w.apply(ledger.Command{Prune: true})
			}
		}
		w.runUntilDone(5 * time.Minute)
		f := ledger.DefaultLimits().Retention
		w.now = w.jobOf("a", j).EndedAt.Add(f)
		w.apply(ledger.Command{Prune: true})
		w.checkResults()
		require.Len(t, w.first, 40)
		w.now = w.now.Add(time.Second)
		w.apply(ledger.Command{Prune: true})
		require.Empty(t, w.ledger.Read(ledger.Query{Subject: ledger.OneJob, Account: "a", ID: j}).Jobs)
	})
}

func TestInvariantCancelledJobStops(t *testing.T) {
	const limit = 2 * time.Second // within which runs are cancelled at the upstreams
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed)
		w.maxRunTicks = 400 // some runs would last 20 s
		j := w.job("a", "k1", 400, 0).Job.ID
		o := w.job("b", "k2", 20, 0).Job.ID
		for range 20 + w.r.IntN(200) {
			w.tick()
		}
		kept := len(w.lines(ledger.OutputFile(j)))
		require.Equal(t, result.JobUnknown, w.apply(ledger.Command{Cancel: &ledger.Cancel{Job: j, Account: "b"}}).Code)
		w.apply(ledger.Command{Cancel: &ledger.Cancel{Job: j, Account: "a"}})
		claimed := w.jobOf("a", j).Leased
		end := w.now.Add(limit)
		for w.now.Before(end) {
			w.tick()
			require.LessOrEqual(t, w.jobOf("a", j).Leased, claimed, "an item was leased after the cancel")
		}
		started := w.dispatches(j)
		for range 100 {
			w.tick()
			w.requireNothingRuns(j)
		}
		require.Equal(t, started, w.dispatches(j), "an item was dispatched after the cancel")
		w.runUntilDone(5 * time.Minute)
		require.Equal(t, ledger.Cancelled, w.jobOf("a", j).Status)
		require.Equal(t, ledger.Completed, w.jobOf("b", o).Status)
		require.GreaterOrEqual(t, len(w.lines(ledger.OutputFile(j))), kept)
	})
}

func TestInvariantResentJobIsOneJob(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		w := newSimulation(t, seed)
		window := 10 * time.Minute
		first := w.job("a", "key", 10, window).Job
		other := w.job("a", "", 10, window).Job
		require.NotEqual(t, first.ID, other.ID)
		for range 200 {
			w.tick()
			if w.r.IntN(20) == 0 {
				done := w.jobOf("a", other.ID).Done
				require.Equal(t, other.ID, w.applyEncoded(w.creates[other.ID]).Job.ID, "the same command again, later")
				require.Equal(t, done, w.jobOf("a", other.ID).Done, "the job restarted")
				require.Equal(t, first.ID, w.job("a", "key", 10, 0).Job.ID, "by key, also without a window")
				require.Equal(t, other.ID, w.job("a", "", 10, window).Job.ID, "by content")
				require.NotEqual(t, first.ID, w.job("b", "key", 10, window).Job.ID, "another account's job")
			}
		}
		clash := ledger.Job{ID: "x", Account: "a", Key: "key", Digest: [32]byte{9}}
		require.Equal(t, result.IdempotencyClash, w.apply(ledger.Command{Create: &ledger.Create{Job: clash}}).Code)
		off := w.job("a", "", 10, 0).Job.ID
		require.NotEqual(t, other.ID, off, "the window is off")
		w.runUntilDone(5 * time.Minute)
		require.Equal(t, ledger.Completed, w.applyEncoded(w.creates[off]).Job.Status, "the same command again, without a window")
		w.now = w.now.Add(window + time.Second)
		require.NotEqual(t, other.ID, w.job("a", "", 10, window).Job.ID, "the window is over")
		require.Equal(t, first.ID, w.job("a", "key", 10, window).Job.ID, "the key holds as long as the job is kept")
	})
}

// dispatches returns how often items of a job were dispatched.
func (w *simulation) dispatches(job string) int {
	n := 0
	for r, c := range w.runs {
		if r.Job == job {
			n += c
		}
	}
	return n
}

// requireNothingRuns checks that no item of a job runs at an upstream, except runs of a lost VM: these stay until
// another VM can take the lease.
func (w *simulation) requireNothingRuns(job string) {
	for u, l := range w.engines {
		for r, x := range l {
			if v := w.vms[x.vm]; v != nil && v.agents[u] != nil {
				_, mine := v.agents[u].running[r]
				require.False(w.t, mine && r.Job == job, "item %d still runs", r.Item)
			}
		}
	}
}

func TestInvariantOnlineNotBlockedByBatch(t *testing.T) {
	const modelTime = 8 * time.Second
	for _, s := range []batch.Settings{batch.DefaultSettings(), batch.ThroughputSettings()} {
		for seed := range uint64(6) {
			for _, lossy := range []bool{false, true} {
				t.Run(fmt.Sprintf("seed=%d,lost=%t,gap=%.1f", seed, lossy, s.GapTarget), func(t *testing.T) {
					d := alpweide()
					d.burst = 12  // online requests alone never fill an engine
					d.item = 2000 // an item that is not preempted runs longer than any bound
					m := newModel(d, lending, s, seed, modelTime)
					m.withLosses = lossy
					m.job("large", 10_000, time.Hour)
					require.LessOrEqual(t, slices.Max(m.run().waits), waitBound(d, s, lossy))
				})
			}
		}
	}
}

// waitBound is the longest that an online request may wait for a slot: one delay each for the load message and the
// cancel, and the current and the next step with a prompt in every slot; after the loss of a VM, also the time until
// its lease is taken over.
func waitBound(d deployment, s batch.Settings, lossy bool) time.Duration {
	e := engine.DefaultSettings()
	step := e.StepBase + time.Duration(e.Slots-1)*e.StepPerSlot + time.Duration(e.Slots*d.prompt)*e.PrefillToken
	bound := 2*d.between + 2*step
	if lossy {
		bound += s.LeaseTime + s.Grace + s.Stagger + s.Poll
	}
	return bound
}
