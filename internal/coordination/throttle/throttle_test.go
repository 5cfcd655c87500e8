package throttle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/throttle"
)

// The users' bound: in any window an upstream gets at most factor times what its limit allows, plus extra.
const (
	window = 4 * time.Second
	factor = 1.5
	extra  = 5
)

// requireBound asserts the users' bound on the times of the requests that an upstream got.
func requireBound(t *testing.T, sent []time.Time, rate float64, message string) {
	t.Helper()
	from := 0
	for i := range sent {
		for sent[i].Sub(sent[from]) >= window {
			from++
		}
		require.LessOrEqual(t, float64(i-from+1), factor*rate*window.Seconds()+extra, message)
	}
}

// TestLedgerAdmitsTheLimitForAllVMs replays steps of load from many VMs, which ask again when they were told: the upstream gets its
// limit and not more, and batch items a part of it.
func TestLedgerAdmitsTheLimitForAllVMs(t *testing.T) {
	for _, vms := range []int{2, 27, 370} {
		for _, rate := range []float64{0.7, 2.5, 20} {
			r := rand.New(rand.NewPCG(uint64(vms), 1))
			now := time.Unix(1000, 0)
			l := throttle.NewLedger()
			l.Observe(now, []throttle.Limit{{Upstream: "u", Rate: rate}})
			next := make([]time.Time, vms) // when each VM asks again
			var sent []time.Time
			items := 0
			for range 60_000 {
				now = now.Add(time.Millisecond)
				if now.Unix()%10 > 6 { // pauses fill the buckets
					continue
				}
				vm := r.IntN(vms)
				if now.Before(next[vm]) {
					continue
				}
				batch := vm == 0
				ok, wait := l.Take(now, "u", batch)
				if ok {
					sent = append(sent, now)
					if batch {
						items++
					}
					continue
				}
				require.Positive(t, wait)
				next[vm] = now.Add(wait)
			}
			requireBound(t, sent, rate, fmt.Sprint(vms, " VMs, limit ", rate))
			require.Greater(t, float64(len(sent)), 0.9*rate*60*0.7, "%d VMs, limit %g: the limit is used", vms, rate)
			require.Positive(t, items, "%d VMs, limit %g: batch items get a part", vms, rate)
		}
	}
}

// TestLedgerFollowsTheNewestResponse reports limits out of order, and the end of one.
func TestLedgerFollowsTheNewestResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	l := throttle.NewLedger()
	l.Observe(now, []throttle.Limit{{Upstream: "u", Rate: 1, Age: time.Second}})
	l.Observe(now, []throttle.Limit{{Upstream: "u", Rate: 9, Age: 2 * time.Second}})
	require.Equal(t, []throttle.Limit{{Upstream: "u", Rate: 1, Age: time.Second}}, l.Limits(now))
	ok, wait := l.Take(now, "u", false)
	require.False(t, ok, "the bucket of a new ledger is empty")
	ok, _ = l.Take(now.Add(wait), "u", false)
	require.True(t, ok, "the wait was true")
	l.Observe(now.Add(3*time.Second), []throttle.Limit{{Upstream: "u"}})
	now = now.Add(4 * time.Second)
	require.Equal(t, []throttle.Limit{{Upstream: "u", Age: time.Second}}, l.Limits(now), "other VMs learn of the end")
	for range 100 {
		ok, _ = l.Take(now, "u", false)
		require.True(t, ok)
	}
	require.Empty(t, l.Limits(now.Add(2*time.Minute)))
}

// TestPacersStayWithinTheLimit replays steps of load on VMs that can't reach the ledger, in which all of them have requests at the
// same time.
func TestPacersStayWithinTheLimit(t *testing.T) {
	for _, vms := range []int{6, 27, 370} {
		for _, rate := range []float64{0.7, 2.5, 20} {
			now := time.Unix(1000, 0)
			l := throttle.Limit{Upstream: "u", Rate: rate}
			r := rand.New(rand.NewPCG(uint64(vms), 2))
			p := make([]*throttle.Pacer, vms)
			for i := range p {
				p[i] = throttle.NewPacer(r.Float64)
			}
			var sent []time.Time
			for range 3000 {
				now = now.Add(20 * time.Millisecond)
				if now.Unix()%10 > 6 {
					continue
				}
				for _, x := range p {
					if ok, _ := x.Take(now, l, vms); ok {
						sent = append(sent, now)
					}
				}
			}
			requireBound(t, sent, rate, fmt.Sprint(vms, " VMs, limit ", rate))
			require.NotEmpty(t, sent)
		}
	}
}

// TestTableKeepsTheNewestLimit learns limits from responses and from other VMs.
func TestTableKeepsTheNewestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var changes []map[string]float64
		x := throttle.NewTable(func(l map[string]float64) { changes = append(changes, l) })
		require.False(t, x.Observe("u", 0), "a response without a limit changes nothing")
		require.True(t, x.Observe("u", 3))
		time.Sleep(time.Second)
		require.Equal(t, []throttle.Limit{{Upstream: "u", Rate: 3, Age: time.Second}}, x.TakeChanged())
		require.Empty(t, x.TakeChanged())
		x.Adopt([]throttle.Limit{{Upstream: "u", Rate: 5, Age: time.Minute}, {Upstream: "v", Rate: 2, Age: time.Millisecond}})
		l, _ := x.Get("u")
		require.InDelta(t, 3, l.Rate, 0, "an older response changes nothing")
		require.Equal(t, 2, x.Len())
		require.Empty(t, x.TakeChanged(), "what others know is not reported")
		x.Adopt([]throttle.Limit{{Upstream: "u"}})
		_, ok := x.Get("u")
		require.False(t, ok)
		require.Equal(t, []map[string]float64{{"u": 3}, {"u": 3, "v": 2}, {"v": 2}}, changes)
		x.ReportAll()
		require.Len(t, x.TakeChanged(), 2)
		x.Retain(map[string]bool{"u": true})
		require.Zero(t, x.Len())
	})
}
