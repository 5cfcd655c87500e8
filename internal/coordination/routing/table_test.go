package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/routing"
	"snipetack/internal/state/catalog"
)

func upstreams(n int) []catalog.Upstream {
	l := make([]catalog.Upstream, n)
	for i := range l {
		l[i] = catalog.Upstream{Name: fmt.Sprint("u", i), Service: "s", Slots: 8}
	}
	return l
}

// world drives a Table in virtual time.
type world struct {
	t   *testing.T
	now time.Time
	*routing.Table[routing.Weighted]
	l []catalog.Upstream
}

func newWorld(t *testing.T, n int) *world {
	return &world{t: t, now: time.Unix(1000, 0), Table: routing.NewTable(routing.Weighted{}, "a", 1), l: upstreams(n)}
}

// send makes n attempts one after the other, each with the outcome that f gives, and counts them by upstream.
func (w *world) send(n int, f func(upstream string) routing.Report) map[string]int {
	m := map[string]int{}
	for range n {
		u, _, err := w.Choose(w.now, w.l, routing.Request{Service: "s"})
		require.NoError(w.t, err)
		m[u.Name]++
		w.now = w.now.Add(20 * time.Millisecond)
		w.Done(w.now, u.Name, f(u.Name))
	}
	return m
}

func fine(string) routing.Report { return routing.Report{Took: time.Millisecond} }

func failing(names ...string) func(string) routing.Report {
	return func(u string) routing.Report {
		for _, n := range names {
			if n == u {
				return routing.Report{Failed: true}
			}
		}
		return fine(u)
	}
}

func TestEjection(t *testing.T) {
	w := newWorld(t, 4)
	w.now = w.now.Add(time.Minute)
	w.send(60, failing("u0"))
	require.Zero(t, w.send(40, failing("u0"))["u0"], "ejected after failures in a row")
	w.now = w.now.Add(4 * time.Second)
	require.LessOrEqual(t, w.send(60, failing("u0"))["u0"], 1, "probation: one failure ejects again")
	w.now = w.now.Add(time.Minute)
	m := w.send(200, fine)
	require.Positive(t, m["u0"], "re-admitted once it has recovered")
}

func TestEjectionNeverEmptiesAService(t *testing.T) {
	w := newWorld(t, 4)
	m := w.send(400, failing("u0", "u1", "u2", "u3"))
	require.Len(t, m, 4)
	m = w.send(20, failing("u0", "u1", "u2", "u3"))
	require.GreaterOrEqual(t, len(m), 2, "half of a service stays in use")
}

func TestSlowStart(t *testing.T) {
	w := newWorld(t, 3)
	w.now = w.now.Add(time.Minute)
	w.send(30, fine)
	w.now = w.now.Add(time.Minute)
	w.l = upstreams(4)
	held := map[string]int{}
	for range 36 {
		u, _, err := w.Choose(w.now, w.l, routing.Request{Service: "s"})
		require.NoError(t, err)
		held[u.Name]++
	}
	require.Less(t, held["u3"], 3, "a new upstream gets less than a quarter: %v", held)
}

func TestUpstreamsAreAvoided(t *testing.T) {
	for n, sign := range map[string]func(w *world){
		"configuration": func(w *world) { w.l[0].Leaving = true },
		"report":        func(w *world) { w.Load(w.now, "u0", routing.Load{Leaving: true}) },
		"unreachable":   func(w *world) { w.Unreachable(w.now, "u0") },
		"refusals": func(w *world) {
			w.send(200, func(u string) routing.Report { return routing.Report{Refused: u == "u0"} })
		},
		"closing": func(w *world) {
			w.send(20, func(u string) routing.Report { return routing.Report{Closing: u == "u0" && w.now.Unix() > 1000} })
			w.now = w.now.Add(time.Second)
			w.send(20, func(u string) routing.Report { return routing.Report{Closing: u == "u0"} })
		},
	} {
		t.Run(n, func(t *testing.T) {
			w := newWorld(t, 3)
			w.send(30, fine)
			sign(w)
			require.Zero(t, w.send(30, fine)["u0"])
		})
	}
}

func TestRefusingUpstreamIsUsedAsTheLastOne(t *testing.T) {
	w := newWorld(t, 1)
	refuse := func(string) routing.Report { return routing.Report{Refused: true} }
	require.Equal(t, 20, w.send(20, refuse)["u0"])
	w.Load(w.now, "u0", routing.Load{Leaving: true})
	_, _, err := w.Choose(w.now, w.l, routing.Request{Service: "s"})
	require.Error(t, err, "an upstream that reports to be leaving is never used, not even as the last one")
}

