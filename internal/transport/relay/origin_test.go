package relay_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/relay"
)

// unversioned knows every stream to have begun at the only version, which the list does not name.
type unversioned struct{}

func (unversioned) Record(string, string, origin.Origin) (ended func()) { return func() {} }

func (unversioned) Find(_ context.Context, _, _, service string) (origin.Origin, bool) {
	return origin.Origin{Service: service}, true
}

// recorded is an OriginProvider whose knowledge is given; it notes what it is told.
type recorded struct {
	known map[string]origin.Origin
	told  map[string]origin.Origin
}

func (r *recorded) Record(_, request string, o origin.Origin) (ended func()) {
	if r.told != nil {
		r.told[request] = o
	}
	return func() {}
}

func (r *recorded) Find(_ context.Context, _, request, _ string) (origin.Origin, bool) {
	o, ok := r.known[request]
	return o, ok
}

// newVersionedRelay returns a Relay with an upstream of one slot for each version, and the pool.
func newVersionedRelay(u *upstreams, o relay.OriginProvider, versions ...string) (*relay.Relay, *dispatch.Pool) {
	pool := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})
	var l []roster.Upstream
	for _, v := range versions {
		l = append(l, roster.Upstream{ID: "up-" + v, Service: "s", Version: v[:2], Slots: 1})
	}
	pool.SetUpstreams(time.Now(), l)
	p := newPlan(plan.Stream, 3, true)
	p.Routes[0].GapLimit = 100 * time.Millisecond
	return relay.New(relay.Deps{Upstreams: u, Pool: pool, RetryPolicy: dispatch.NewRetryPolicy(), Restarts: restart.New(func(time.Time, string) {}), Quota: limits{}, Traffic: noMetrics{}, Limits: noLimits{},
		Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}), Origins: o,
		Plan: func() *plan.Plan { return p }, Log: slog.New(slog.DiscardHandler)}), pool
}

func streamRequest(resume uint64, from string) *relay.Request {
	return &relay.Request{ID: "q", Host: "h", Path: "/p", Key: "k", Arrived: time.Now(), Deadline: 5 * time.Second, Resume: resume, TakesUp: from}
}

// TestSilentStreamIsNotCutWithoutAnotherUpstream pauses a stream for longer than the gap limit: it is cut only where another upstream of its
// version can go on with it.
func TestSilentStreamIsNotCutWithoutAnotherUpstream(t *testing.T) {
	for _, c := range []struct {
		versions []string
		resume   uint64 // of the second attempt
	}{{[]string{"v1", "v2"}, 3}, {[]string{"v1-a", "v1-b"}, 2}} {
		synctest.Test(t, func(t *testing.T) {
			// The third event is repeated, which breaks off the first run.
			u := &upstreams{reactions: []reaction{{body: events(1, 2), endless: events(3, 3), pause: 400 * time.Millisecond}, {body: events(int(c.resume)+1, 5)}}}
			o := &recorded{told: map[string]origin.Origin{}}
			r, _ := newVersionedRelay(u, o, c.versions...)
			got := &caller{}
			r.Serve(context.Background(), streamRequest(0, ""), got)
			require.Equal(t, events(1, 5), got.body.String())
			require.Len(t, u.sent, 2)
			require.Equal(t, c.resume, u.sent[1].Resume)
			require.Equal(t, u.sent[0].Upstream[:5], u.sent[1].Upstream[:5], "the same version")
			require.Equal(t, map[string]origin.Origin{"q": {Service: "s", Version: u.sent[0].Upstream[3:5]}}, o.told)
		})
	}
}

// TestWaitingTakeUpIsRefusedWhenItsVersionLeaves lets the last upstream of a version drain while a take-up waits for its slot.
func TestWaitingTakeUpIsRefusedWhenItsVersionLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &upstreams{reactions: []reaction{{body: events(3, 5)}}}
		r, pool := newVersionedRelay(u, &recorded{known: map[string]origin.Origin{"first": {Service: "s", Version: "v1"}}}, "v1", "v2")
		_, _, ok := pool.Take(time.Now(), dispatch.Request{Service: "s", Pinned: true, Version: "v1"})
		require.True(t, ok)
		time.AfterFunc(50*time.Millisecond, func() {
			pool.SetUpstreams(time.Now(), []roster.Upstream{{ID: "up-v2", Service: "s", Version: "v2", Slots: 1}})
		})
		began, got := time.Now(), &caller{}
		r.Serve(context.Background(), streamRequest(2, "first"), got)
		require.Equal(t, 50*time.Millisecond, time.Since(began))
		require.Equal(t, result.OriginLost, got.failure.Code)
		require.Zero(t, got.failure.RetryAfter, "the stream can start anew at once")
		require.Equal(t, result.NotRun, got.failure.Ran)
		require.Empty(t, u.sent)
	})
}
