package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/pace"
)

// TestShortSlowDownDecays guards against avoiding an upstream long after a neighbour slowed it for a moment, and against forgetting a long slow-down
// between two reports.
func TestShortSlowDownDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var x pace.Track
	require.InDelta(t, 1, x.Factor(now), 0.001)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		require.True(t, x.Report(now, 0.55))
	}
	now = now.Add(100 * time.Millisecond)
	x.Report(now, 1.4)
	require.InDelta(t, 1.4, x.Factor(now), 0.001)
	require.InDelta(t, 0.6, x.Factor(now.Add(time.Second)), 0.1)
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		x.Report(now, 2.2)
	}
	require.InDelta(t, 2.2, x.Factor(now.Add(time.Second)), 0.2)
	require.InDelta(t, 1, x.Factor(now.Add(5*time.Minute)), 0.01, "without reports the upstream counts as usual")
	require.False(t, x.Report(now.Add(-time.Second), 5), "older than the newest one")
}

// TestNonsenseIsDiscarded guards against an upstream that attracts all requests by claiming to be fast, or none by claiming to be slow.
func TestNonsenseIsDiscarded(t *testing.T) {
	now := time.Unix(1000, 0)
	var x pace.Track
	for _, f := range []float64{0, -1, 0.001, 900} {
		require.False(t, x.Report(now, f))
	}
	require.False(t, x.Plausible(now, 7, 1, false))
	require.False(t, x.Plausible(now, 0.12, 1, false))
	require.False(t, x.Plausible(now, 0.12, 5, true), "a wait does not make it fast")
	require.True(t, x.Plausible(now, 1.2, 8, true), "the response had to wait")
	require.True(t, x.Plausible(now, 2.5, 1.2, false), "the slow-down came after the first event")
	require.False(t, pace.Report{Running: -1}.Valid())
	require.True(t, pace.Report{Running: 1, Slots: 8}.Valid())
}

// TestLastSlotIsUncertain guards against taking the last free slot of an upstream for as good as one of several: others may have it already.
func TestLastSlotIsUncertain(t *testing.T) {
	u := pace.Usual{First: 50 * time.Millisecond, Run: 750 * time.Millisecond}
	of := func(online, batch int, factor float64, age time.Duration) pace.Estimate {
		return pace.Expect(u, factor, pace.Occupancy{Slots: 8, Online: online, Batch: batch, Age: age, Rate: 5, Yield: 80 * time.Millisecond})
	}
	require.Equal(t, pace.Estimate{First: u.First, End: u.Run}, of(7, 0, 1, 0))
	last, several := of(7, 0, 1, 100*time.Millisecond), of(3, 0, 1, 100*time.Millisecond)
	require.Greater(t, last.Wait, 20*time.Millisecond)
	require.Less(t, several.Wait, time.Millisecond)
	require.Greater(t, of(7, 0, 1, 200*time.Millisecond).Wait, last.Wait, "the older, the less certain")
	require.InDelta(t, 2*last.Wait.Seconds(), of(7, 0, 2, 100*time.Millisecond).Wait.Seconds(), 0.03, "slots of a slow upstream become free later")
	require.LessOrEqual(t, of(3, 5, 1, 0).Wait, 80*time.Millisecond, "items give way")
	require.InDelta(t, 3*750/8, of(10, 0, 1, 0).Wait.Milliseconds(), 1, "three requests are ahead")
}

// TestSamplesOnTheWire guards against factors that change on their way, and against bytes that no encoder writes.
func TestSamplesOnTheWire(t *testing.T) {
	l := pace.SamplesOf([]pace.Shared{{ID: "a", Factor: 0.55, Age: 41 * time.Millisecond}, {ID: "b", Factor: pace.MaxFactor}, {ID: "c", Factor: pace.MinFactor},
		{ID: "old", Factor: 1, Age: time.Minute}})
	b := pace.Encode(l)
	require.Len(t, b, 3*6)
	got, ok := pace.Decode(b)
	require.True(t, ok)
	shared := pace.Resolve(got, []string{"x", "a", "b", "c"})
	require.Len(t, shared, 3)
	require.Equal(t, "a", shared[0].ID)
	require.InEpsilon(t, 0.55, shared[0].Factor, 0.02)
	require.Equal(t, 50*time.Millisecond, shared[0].Age)
	for _, s := range shared {
		require.True(t, new(pace.Track).Report(time.Unix(1, 0), s.Factor))
	}
	for _, x := range [][]byte{b[:5], append(b[:6:6], 0, 0, 0, 0, 0, 0)} {
		_, ok := pace.Decode(x)
		require.False(t, ok)
	}
}
