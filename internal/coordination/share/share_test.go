package share_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/share"
)

// TestLedgerKeepsEveryWindowWithinRateAndBurst takes at random times; in no window may an account exceed its limit by more
// than the slack.
func TestLedgerKeepsEveryWindowWithinRateAndBurst(t *testing.T) {
	const slack = 10
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			l := share.NewLedger(slack)
			limit := share.Limit{Rate: 1 + 40*r.Float64(), Burst: 1 + 40*r.Float64()}
			now := time.Unix(1000, 0)
			var at []time.Time
			for range 2000 {
				now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / limit.Rate / 2))
				n, _ := l.Take(now, "x", 1+r.IntN(3), limit, 0)
				for range n {
					at = append(at, now)
				}
			}
			over := 0.0
			for i := range at {
				for j := i; j < len(at); j++ {
					over = max(over, float64(j-i+1)-limit.Rate*at[j].Sub(at[i]).Seconds()-limit.Burst)
				}
			}
			require.LessOrEqual(t, over, float64(slack+1))
		})
	}
}

func TestLedgerAdmitsAllWithinTheRate(t *testing.T) {
	l := share.NewLedger(0)
	now := time.Unix(1000, 0)
	limit := share.Limit{Rate: 10, Burst: 10}
	l.Take(now, "x", 1, limit, 0)
	now = now.Add(2 * time.Second) // the bucket is full
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		n, _ := l.Take(now, "x", 1, limit, 0)
		require.Equal(t, 1, n)
	}
}

func TestLedgerReturnsWaitUntilNextRequest(t *testing.T) {
	l := share.NewLedger(0)
	now := time.Unix(1000, 0)
	limit := share.Limit{Rate: 2, Burst: 2}
	l.Take(now, "x", 9, limit, 0)
	_, after := l.Take(now, "x", 1, limit, 0)
	require.Positive(t, after)
	n, _ := l.Take(now.Add(after), "x", 1, limit, 0)
	require.Equal(t, 1, n)
}

// TestSharesNeverAddUpToMoreThanOne lets entry VMs report in any order, lose responses, and restart.
func TestSharesNeverAddUpToMoreThanOne(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			o := share.NewOwner(time.Unix(1000, 0), 0)
			now := time.Unix(1000, 0)
			const entries = 6
			have := make([]share.Grant, entries)
			incarnation := make([]int64, entries)
			most := 0.0
			for range 500 {
				now = now.Add(50 * time.Millisecond)
				i := r.IntN(entries)
				if r.IntN(50) == 0 {
					have[i] = share.Grant{} // restarted
					incarnation[i]++
				}
				s := o.Report(now, fmt.Sprint(i), incarnation[i], have[i], map[string]float64{"x": 10 * r.Float64()}, []string{"x"})
				if r.IntN(4) > 0 { // the response may be lost
					have[i] = adopted(have[i], s)
				}
				sum := 0.0
				for _, h := range have {
					sum += h.Even + h.Extra["x"]
				}
				most = max(most, sum)
			}
			require.LessOrEqual(t, most, 1+1e-9)
		})
	}
}

// TestShareFollowsDemand moves an account's requests from one entry VM to another.
func TestShareFollowsDemand(t *testing.T) {
	o := share.NewOwner(time.Unix(1000, 0), 0)
	now := time.Unix(1000, 0)
	have := make([]share.Grant, 2)
	for step := range 20 {
		now = now.Add(200 * time.Millisecond)
		busy := step / 10
		for i := range have {
			d := map[string]float64{"x": 0}
			if i == busy {
				d["x"] = 10
			}
			have[i] = adopted(have[i], o.Report(now, fmt.Sprint(i), 1, have[i], d, []string{"x"}))
		}
	}
	require.Greater(t, have[1].Extra["x"], 0.8)
	require.Less(t, have[0].Extra["x"], 0.2)
}

// adopted returns an entry VM's grant after it has adopted the shares that changed.
func adopted(have, changed share.Grant) share.Grant {
	m := maps.Clone(have.Extra)
	if m == nil {
		m = map[string]float64{}
	}
	maps.Copy(m, changed.Extra)
	return share.Grant{Even: changed.Even, Extra: m}
}

