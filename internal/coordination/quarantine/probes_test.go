package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/state/plan"
)

// TestProbesAreRareAndAlone runs a scheduling pass each 100 ms with two items behind a quarantine whose probes all crash their upstreams.
func TestProbesAreRareAndAlone(t *testing.T) {
	p := quarantine.NewProbes[string]()
	began := time.Unix(1000, 0)
	var at []time.Duration
	for d := time.Duration(0); d < 15*time.Minute; d += 100 * time.Millisecond {
		now := began.Add(d)
		p.BeginPass([]string{"p"})
		first, second := p.Choose(now, []string{"p"}, "a"), p.Choose(now, []string{"p"}, "b")
		require.False(t, second)
		require.False(t, p.Start(now, []string{"p"}, "b"))
		if first && p.Start(now, []string{"p"}, "a") {
			at = append(at, d)
			p.BeginPass([]string{"p"})
			require.False(t, p.Choose(now, []string{"p"}, "b"), "one at a time")
			p.Broke(now, []string{"p"})
		}
	}
	require.Equal(t, []time.Duration{10 * time.Second, 50 * time.Second, 210 * time.Second, 810 * time.Second}, at)
}

// TestItemBehindTwoQuarantinesProbesBoth lets an item run only when both quarantines that hold it back are due.
func TestItemBehindTwoQuarantinesProbesBoth(t *testing.T) {
	p := quarantine.NewProbes[string]()
	now := time.Unix(1000, 0)
	p.BeginPass([]string{"p", "q"})
	require.False(t, p.Choose(now, []string{"p"}, "a"))
	now = now.Add(10 * time.Second)
	p.BeginPass([]string{"p", "q"})
	require.False(t, p.Choose(now, []string{"p", "q"}, "a"), "the second one is new")
	require.True(t, p.Choose(now, []string{"p"}, "b"))
	require.True(t, p.Start(now, []string{"p"}, "b"))
	now = now.Add(10 * time.Second)
	p.BeginPass([]string{"p", "q"})
	require.True(t, p.Choose(now, []string{"p", "q"}, "a"))
	p.BeginPass(nil)
	p.BeginPass([]string{"p"})
	require.False(t, p.Choose(now, []string{"p"}, "b"), "the quarantine was released and is in force again")
}

// TestRefutedQuarantineIsReleased reports a sound response to a prompt that a quarantine matches; earlier crashes don't count any more.
func TestRefutedQuarantineIsReleased(t *testing.T) {
	l := quarantine.NewList()
	p := plan.Quarantine{Segments: []string{"p"}}
	l.Adopt(1, []plan.Quarantine{p, {Segments: []string{"q", "r"}}})
	l.Refute(quarantine.Subject{Segments: []string{"a", "q"}})
	require.Empty(t, l.Refuted(), "the prompt lacks a segment")
	l.Refute(quarantine.Subject{Segments: []string{"a", "p"}})
	require.Equal(t, []string{"p"}, l.Refuted())

	now := time.Unix(1000, 0)
	d := quarantine.NewDetector()
	for i, u := range []string{"1", "2", "3"} {
		d.Report(now.Add(time.Duration(i)*crashPause), "vm", []quarantine.Crash{crashOf(u, "p")}, nil, nil)
	}
	now = now.Add(time.Second)
	require.Equal(t, []plan.Quarantine{p}, d.Decide(now, nil))
	require.Empty(t, d.Released([]plan.Quarantine{p}))
	now = now.Add(time.Second)
	d.Refute(now, l.Refuted())
	require.Equal(t, []plan.Quarantine{p}, d.Released([]plan.Quarantine{p}))
	require.Empty(t, d.Decide(now, nil))
	require.Empty(t, d.Released(nil))

	l.Adopt(2, nil)
	l.Adopt(3, []plan.Quarantine{p})
	require.Empty(t, l.Refuted(), "a new quarantine of the same segment")
}
