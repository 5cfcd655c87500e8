package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/placement"
	"snipetack/internal/state/order"
)

// TestInvariantStaleOrderHasNoEffect checks that no engine carries out an order after one with a newer fencing number.
// Leaders lose the connection to the log and continue to send, and orders arrive late: within OrderLifetime at engines that don't check
// fencing numbers, and up to ten minutes late at those that do.
func TestInvariantStaleOrderHasNoEffect(t *testing.T) {
	refused := 0
	for seed := range uint64(100) {
		w := newWorld(t, seed, 8)
		w.delay = func(checks bool) time.Duration {
			if checks {
				return w.randomUpTo(10 * time.Minute)
			}
			return w.randomUpTo(w.s.OrderLifetime)
		}
		w.run(20 * time.Minute)
		w.settle()
		require.Positive(t, w.executed, "seed %d", seed)
		refused += w.refused
	}
	require.Positive(t, refused, "no stale order reached an engine that checks")
}

// TestInvariantWeightStoreRate checks that in every window the engines pull at most what the weight store's rate and
// burst allow.
func TestInvariantWeightStoreRate(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(t, seed, 8)
		w.delay = func(bool) time.Duration { return w.randomUpTo(w.s.OrderLifetime) }
		w.run(20 * time.Minute)
		w.settle()
		require.Greater(t, len(w.pulls), 4, "seed %d", seed)
		for i := range w.pulls {
			sum := 0.0
			for _, p := range w.pulls[i:] {
				sum += float64(p.bytes)
				bound := w.s.PullBurst + w.s.PullRate*p.at.Sub(w.pulls[i].at).Seconds()
				require.LessOrEqual(t, sum, bound+1e-6, "seed %d: from %s to %s", seed, w.pulls[i].at, p.at)
			}
		}
	}
}

// TestPlacementDoesNotFlap checks that neither varying demand nor changes of the leader cause copies to be unloaded too
// soon and loaded again.
func TestPlacementDoesNotFlap(t *testing.T) {
	t.Run("noise within the band changes nothing", func(t *testing.T) {
		for seed := range uint64(10) {
			f := newSingleLeader(seed, 80)
			f.run(10*time.Minute, func(string) float64 { return 100 })
			n := len(f.orders)
			f.run(time.Hour, func(string) float64 { return 86 + f.r.Float64()*44 }) // -14% to +30%
			require.Len(t, f.orders, n, "seed %d", seed)
		}
	})
	t.Run("a copy stays for MinStay, whatever the demand", func(t *testing.T) {
		unloads := 0
		for seed := range uint64(20) {
			f := newSingleLeader(seed, 12)
			f.s.ScaleDownAfter = time.Minute
			f.core = placement.New(f.s)
			f.core.Lead(f.now, 1, f.log.State())
			for i := range f.in.Hosts {
				f.in.Hosts[i].Memory = 20 // half of the models
			}
			period := time.Duration(1+f.r.IntN(3600)) * time.Second
			f.run(3*time.Hour, func(a string) float64 {
				if f.now.Unix()/int64(period.Seconds())%2 == int64(a[len(a)-1]%2) {
					return 200
				}
				return 0
			})
			at := map[string]time.Time{}
			for _, o := range f.orders {
				k := o.Upstream + " " + o.Target
				if o.Action == order.Load {
					at[k] = o.At
					continue
				}
				unloads++
				require.GreaterOrEqual(t, o.At.Sub(at[k]), f.s.MinStay, "seed %d, period %s", seed, period)
			}
		}
		require.Positive(t, unloads)
	})
	t.Run("a new leader unloads no copy that is in demand", func(t *testing.T) {
		f := newSingleLeader(1, 80)
		for i := range f.in.Hosts {
			f.in.Hosts[i].Memory = 10 // one model
		}
		f.run(20*time.Minute, func(string) float64 { return 100 })
		f.in.Artifacts = append(f.in.Artifacts, placement.Artifact{Name: "model-new", Size: 10, Rate: 10, MinCopies: 30})
		for range 20 {
			f.core = placement.New(f.s)
			f.core.Lead(f.now, 2, f.log.State())
			f.run(30*time.Second, func(string) float64 { return 100 })
		}
		for _, o := range f.orders {
			require.Equal(t, order.Load, o.Action)
		}
	})
}