// TestSharesOfALargeFleetNeverAddUpToMoreThanOne lets many entry VMs report, lose responses, restart, come and go. Shares follow the
// demand there too.
func TestSharesOfALargeFleetNeverAddUpToMoreThanOne(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 5))
			o := share.NewOwner(time.Unix(1000, 0), 0)
			now := time.Unix(1000, 0)
			var accounts []string
			for i := range 40 {
				accounts = append(accounts, fmt.Sprint(i))
			}
			const most = 80
			have := make([]share.Grant, most)
			incarnation := make([]int64, most)
			entries := 5 // few at first, so that the even share begins later
			for step := range 4000 {
				now = now.Add(20 * time.Millisecond)
				if step%50 == 0 && entries < most {
					entries++
				}
				i := r.IntN(entries)
				if r.IntN(200) == 0 {
					have[i] = share.Grant{}
					incarnation[i]++
				}
				d := map[string]float64{}
				if i == 0 {
					d["0"] = 50
				}
				for range r.IntN(4) {
					d[accounts[r.IntN(len(accounts))]] = 10 * r.Float64()
				}
				g := o.Report(now, fmt.Sprint(i), incarnation[i], have[i], d, accounts)
				if r.IntN(4) > 0 { // the response may be lost
					have[i] = adopted(have[i], g)
				}
				for _, a := range accounts {
					sum := 0.0
					for _, h := range have {
						sum += h.Even + h.Extra[a]
					}
					require.LessOrEqual(t, sum, 1+1e-6, "account %s, step %d", a, step)
				}
			}
			require.Greater(t, have[0].Extra["0"], 0.5)
			require.Positive(t, have[1].Even)
		})
	}
}

func TestSharesThatDoNotChangeAreNotSent(t *testing.T) {
	o := share.NewOwner(time.Unix(1000, 0), 0)
	now := time.Unix(1000, 0)
	d := map[string]float64{"x": 5}
	have := o.Report(now, "a", 1, share.Grant{}, d, []string{"x", "y"})
	require.Len(t, have.Extra, 2)
	require.Empty(t, o.Report(now.Add(time.Second), "a", 1, have, d, []string{"x", "y"}).Extra)
}

func TestBucketsAdmitWithinTheirShare(t *testing.T) {
	b := share.NewBuckets(0, rand.Float64)
	now := time.Unix(1000, 0)
	limit := share.Limit{Rate: 10, Burst: 10}
	b.Adopt(now, now, share.Grant{Extra: map[string]float64{"x": 0.5}}, map[string]share.Limit{"x": limit})
	n := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if ok, _ := b.Take(now, "x", limit); ok {
			n++
		}
	}
	require.InDelta(t, 55, n, 2) // 5 per second for 10 s, and half the burst
}

// TestBucketsSaveNothingWhileTheOwnerAdmits checks that losing the owner does not allow a second burst.
func TestBucketsSaveNothingWhileTheOwnerAdmits(t *testing.T) {
	b := share.NewBuckets(0, rand.Float64)
	now := time.Unix(1000, 0)
	limit := share.Limit{Rate: 10, Burst: 100}
	b.Adopt(now, now, share.Grant{Extra: map[string]float64{"x": 1}}, map[string]share.Limit{"x": limit})
	b.DecidedByOwner(now, "x", true)
	n := 0
	for range 100 {
		if ok, _ := b.Take(now, "x", limit); ok {
			n++
		}
	}
	require.Equal(t, 1, n)
}

// TestShareExpiresBeforeOthersGetIt guards against a VM that uses its share while the owner has granted it to another one: the lease ends by
// the VM's clock, which counts from when it sent its report.
func TestShareExpiresBeforeOthersGetIt(t *testing.T) {
	limits := map[string]share.Limit{"x": {Rate: 100, Burst: 100}}
	o := share.NewOwner(time.Unix(1000, 0), 0)
	sent := time.Unix(1000, 0)
	arrived := sent.Add(300 * time.Millisecond)
	b := share.NewBuckets(0, rand.Float64)
	b.Adopt(arrived, sent, o.Report(arrived, "a", 1, share.Grant{}, map[string]float64{"x": 50}, []string{"x"}), limits)
	var other share.Grant
	expired := false
	for d := time.Second; d < 33*time.Second; d += time.Second / 4 {
		now := sent.Add(d)
		ok, _ := b.Take(now, "x", limits["x"])
		require.False(t, ok && expired, "an expired share admits nothing")
		expired = !ok
		other = adopted(other, o.Report(now, "b", 1, other, map[string]float64{"x": 50}, []string{"x"}))
		require.LessOrEqual(t, b.Grant(now).Extra["x"]+other.Extra["x"], 1+1e-9, "after %s", d)
	}
	require.True(t, expired)
	require.Greater(t, other.Extra["x"], 0.9)
}

// TestNewOwnerWithholdsUnknownShares guards against a new owner that grants what a VM which it can't reach still has from the previous one.
func TestNewOwnerWithholdsUnknownShares(t *testing.T) {
	now := time.Unix(1000, 0)
	o := share.NewOwner(now, 2)
	have := share.Grant{Extra: map[string]float64{"x": 0.25}}
	for range 29 {
		now = now.Add(time.Second)
		have = adopted(have, o.Report(now, "a", 1, have, map[string]float64{"x": 50}, []string{"x"}))
		require.InDelta(t, 0.25, have.Extra["x"], 1e-9)
		require.InDelta(t, 0.75, o.Withheld(now, "x"), 1e-9)
	}
	now = now.Add(2 * time.Second) // the lease of the previous owner's shares has ended
	have = adopted(have, o.Report(now, "a", 1, have, map[string]float64{"x": 50}, []string{"x"}))
	require.Greater(t, have.Extra["x"], 0.9)
	require.Zero(t, o.Withheld(now, "x"))
}
