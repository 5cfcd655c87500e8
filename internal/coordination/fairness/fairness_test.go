package fairness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/fairness"
)

// fixture returns shares of accounts a, b and c with limits in the proportion 1 : 2 : 1, of which a and b have got 10 s each, and the time.
func fixture() (*fairness.Shares, time.Time) {
	s, now := fairness.New(), time.Unix(1000, 0)
	s.SetAccounts(map[string]float64{"a": 5, "b": 10, "c": 5})
	s.Charge(now, "s", "a", 10*time.Second)
	s.Charge(now, "s", "b", 10*time.Second)
	return s, now
}

// TestShareFollowsTheRateLimit guards against a large account at its usual rate that counts as taking too much beside a small one.
func TestShareFollowsTheRateLimit(t *testing.T) {
	s, now := fixture()
	require.InDelta(t, 1.5, s.Standing(now, "s", "a"), 1e-9, "20 s for 15 of weight; 10 s for 5")
	require.InDelta(t, 0.75, s.Standing(now, "s", "b"), 1e-9)
	require.Zero(t, s.Standing(now, "s", "c"))
	require.Zero(t, s.Standing(now, "another", "a"), "each service has slots of its own")
	require.True(t, s.Within(now, "s", "b"))
	require.False(t, s.Within(now, "s", "a"))
	require.Equal(t, 1, s.Over(now))
	require.InDelta(t, 4, s.WithinSlots(now, "s"), 1e-9, "10 s in 2.5 s")
}

// TestAloneAnAccountHasNothingToLeave guards against slots that stay free for nobody.
func TestAloneAnAccountHasNothingToLeave(t *testing.T) {
	s, now := fairness.New(), time.Unix(1000, 0)
	s.Charge(now, "s", "a", 10*time.Second)
	require.Zero(t, s.WithinSlots(now, "s"))
	require.InDelta(t, 1, s.Standing(now, "s", "a"), 1e-9)
	require.Zero(t, s.Over(now))
}

// TestLineAlternatesByShare guards against the backlog of one account that is served as a block, and against a rare session that waits for it.
func TestLineAlternatesByShare(t *testing.T) {
	s, now := fixture()
	tag := s.Line(now, "s")
	a1, a2 := tag("a", time.Second), tag("a", time.Second)
	b1, b2, b3 := tag("b", time.Second), tag("b", time.Second), tag("b", time.Second)
	c := tag("c", time.Second)
	require.Less(t, c, b1)
	require.Less(t, b3, a1)
	require.InDelta(t, 2*(b2-b1), a2-a1, 1e-9, "twice the limit, half of the way")
}

// TestUseOfOthersCountsUntilItIsOld guards against a VM that goes by the reports of long ago after it was cut off, and against one that knows nothing of what
// an account got elsewhere.
func TestUseOfOthersCountsUntilItIsOld(t *testing.T) {
	s, now := fixture()
	s.SetOthers(now, fairness.Use{fairness.Key("s", "c"): 30})
	require.InDelta(t, 2.4, s.Standing(now.Add(time.Second), "s", "c"), 1e-9, "50 s for 20; all decay alike")
	s.Charge(now.Add(11*time.Second), "s", "c", time.Millisecond)
	require.Less(t, s.Standing(now.Add(11*time.Second), "s", "c"), 0.2, "its own use alone")
}

// TestChargesAreCorrected guards against an account that pays for a slot that it gave back.
func TestChargesAreCorrected(t *testing.T) {
	s, now := fixture()
	s.Charge(now, "s", "a", -9*time.Second)
	s.Charge(now, "s", "b", -20*time.Second)
	require.InDelta(t, 1, s.Own(now)[fairness.Key("s", "a")], 1e-9)
	require.NotContains(t, s.Own(now), fairness.Key("s", "b"))
}

// TestUseOnTheWire guards against reports that are too long or too coarse, and against truncated ones.
func TestUseOnTheWire(t *testing.T) {
	u := fairness.Use{}
	for i := range 100 {
		u[fairness.Key("s", fmt.Sprint(i))] = float64(i) * float64(i) / 10
	}
	b := u.Encode(fairness.MaxReported)
	require.Len(t, b, 5*fairness.MaxReported)
	got, ok := fairness.DecodeUse(b)
	require.True(t, ok)
	require.Len(t, got, fairness.MaxReported)
	for i := 84; i < 100; i++ {
		k := fairness.Key("s", fmt.Sprint(i))
		require.InEpsilon(t, u[k], got[k], 0.023, i)
	}
	require.Len(t, u.Largest(3), 3)
	_, ok = fairness.DecodeUse(b[:7])
	require.False(t, ok)
	require.NotNil(t, fairness.Use{}.Encode(1), "a VM without use says so")
	got, ok = fairness.DecodeUse(nil)
	require.True(t, ok)
	require.NotNil(t, got)
}

// TestTotalsLeaveOutTheReceiver guards against a VM that counts its own use twice, and against reports of VMs that are gone.
func TestTotalsLeaveOutTheReceiver(t *testing.T) {
	x, now := fairness.NewTotals(), time.Unix(1000, 0)
	x.Set(now, "v", fairness.Use{1: 10})
	x.Set(now, "w", fairness.Use{1: 4, 2: 6})
	x.SetBase(now, fairness.Use{2: 1})
	require.Equal(t, fairness.Use{1: 4, 2: 7}, x.Others(now, "v"))
	require.Nil(t, x.Others(now, "v"), "it has just been told")
	require.Nil(t, x.Others(now, "older"), "it reports no use")
	require.Equal(t, fairness.Use{1: 14, 2: 6}, x.Sum(now))
	require.Nil(t, x.Sum(now))
	x.Remove("w")
	require.Equal(t, fairness.Use{2: fairness.Decay(time.Second)}, x.Others(now.Add(time.Second), "v"))
	require.Empty(t, x.Others(now.Add(time.Minute), "v"))
}
