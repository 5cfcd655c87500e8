package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/pace"
)

// choicesBefore is the digest of the choices of TestChoicesWithoutPaces at the commit before the estimates.
const choicesBefore = uint64(0x5dcbf4a9c7381e7f)

// TestChoicesWithoutPaces guards against a change for services whose upstreams report three figures, or none, or nonsense.
func TestChoicesWithoutPaces(t *testing.T) {
	for _, r := range []pace.Report{{}, {Running: 3, Waiting: 1, Slots: 8}, {Running: -3, Factor: 1}, {Slots: 8, Factor: 1e6}} {
		digest := xxhash.New()
		now := time.Unix(1000, 0)
		p, _ := newPool(now, 9)
		x := rand.New(rand.NewPCG(1, 2))
		var taken []dispatch.Choice
		for range 5000 {
			now = now.Add(time.Duration(x.IntN(20)) * time.Millisecond)
			switch i := x.IntN(10); {
			case i < 6:
				c, wait, ok := p.Take(now, dispatch.Request{Service: "s", Session: fmt.Sprint(x.IntN(50)), MaxWait: -1})
				if wait != nil {
					p.Leave(now, "s", wait)
				}
				if ok {
					taken = append(taken, c)
				}
				_, _ = fmt.Fprintln(digest, c.ID, c.Load, ok)
			case i < 9 && len(taken) > 0:
				j := x.IntN(len(taken))
				p.Reported(now, taken[j], r, 50*time.Millisecond)
				p.End(now, taken[j])
				taken = append(taken[:j], taken[j+1:]...)
			default:
				m := map[string]dispatch.Load{}
				for k := range 9 {
					m[fmt.Sprint("up-", k)] = dispatch.Load{Online: x.IntN(6), Batch: x.IntN(4)}
				}
				p.SetLoads(now, m)
			}
		}
		require.Equal(t, choicesBefore, digest.Sum64(), "report %+v", r)
		require.Empty(t, p.TakePaces(now))
	}
}

// TestSlowUpstreamIsAvoided guards against sending requests to an upstream that has free slots but is slow, by the own reports of a VM or those of
// others, and against a request that waits there.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	request := dispatch.Request{Service: "s", Objective: 300 * time.Millisecond}
	p, _ := newPool(now, 2)
	c, _, _ := p.Take(now, request)
	require.Zero(t, c.Expected)
	now = now.Add(50 * time.Millisecond)
	require.True(t, p.Reported(now, c, pace.Report{Running: 1, Slots: slots, Factor: 1}, 50*time.Millisecond))
	now = now.Add(700 * time.Millisecond)
	p.End(now, c)
	other := "up-1"
	if c.ID == other {
		other = "up-0"
	}
	p.SetPaces(now, []pace.Shared{{ID: other, Factor: 4, Age: 50 * time.Millisecond}, {ID: "unknown", Factor: 1}})
	for range slots - 1 {
		x, _, ok := p.Take(now, request)
		require.True(t, ok)
		require.Equal(t, c.ID, x.ID)
		require.Positive(t, x.Expected.First)
	}
	f, ok := p.Slowness(now, other)
	require.True(t, ok)
	require.InDelta(t, 4, f, 0.5)
	require.Len(t, p.TakePaces(now), 1, "what others have told is not told again")
	require.Empty(t, p.TakePaces(now))
	require.False(t, p.Reported(now, c, pace.Report{Slots: slots, Factor: 9}, 50*time.Millisecond), "it was not slow")
}

// BenchmarkTake measures the choice of an upstream of a large fleet.
func BenchmarkTake(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprint("paced=", paced), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p, _ := newPool(now, 57)
			if paced {
				var l []pace.Shared
				for i := range 57 {
					l = append(l, pace.Shared{ID: fmt.Sprint("up-", i), Factor: 0.55 + float64(i%3)})
				}
				p.SetPaces(now, l)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c, _, _ := p.Take(now, dispatch.Request{Service: "s", Objective: 300 * time.Millisecond})
				p.End(now, c)
			}
		})
	}
}

// TestFirstByteTimeoutAtSlowUpstream guards against taking a slow upstream for lost while it responds as fast as it can.
func TestFirstByteTimeoutAtSlowUpstream(t *testing.T) {
	p := dispatch.NewRetryPolicy()
	for range 200 {
		p.Observe("s", 100*time.Millisecond)
	}
	usual, _ := p.FirstByteTimeout("s", time.Second)
	slow, ok := p.FirstByteTimeoutAt("s", 4, 50*time.Millisecond, time.Second)
	require.True(t, ok)
	require.Equal(t, usual+350*time.Millisecond, slow)
	fast, _ := p.FirstByteTimeoutAt("s", 0.5, 0, time.Second)
	require.Equal(t, usual-50*time.Millisecond, fast)
	_, ok = p.FirstByteTimeoutAt("s", 4, 0, slow/2)
	require.False(t, ok, "no other attempt could begin in time")
}
