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
	"snipetack/internal/transport/relay"
)

// TestLateFirstByteIsComparedWithTheUsualOne sends ten requests with the usual first byte of a service and then a late one. Another attempt is
// made when that is unusual and still of use to the caller, whatever the objective of the route.
func TestLateFirstByteIsComparedWithTheUsualOne(t *testing.T) {
	for _, c := range []struct {
		name      string
		usual     time.Duration
		objective time.Duration
		late      time.Duration // first byte of the last request at its first upstream
		wait      time.Duration // of the last caller
		attempts  int
		took      time.Duration
	}{
		{"slow service", time.Second, 300 * time.Millisecond, 1050 * time.Millisecond, 5 * time.Second, 1, 1050 * time.Millisecond},
		{"silent upstream, missed objective", 50 * time.Millisecond, 100 * time.Millisecond, time.Hour, 5 * time.Second, 2, 300 * time.Millisecond},
		{"silent upstream, distant objective", 50 * time.Millisecond, 3 * time.Second, time.Hour, 5 * time.Second, 2, 300 * time.Millisecond},
		{"no time for another attempt", time.Second, 300 * time.Millisecond, 1400 * time.Millisecond, 1500 * time.Millisecond, 1, 1400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})
				var l []roster.Upstream
				for i := range 3 {
					l = append(l, roster.Upstream{ID: fmt.Sprint("up-", i), Service: "s", Address: "a", Slots: 8})
				}
				pool.SetUpstreams(time.Now(), l)
				p := newPlan(plan.Safe, 2, false)
				p.Routes[0].Objective = c.objective
				p.Index()
				u := &upstreams{}
				r := relay.New(relay.Deps{Upstreams: u, Pool: pool, RetryPolicy: dispatch.NewRetryPolicy(), Restarts: restart.New(func(time.Time, string) {}), Quota: limits{}, Traffic: noMetrics{},
					Limits: noLimits{}, Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}), Origins: unversioned{},
					Plan: func() *plan.Plan { return p }, Log: slog.New(slog.DiscardHandler)})
				send := func(wait time.Duration) *caller {
					got := &caller{}
					q := &relay.Request{ID: "q", Host: "h", Path: "/p", Key: "k", Arrived: time.Now(), Deadline: wait}
					r.Serve(context.Background(), q, got)
					got.took = time.Since(q.Arrived)
					return got
				}
				u.reactions = []reaction{{wait: c.usual, body: "ok"}}
				for range 10 {
					send(5 * time.Second)
				}
				u.sent, u.reactions = nil, []reaction{{wait: c.late, body: "ok"}, {wait: c.usual, body: "ok"}}
				got := send(c.wait)
				require.Nil(t, got.failure)
				require.Len(t, u.sent, c.attempts)
				require.InDelta(t, c.took.Seconds(), got.took.Seconds(), 0.01)
			})
		})
	}
}
