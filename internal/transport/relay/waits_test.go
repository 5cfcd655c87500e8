package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/relay"
)

const run = time.Second // of a request

// busyFleet is a relay before one upstream with one slot, which a request of another caller occupies.
type busyFleet struct {
	pool     *dispatch.Pool
	relay    *relay.Relay
	plan     *plan.Plan
	occupied dispatch.Choice
}

func newBusyFleet(p *plan.Plan, u *upstreams) *busyFleet {
	b := &busyFleet{plan: p, pool: dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})}
	b.pool.SetUpstreams(time.Now(), []roster.Upstream{{ID: "up", Service: "s", Slots: 1}})
	b.occupied, _, _ = b.pool.Take(time.Now(), dispatch.Request{Service: "s"})
	b.relay = relay.New(relay.Deps{Upstreams: u, Pool: b.pool, RetryPolicy: dispatch.NewRetryPolicy(), Restarts: restart.New(func(time.Time, string) {}), Quota: limits{}, Traffic: noMetrics{},
		Limits: noLimits{}, Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}), Origins: unversioned{},
		Plan: func() *plan.Plan { return b.plan }, Log: slog.New(slog.DiscardHandler)})
	return b
}

// serve sends a request whose caller waits for a time, and returns what the caller got and when.
func (b *busyFleet) serve(wait time.Duration) *caller {
	c := &caller{}
	q := &relay.Request{ID: "q", Host: "h", Path: "/p", Key: "k", Arrived: time.Now(), Deadline: wait}
	b.relay.Serve(context.Background(), q, c)
	c.took = time.Since(q.Arrived)
	return c
}

// TestRequestWaitsAsLongAsItsCallerCan guards against requests that were refused after a fixed share of their objective although a
// slot became free while their callers still waited. How much of the timeout a caller has left tells nothing else about it.
func TestRequestWaitsAsLongAsItsCallerCan(t *testing.T) {
	for _, wait := range []time.Duration{5 * time.Second, 4800 * time.Millisecond, 2 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBusyFleet(newPlan(plan.Unsafe, 1, false), &upstreams{reactions: []reaction{{wait: 100 * time.Millisecond, body: "ok"}}})
				time.AfterFunc(600*time.Millisecond, func() { b.pool.End(time.Now(), b.occupied) })
				c := b.serve(wait)
				require.Nil(t, c.failure)
				require.Equal(t, "ok", c.body.String())
				require.Equal(t, 700*time.Millisecond, c.took)
			})
		})
	}
}

// TestRequestIsRefusedOnceItCantBeComplete lets a slot stay occupied: a request is refused, with a promise that it has not run, while its caller
// still has the time that the work would take, and not before.
func TestRequestIsRefusedOnceItCantBeComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBusyFleet(newPlan(plan.Unsafe, 1, false), &upstreams{reactions: []reaction{{wait: run, body: "ok"}}})
		time.Sleep(run)
		b.pool.End(time.Now(), b.occupied)
		require.Nil(t, b.serve(5*time.Second).failure, "the relay learns how long requests run")
		_, _, ok := b.pool.Take(time.Now(), dispatch.Request{Service: "s"})
		require.True(t, ok)
		c := b.serve(5 * time.Second)
		require.Equal(t, result.QueueFull, c.failure.Code)
		require.Equal(t, result.NotRun, c.failure.Ran)
		require.Positive(t, c.failure.RetryAfter)
		require.InDelta(t, (5*time.Second - run).Seconds(), c.took.Seconds(), 0.05)
	})
}

// TestSlotThatComesTooLateIsNotUsed queues a request while nothing is known of run times, which are known when it gets its slot: its caller has less time
// left than that.
func TestSlotThatComesTooLateIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{reactions: []reaction{{wait: run, body: "ok"}}}
		b := newBusyFleet(newPlan(plan.Unsafe, 1, false), u)
		time.AfterFunc(500*time.Millisecond, func() { b.pool.End(time.Now(), b.occupied) })
		first := make(chan *caller)
		go func() { first <- b.serve(5 * time.Second) }()
		time.Sleep(time.Millisecond)
		got := make(chan *caller)
		go func() { got <- b.serve(5001 * time.Millisecond) }()
		time.Sleep(100 * time.Millisecond)
		late := b.serve(5 * time.Second)
		require.Nil(t, late.failure, "there is time for three runs")
		require.Nil(t, (<-first).failure)
		require.Nil(t, (<-got).failure)

		b = newBusyFleet(newPlan(plan.Unsafe, 1, false), u)
		time.AfterFunc(500*time.Millisecond, func() { b.pool.End(time.Now(), b.occupied) })
		u.sent = nil
		go func() { first <- b.serve(2 * time.Second) }()
		time.Sleep(time.Millisecond)
		late = b.serve(2100 * time.Millisecond)
		require.Equal(t, result.QueueFull, late.failure.Code)
		require.Equal(t, result.NotRun, late.failure.Ran)
		require.Equal(t, 1499*time.Millisecond, late.took, "refused with the slot, 0.6 s before its deadline")
		require.Nil(t, (<-first).failure)
		require.Len(t, u.sent, 1)
	})
}

