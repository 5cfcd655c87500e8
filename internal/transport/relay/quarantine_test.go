package relay_test

import (
	"context"
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

// TestQuarantineEndsRequestsOnEveryWay quarantines a prompt 100 ms after its request arrived, or before: it reaches no further
// upstream, and the caller is told at once and truly whether it ran. A response that goes on is finished.
func TestQuarantineEndsRequestsOnEveryWay(t *testing.T) {
	table := []struct {
		name      string
		before    bool // the quarantine is in force already
		full      bool // no slot is free
		retried   bool // the request may wait for long
		reactions []reaction
		sends     int
		code      result.Code // 0 for a complete response
		ran       result.Ran
	}{
		{"new", true, false, false, []reaction{{body: events(1, 5)}}, 0, result.PromptQuarantined, result.NotRun},
		{"in the queue", false, true, true, nil, 0, result.PromptQuarantined, result.NotRun},
		{"sent, without a header", false, false, false, []reaction{{wait: time.Hour}}, 1, result.UpstreamBroken, result.Unknown},
		{"begun, without an event", false, false, false, []reaction{{stall: true}}, 1, result.UpstreamBroken, result.Unknown},
		{"not run by the first upstream", false, false, false, []reaction{{wait: 200 * time.Millisecond, notRun: true}}, 1, result.UpstreamBroken, result.Unknown},
		{"going on", false, false, false, []reaction{{body: events(1, 2), endless: events(3, 3), pause: 150 * time.Millisecond}}, 1, 0, ""},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})
				pool.SetUpstreams(time.Now(), []roster.Upstream{{ID: "up-0", Service: "s", Slots: 1}, {ID: "up-1", Service: "s", Slots: 1}})
				for range 2 {
					if c.full {
						_, _, ok := pool.Take(time.Now(), dispatch.Request{Service: "s"})
						require.True(t, ok)
					}
				}
				p := newPlan(plan.Stream, 2, true)
				p.Routes[0].GapLimit = time.Second
				l := quarantine.NewList()
				u := &upstreams{reactions: c.reactions}
				r := relay.New(relay.Deps{Upstreams: u, Pool: pool, RetryPolicy: dispatch.NewRetryPolicy(), Restarts: restart.New(func(time.Time, string) {}), Quota: limits{}, Traffic: noMetrics{},
					Limits: noLimits{}, Quarantines: l, Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}), Origins: unversioned{},
					Plan: func() *plan.Plan { return p }, Log: slog.New(slog.DiscardHandler)})
				adopt := func() { l.Adopt(1, []plan.Quarantine{{Segments: []string{"bad"}}}) }
				began := time.Now()
				if c.before {
					adopt()
				} else {
					time.AfterFunc(100*time.Millisecond, adopt)
				}
				got := &caller{}
				q := &relay.Request{Host: "h", Path: "/p", Key: "k", Arrived: time.Now(), Deadline: 5 * time.Second, Segments: []string{"first", "bad"}}
				if c.retried {
					q.Deadline = 4 * time.Second
				}
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				r.Serve(ctx, q, got)
				require.Len(t, u.sent, c.sends)
				if c.code == 0 {
					require.Nil(t, got.failure)
					require.NotEmpty(t, got.body.String())
					require.Greater(t, time.Since(began), 140*time.Millisecond, "the response goes on after the quarantine")
					return
				}
				require.NotNil(t, got.failure)
				require.Equal(t, c.code, got.failure.Code)
				require.Equal(t, c.ran, got.failure.Ran)
				require.LessOrEqual(t, time.Since(began), 100*time.Millisecond)
			})
		})
	}
}