func TestReportClearsAnnouncedClose(t *testing.T) {
	w := newWorld(t, 2)
	w.send(20, fine)
	w.send(20, func(u string) routing.Report { return routing.Report{Closing: u == "u0"} })
	require.Zero(t, w.send(10, fine)["u0"])
	w.Load(w.now.Add(time.Second), "u0", routing.Load{})
	require.Positive(t, w.send(20, fine)["u0"])
}

func TestRetryBudget(t *testing.T) {
	w := newWorld(t, 2)
	n := 0
	for range 1000 {
		w.send(1, fine)
		if w.Retry(w.now, "s") {
			n++
		}
	}
	// 20 s pass in 1000 attempts: a burst of 10, one retry per second and one per five first attempts.
	require.LessOrEqual(t, n, 10+20+1000/5)
	require.Greater(t, n, 100)
}

// fillUpstream sends requests that don't end, until an upstream other than u0 is chosen. It then ends them all with the
// outcome that end gives, and returns how many u0 held.
func (w *world) fillUpstream(end func(string) routing.Report) int {
	w.SetOthersInFlight(w.now, "vm-2", map[string]int{"u1": 1000})
	n := 0
	for {
		u, _, err := w.Choose(w.now, w.l, routing.Request{Service: "s"})
		require.NoError(w.t, err)
		if u.Name != "u0" || n > 1000 {
			w.Done(w.now, u.Name, fine(u.Name))
			break
		}
		n++
	}
	for range n {
		w.Done(w.now, "u0", end("u0"))
	}
	w.now = w.now.Add(time.Second)
	return n
}

// TestLimitAdapts checks that requests go elsewhere when an upstream has reached its adaptive limit, even if it has the
// lowest cost, that a failure lowers the limit and that successes raise it.
func TestLimitAdapts(t *testing.T) {
	w := newWorld(t, 2)
	w.now = w.now.Add(time.Minute)
	w.send(20, fine)
	w.now = w.now.Add(time.Minute)
	first := w.fillUpstream(fine)
	require.Less(t, first, 100)
	failed := false
	w.fillUpstream(func(string) routing.Report {
		defer func() { failed = true }()
		return routing.Report{Failed: !failed}
	})
	lower := w.fillUpstream(fine)
	require.Less(t, lower, first)
	for range 100 {
		w.fillUpstream(fine)
	}
	require.Greater(t, w.fillUpstream(fine), lower)
}

// TestOthersAreCounted checks that an upstream on which another VM has requests in flight is avoided until that VM's
// report has expired.
func TestOthersAreCounted(t *testing.T) {
	w := newWorld(t, 2)
	w.send(10, fine)
	w.SetOthersInFlight(w.now, "vm-2", map[string]int{"u0": 6})
	require.Zero(t, w.send(10, fine)["u0"])
	w.now = w.now.Add(3 * time.Second)
	require.Positive(t, w.send(20, fine)["u0"])
}

// TestPrefixFromLateEventsWithGaps checks that a cached prefix attracts requests and that an eviction ends this, also
// if events in between were lost or an old one arrives late.
func TestPrefixFromLateEventsWithGaps(t *testing.T) {
	w := newWorld(t, 3)
	b := []uint64{11, 12, 13, 14}
	w.Cache(w.now, "u1", []routing.CacheEvent{{Number: 1, Block: 11, Stored: true}, {Number: 2, Block: 12, Stored: true}})
	w.Cache(w.now, "u1", []routing.CacheEvent{{Number: 900, Block: 13, Stored: true}, {Number: 2, Block: 12}})
	for range 4 {
		u, reason, err := w.Choose(w.now, w.l, routing.Request{Service: "s", Blocks: b[:3]})
		require.NoError(t, err)
		require.Equal(t, "u1", u.Name, reason)
		w.Done(w.now, u.Name, fine(""))
	}
	w.Cache(w.now, "u1", []routing.CacheEvent{{Number: 901, Block: 11}})
	got := map[string]bool{}
	for i := range 40 {
		u, _, err := w.Choose(w.now, w.l, routing.Request{Service: "s", Blocks: []uint64{11}})
		require.NoError(t, err)
		w.Done(w.now, u.Name, fine(""))
		got[u.Name] = true
		w.Cache(w.now, u.Name, []routing.CacheEvent{{Number: 5000 + uint64(i), Block: 11}})
	}
	require.Greater(t, len(got), 1)
}
