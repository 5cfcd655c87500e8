package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/throttle"
)

// coldLoad is a load of many VMs on one cold upstream.
type coldLoad struct {
	vms, apart int     // entry VMs, and how many of them can't reach the ledger
	rate       float64 // of the cold upstream
	busy       float64 // fraction of the time in which each VM has requests that wait
	steady     bool    // the load has no pauses
	changes    bool    // the leader is lost every few seconds
}

// run returns the sorted times at which requests arrived, how many the ledger admitted and how many calls it got.
func (c coldLoad) run(seed uint64, span time.Duration) (arrived []time.Time, admitted, calls int) {
	r := rand.New(rand.NewPCG(seed, 3))
	now := time.Unix(1000, 0)
	end := now.Add(span)
	ledger := throttle.NewLedger()
	pacers := make([]*throttle.Pacer, c.vms)
	for i := range pacers {
		pacers[i] = throttle.NewPacer(r.Float64)
	}
	next := make([]time.Time, c.vms) // when each VM asks again
	electedAt, lostAt := now, now.Add(2*time.Second)
	busy := c.busy
	for now.Before(end) {
		now = now.Add(time.Millisecond)
		if c.changes && now.After(lostAt) {
			electedAt = now.Add(time.Duration(100+r.IntN(900)) * time.Millisecond)
			lostAt = electedAt.Add(time.Duration(500+r.IntN(3000)) * time.Millisecond)
			ledger = throttle.NewLedger()
		}
		if now.UnixMilli()%1000 == 0 { // loads come and go, so that tokens are saved up
			busy = c.busy
			if !c.steady && r.IntN(3) == 0 {
				busy = 0
			}
		}
		first := r.IntN(c.vms)
		for j := range c.vms {
			i := (first + j) % c.vms
			if now.Before(next[i]) || r.Float64() > busy {
				continue
			}
			var ok bool
			var wait time.Duration
			if i < c.apart || now.Before(electedAt) {
				ok, wait = pacers[i].Take(now, throttle.Limit{Upstream: "u", Rate: c.rate, Cold: true}, c.vms)
			} else {
				calls++
				ledger.SetCold(now, "u", c.rate)
				if ok, wait = ledger.Take(now, "u", false); ok {
					admitted++
				}
			}
			if ok {
				arrived = append(arrived, now.Add(time.Duration(r.IntN(25))*time.Millisecond))
				wait = 2 * time.Millisecond
			}
			next[i] = now.Add(wait)
		}
	}
	slices.SortFunc(arrived, time.Time.Compare)
	return arrived, admitted, calls
}

// TestColdUpstreamGetsNoMoreThanItTakes sends from many VMs, of which some can't reach the ledger, also while leaders change. It guards against an
// upstream that crashes as it gets more than one and a half times its cold rate and five requests in a second.
func TestColdUpstreamGetsNoMoreThanItTakes(t *testing.T) {
	for _, vms := range []int{6, 56, 246} {
		for _, apart := range []int{0, 1, vms / 3, vms - 1, vms} {
			for _, changes := range []bool{false, true} {
				for _, rate := range []float64{2, 17, 50} {
					t.Run(fmt.Sprintf("%d of %d VMs apart, leader changes %v, rate %g", apart, vms, changes, rate), func(t *testing.T) {
						t.Parallel()
						most := 0
						for seed := range uint64(2) {
							c := coldLoad{vms: vms, apart: apart, rate: rate, busy: 0.5, changes: changes}
							arrived, _, _ := c.run(seed, 25*time.Second)
							from := 0
							for i := range arrived {
								for arrived[i].Sub(arrived[from]) >= time.Second {
									from++
								}
								most = max(most, i-from+1)
							}
						}
						require.LessOrEqual(t, float64(most), 1.5*rate+5)
						t.Logf("at most %d in a second, allowed %g", most, 1.5*rate+5)
					})
				}
			}
		}
	}
}

// TestColdLedgerIsUsedWithFewCalls guards against a ledger to which each refused VM comes back for the next token: of hundreds of VMs all but one
// would come in vain.
func TestColdLedgerIsUsedWithFewCalls(t *testing.T) {
	const rate, span = 17.0, 40 * time.Second
	for _, vms := range []int{6, 56, 246, 310} {
		for _, busy := range []float64{1, 0.001} {
			c := coldLoad{vms: vms, rate: rate, busy: busy, steady: busy == 1}
			_, admitted, calls := c.run(1, span)
			t.Logf("%d VMs, busy %g: admitted %.1f and called %.1f a second", vms, busy, float64(admitted)/span.Seconds(), float64(calls)/span.Seconds())
			require.LessOrEqual(t, float64(calls)/span.Seconds(), 2.5*rate+float64(vms)/10)
			if busy == 1 {
				require.Greater(t, float64(admitted)/span.Seconds(), 0.95*rate)
			}
		}
	}
}

// TestColdUpstreamServesOnlineRequestsFirst guards against items that take the rate of a data centre that has just returned.
func TestColdUpstreamServesOnlineRequestsFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	l := throttle.NewLedger()
	l.SetCold(now, "u", 17)
	online, items := 0, 0
	for step := range 20_000 {
		now = now.Add(time.Millisecond)
		if step < 10_000 {
			if ok, _ := l.Take(now, "u", false); ok {
				online++
			}
		}
		if ok, _ := l.Take(now, "u", true); ok {
			items++
			require.GreaterOrEqual(t, step, 10_000, "an item went before online requests")
		}
	}
	require.InDelta(t, 170, online, 4)
	require.InDelta(t, 170, items, 4)
	l.SetCold(now, "u", 0)
	for range 100 {
		ok, _ := l.Take(now, "u", false)
		require.True(t, ok, "a warm upstream is not limited")
	}
}
