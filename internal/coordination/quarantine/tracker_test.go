package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/state/plan"
)

// TestTrackerTellsACrashFromABrokenResponse breaks off responses with and without later bytes from the same upstream.
func TestTrackerTellsACrashFromABrokenResponse(t *testing.T) {
	table := []struct {
		name    string
		alive   bool // another response goes on after the break
		begun   bool
		events  int
		crashes int
		want    []quarantine.Suspect
	}{
		{"a crash with a response that had just begun", false, true, 0, 1, []quarantine.Suspect{{Begun: true, Segments: []string{"a", "p"}}}},
		{"a crash while a header was awaited", false, false, 0, 1, []quarantine.Suspect{{Segments: []string{"a", "p"}}}},
		{"a response that had gone on is no suspect", false, true, 2, 0, nil},
		{"the upstream responds to others", true, true, 0, 0, nil},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := quarantine.NewTracker(func(string, []quarantine.Suspect) {})
				x, other := tr.Start("up", quarantine.Subject{Segments: []string{"a", "p"}}), tr.Start("up", quarantine.Subject{Segments: []string{"b"}})
				if c.begun {
					x.Begun()
				}
				x.Events(c.events)
				x.End(true)
				if c.alive {
					time.Sleep(40 * time.Millisecond)
					other.Events(1)
				}
				other.End(false)
				time.Sleep(time.Second)
				l, _ := tr.Reports(0)
				require.Len(t, l, c.crashes)
				if c.want != nil {
					require.Equal(t, c.want, l[0].Suspects)
				}
			})
		})
	}
}

// TestTrackerReportsSoundSegments counts sound responses of the suspects' segments and of frequent ones, leaves out common segments and clears suspected ones.
func TestTrackerReportsSoundSegments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := quarantine.NewTracker(func(string, []quarantine.Suspect) {})
		for range 30 {
			r := tr.Start("up", quarantine.Subject{Segments: []string{"first", "session"}})
			r.Complete()
			r.End(false)
		}
		r := tr.Start("up", quarantine.Subject{Segments: []string{"rare"}})
		r.Complete()
		r.End(false)
		r = tr.Start("up", quarantine.Subject{Segments: []string{"first", "p", "rare"}})
		r.Begun()
		r.End(true)
		time.Sleep(time.Second)
		l, n := tr.Reports(0)
		require.Len(t, l, 1)
		require.Equal(t, []string{"p", "rare"}, l[0].Suspects[0].Segments)
		require.Equal(t, []quarantine.SegmentCount{{Segment: "first", Count: 30}, {Segment: "rare", Count: 1}, {Segment: "session", Count: 30}}, l[0].Sound)
		require.Equal(t, 31, l[0].Observed)
		l, _ = tr.Reports(n)
		require.Empty(t, l, "a crash is reported once to each leader")
		tr.Suspect([]string{"p", "rare"})
		require.Equal(t, []quarantine.Clearance{{Segment: "rare", Age: time.Second}}, tr.Clearances())
	})
}

// TestQuarantineReachesWaitingRequests adopts a quarantine while requests with and without its segments wait.
func TestQuarantineReachesWaitingRequests(t *testing.T) {
	l := quarantine.NewList()
	blocked := map[string]int{}
	watch := func(name string, segments ...string) func() {
		stop, ok := l.Watch(quarantine.Subject{Segments: segments}, func() { blocked[name]++ })
		require.True(t, ok)
		return stop
	}
	watch("bad", "a", "p")
	watch("sound", "a", "b")
	watch("ended", "a", "p")()
	require.True(t, l.Adopt(2, []plan.Quarantine{{Segments: []string{"p"}}}))
	require.Equal(t, map[string]int{"bad": 1}, blocked)
	require.False(t, l.Adopt(1, nil), "an older revision changes nothing")
	_, ok := l.Watch(quarantine.Subject{Segments: []string{"p"}}, func() {})
	require.False(t, ok)
	require.True(t, l.Blocks(quarantine.Subject{Segments: []string{"x", "p"}}))
	require.Equal(t, []string{"p"}, l.TakeMatched())
	require.Empty(t, l.TakeMatched())
	require.True(t, l.Adopt(3, nil))
	require.False(t, l.Blocks(quarantine.Subject{Segments: []string{"p"}}))
}
