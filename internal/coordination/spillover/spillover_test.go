package spillover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/spillover"
)

const age = 100 * time.Millisecond

func newController(s spillover.Settings, peers int, seed uint64) *spillover.Controller {
	return spillover.New(s, spillover.Deps{Peers: func() int { return peers }, Age: func() time.Duration { return age }, Rand: rand.New(rand.NewPCG(seed, 1)).Float64})
}

// full returns a data centre without free slots, with others that have some.
func full(there map[string]zone) spillover.Situation {
	x := spillover.Situation{Here: spillover.Zone{Upstreams: 5, Slots: 40, InFlight: 40}, There: map[string]spillover.Zone{}, Own: 8, Queued: 4,
		SlotTime: 750 * time.Millisecond, Known: true}
	for z, v := range there {
		x.There[z] = spillover.Zone{Upstreams: 5, Slots: 40, Free: v.free, InFlight: 40 - v.free}
	}
	return x
}

type zone struct{ free int }

// TestRequestsStayWhileTheyCan guards against requests that leave for a small gain, or beyond an operator's bounds.
func TestRequestsStayWhileTheyCan(t *testing.T) {
	now := time.Unix(1000, 0)
	decide := func(s spillover.Settings, x spillover.Situation) string {
		return newController(s, 1, 1).Decide(now, "s", x)
	}
	s := spillover.DefaultSettings()
	x := full(map[string]zone{"b": {30}})
	require.Equal(t, "b", decide(s, x))
	free := x
	free.Here.Free, free.Here.InFlight = 10, 30
	require.Empty(t, decide(s, free))
	short := x
	short.Queued, short.Own = 0, 40
	require.Empty(t, decide(s, short), "19 ms")
	short.SlotTime = 0
	require.Empty(t, decide(s, short), "nothing is known of the slots")
	s.RoundTrip = 500 * time.Millisecond
	require.Empty(t, decide(s, x), "the way takes longer than the wait")
	none := x
	none.Here = spillover.Zone{}
	require.Equal(t, "b", decide(s, none), "nothing to wait for")
	s = spillover.DefaultSettings()
	s.MinGain = time.Second
	require.Empty(t, decide(s, x))
	require.Empty(t, decide(spillover.DefaultSettings(), full(map[string]zone{"b": {0}})), "no room there")
	require.Empty(t, decide(spillover.DefaultSettings(), full(map[string]zone{"b": {3}})), "what is free there will be taken meanwhile")
}

// TestNoMoreLeaveThanFit guards against the VMs of two data centres that together send more than the third one has room for before they know of each other.
func TestNoMoreLeaveThanFit(t *testing.T) {
	const vms, seeds = 22, 50
	sum := 0
	for seed := range uint64(seeds) {
		for i := range uint64(2 * vms) {
			c := newController(spillover.DefaultSettings(), vms, seed*100+i)
			for k := range 3 {
				if c.Decide(time.Unix(1000, 0).Add(time.Duration(k)*time.Millisecond), "s", full(map[string]zone{"b": {20}, "c": {0}})) != "" {
					sum++
				}
			}
		}
	}
	room := 20 - 20*age.Seconds()/0.75
	require.InDelta(t, room, float64(sum)/seeds, 0.25*room, "of two data centres with an excess, each has a half")
}

// TestFractionThatLeavesIsBounded guards against more traffic between data centres than an operator allows.
func TestFractionThatLeavesIsBounded(t *testing.T) {
	s := spillover.DefaultSettings()
	s.MaxFraction = 0.2
	c := newController(s, 1, 1)
	now := time.Unix(1000, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		c.Placed(now, "s", c.Decide(now, "s", full(map[string]zone{"b": {30}})) != "")
	}
	require.InDelta(t, 0.2, c.Fraction(now), 0.01)
}

// TestWithoutReportsFewLeave guards against a VM that knows nothing of the others and takes all their slots for free.
func TestWithoutReportsFewLeave(t *testing.T) {
	c := newController(spillover.DefaultSettings(), 1, 1)
	x := full(map[string]zone{"b": {40}})
	x.Known = false
	n := 0
	for range 100 {
		if c.Decide(time.Unix(1000, 0), "s", x) != "" {
			n++
		}
	}
	require.Equal(t, 5, n, "one for each upstream there")
	x.Here.Free = 1
	require.Empty(t, c.Decide(time.Unix(1001, 0), "s", x), "its own queue says nothing else")
}

// TestDestinationsByRoom guards against an excess that all goes to the same data centre.
func TestDestinationsByRoom(t *testing.T) {
	c := newController(spillover.DefaultSettings(), 1, 1)
	now, n := time.Unix(1000, 0), map[string]int{}
	for range 1000 {
		now = now.Add(age)
		n[c.Decide(now, "s", full(map[string]zone{"b": {30}, "c": {15}}))]++
	}
	require.Greater(t, n["b"], n["c"])
	require.Greater(t, n["c"], 200)
	require.Zero(t, n[""])
}