// TestRequestThatWillNotFitIsRefusedAtOnce sends a request whose caller has 1.8 s, while one that runs for a second is queued before it and
// another one has run for half of that.
func TestRequestThatWillNotFitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBusyFleet(newPlan(plan.Unsafe, 1, false), &upstreams{reactions: []reaction{{wait: run, body: "ok"}}})
		time.Sleep(run)
		b.pool.End(time.Now(), b.occupied)
		require.Nil(t, b.serve(5*time.Second).failure, "the relay learns how long requests run")
		served := make(chan *caller, 3)
		for range cap(served) {
			go func() { served <- b.serve(3050 * time.Millisecond) }()
		}
		time.Sleep(1500 * time.Millisecond)
		c := b.serve(1800 * time.Millisecond)
		require.Equal(t, result.NotRun, c.failure.Ran)
		require.Zero(t, c.took)
		require.GreaterOrEqual(t, c.failure.RetryAfter, time.Second, "the queue takes as long")
		for range cap(served) {
			require.Nil(t, (<-served).failure)
		}
	})
}

// TestLeastTimeLeftIsServedFirst queues two requests for one slot; being a repeat gives no advantage over a caller with less time left.
func TestLeastTimeLeftIsServedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBusyFleet(newPlan(plan.Unsafe, 1, false), &upstreams{reactions: []reaction{{wait: run, body: "ok"}}})
		order := make(chan string, 2)
		for _, d := range []time.Duration{4800 * time.Millisecond, 2500 * time.Millisecond} {
			go func() {
				require.Nil(t, b.serve(d).failure)
				order <- d.String()
			}()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		b.pool.End(time.Now(), b.occupied)
		require.Equal(t, "2.5s", <-order)
		require.Equal(t, "4.8s", <-order)
	})
}

// TestCallerOfAStreamIsNotOutwaited lets the caller of a stream leave before its deadline, as it has got no event.
func TestCallerOfAStreamIsNotOutwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlan(plan.Stream, 2, true)
		p.Routes[0].Patience = 2 * time.Second
		p.Index()
		c := newBusyFleet(p, &upstreams{}).serve(5 * time.Second)
		require.Equal(t, result.NotRun, c.failure.Ran)
		require.Less(t, c.took, 2*time.Second, "the caller gets the refusal before it leaves")
		require.Greater(t, c.took, 1900*time.Millisecond)
	})
}

// TestQueuedRequestLearnsThatItWillNotBeServed takes away what a queued request waits for. It is refused at once and not at its deadline.
func TestQueuedRequestLearnsThatItWillNotBeServed(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(b *busyFleet)
		code result.Code
	}{
		{"the service has lost its upstreams", func(b *busyFleet) { b.pool.SetUpstreams(time.Now(), nil) }, result.UpstreamNone},
		{"the upstream drains", func(b *busyFleet) {
			b.pool.SetUpstreams(time.Now(), []roster.Upstream{{ID: "up", Service: "s", Slots: 1, Draining: true}})
		}, result.UpstreamNone},
		{"the VM stops", func(b *busyFleet) { b.relay.EndAt(time.Now()) }, result.Draining},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBusyFleet(newPlan(plan.Unsafe, 1, false), &upstreams{})
				time.AfterFunc(time.Second, func() { c.do(b) })
				got := b.serve(5 * time.Second)
				require.Equal(t, c.code, got.failure.Code)
				require.Equal(t, result.NotRun, got.failure.Ran)
				require.Equal(t, time.Second, got.took)
			})
		})
	}
}

// TestQueuedRequestDoesNotRunWithAWithdrawnKey changes the configuration while a request waits for a slot.
func TestQueuedRequestDoesNotRunWithAWithdrawnKey(t *testing.T) {
	for _, c := range []struct {
		name string
		keys []string // of the account in the next configuration
		runs int
	}{{"withdrawn", []string{"another"}, 0}, {"kept", []string{"another", "k"}, 1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstreams{reactions: []reaction{{body: "ok"}}}
				b := newBusyFleet(newPlan(plan.Unsafe, 1, false), u)
				time.AfterFunc(time.Second, func() {
					next := newPlan(plan.Unsafe, 1, false)
					next.Version = 2
					next.Accounts["x"] = plan.Account{Name: "x", Keys: c.keys}
					next.Index()
					b.plan = next
					b.pool.End(time.Now(), b.occupied)
				})
				got := b.serve(5 * time.Second)
				require.Len(t, u.sent, c.runs)
				if c.runs == 0 {
					require.Equal(t, result.KeyUnknown, got.failure.Code)
					require.Equal(t, result.NotRun, got.failure.Ran)
				}
			})
		})
	}
}

// TestServiceWithoutUpstreamsIsRefusedAtOnce sends a request that nothing could serve.
func TestServiceWithoutUpstreamsIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBusyFleet(newPlan(plan.Unsafe, 1, false), &upstreams{})
		b.pool.SetUpstreams(time.Now(), nil)
		c := b.serve(5 * time.Second)
		require.Equal(t, result.UpstreamNone, c.failure.Code)
		require.Zero(t, c.took)
		require.Positive(t, c.failure.RetryAfter)
	})
}

// TestQueuedRequestGetsTheSlotThatTimeFrees lets an upstream be avoided after a failure, and the loads of other VMs expire: nothing else happens that
// would serve the queue.
func TestQueuedRequestGetsTheSlotThatTimeFrees(t *testing.T) {
	for name, block := range map[string]func(p *dispatch.Pool){
		"avoided": func(p *dispatch.Pool) { p.RecordUnreachable(time.Now(), "up") },
		"load":    func(p *dispatch.Pool) { p.SetLoads(time.Now(), map[string]dispatch.Load{"up": {Online: 1}}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBusyFleet(newPlan(plan.Unsafe, 1, false), &upstreams{reactions: []reaction{{body: "ok"}}})
				b.pool.End(time.Now(), b.occupied)
				block(b.pool)
				c := b.serve(5 * time.Second)
				require.Nil(t, c.failure)
				require.LessOrEqual(t, c.took, 1100*time.Millisecond, "%s", fmt.Sprint(c.took))
			})
		})
	}
}