func TestExplainGivesReasons(t *testing.T) {
	f := newSingleLeader(1, 3)
	f.in.Artifacts = append(f.in.Artifacts, placement.Artifact{Name: "huge", Size: 1 << 60, Rate: 1, MinCopies: 1})
	f.run(time.Minute, func(string) float64 { return 5 })
	require.Equal(t, "it is larger than the weight store's burst", f.core.Explain("huge")[0].Reason)
	d := f.core.Explain("model-0")
	require.Len(t, d, 2)
	require.Equal(t, `load model-0 at "": the weight store's rate is used up`, d[0].String())
	require.Equal(t, `load model-0 at "engine-0": 0 of 1 copies for 5 requests a second; 40 bytes free, 0 copies in dc-0`, d[1].String())
	require.Contains(t, f.core.Explain("engine-0"), d[1])
	f.in.Hosts[0].Usable = false
	f.in.Hosts[1].Usable = false
	f.run(time.Minute, func(string) float64 { return 500 })
	for _, d := range f.core.Explain("model-0") {
		require.NotContains(t, d.Reason, "has room", "more copies than usable upstreams are desired")
	}
}

// BenchmarkPlacement measures one step at several fleet sizes; the last is the size expected in two years.
func BenchmarkPlacement(b *testing.B) {
	for _, s := range []struct{ artifacts, hosts int }{{2, 14}, {4, 60}, {8, 150}, {16, 300}, {16, 600}} {
		b.Run(fmt.Sprintf("models=%d/replicas=%d", s.artifacts, s.hosts), func(b *testing.B) {
			f := newSingleLeader(1, s.hosts)
			f.s.MaxIntentsPerStep = s.hosts
			f.core = placement.New(f.s)
			f.core.Lead(f.now, 1, f.log.State())
			f.in.Artifacts = nil
			for i := range s.artifacts {
				f.in.Artifacts = append(f.in.Artifacts, placement.Artifact{Name: fmt.Sprint("model-", i), Size: 10, Rate: 10, MinCopies: 1})
			}
			share := float64(s.hosts) / float64(s.artifacts) * 5
			f.run(time.Minute, func(string) float64 { return share })
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Second)
				f.core.Step(f.now, f.in)
			}
		})
	}
}

// singleLeader is a single leader whose engines carry out every order immediately.
type singleLeader struct {
	r      *rand.Rand
	s      placement.Settings
	now    time.Time
	in     placement.Input
	log    *order.Machine
	core   *placement.Core
	orders []order.Intent
}

func newSingleLeader(seed uint64, hosts int) *singleLeader {
	f := &singleLeader{
		r:   rand.New(rand.NewPCG(seed, 2)),
		s:   placement.DefaultSettings(),
		now: time.Unix(1_000_000, 0),
		log: order.New(),
	}
	f.s.PullRate, f.s.PullBurst = 1e9, 1e9
	f.in.Demand = map[string]float64{}
	for i := range 4 {
		f.in.Artifacts = append(f.in.Artifacts, placement.Artifact{Name: fmt.Sprint("model-", i), Size: 10, Rate: 10, MinCopies: 1})
	}
	for i := range hosts {
		f.in.Hosts = append(f.in.Hosts, placement.Host{Name: fmt.Sprint("engine-", i), DataCentre: fmt.Sprint("dc-", i%7), Memory: 40, ChecksFencing: true, Usable: true})
	}
	f.core = placement.New(f.s)
	f.core.Lead(f.now, 1, f.log.State())
	return f
}

func (f *singleLeader) run(d time.Duration, demand func(artifact string) float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Second) {
		for _, a := range f.in.Artifacts {
			f.in.Demand[a.Name] = demand(a.Name)
		}
		e := f.core.Step(f.now, f.in)
		o := f.log.Execute(order.Command{Term: f.log.State().Term, Begin: e.Propose})
		for n, i := range e.Propose {
			i.Fence = o.Fences[n]
			f.core.Committed(f.now, i, f.log.State())
		}
		for _, i := range f.core.Orders(f.now, f.in, len(f.in.Hosts)) {
			f.orders = append(f.orders, i)
			for _, v := range f.core.ResultReceived(f.now, i, placement.Done) {
				f.log.Execute(order.Command{Term: f.log.State().Term, Finish: []order.Finish{v}})
				f.core.Finished(f.now, v, f.log.State())
			}
		}
	}
}
