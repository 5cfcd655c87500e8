package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/routing"
)

// reference is one load and the outcome of the reference scheduler under it, see best.
type reference struct {
	seed uint64
	load []*job
	best outcome
}

// references returns the loads of a deployment with their best outcomes; they are the same in each run.
func references(d deployment) []reference {
	const seeds = 3
	var l []reference
	for s := uint64(1); s <= seeds; s++ {
		j := d.load(s)
		l = append(l, reference{seed: s, load: j, best: best(d, j)})
	}
	return l
}

// ratios are a policy's figures divided by those of the reference scheduler, as means over the loads. The hit shares
// are plain means.
type ratios struct {
	p50, p99, complete, hits, bestHits float64
}

func measure[P routing.Policy](d deployment, l []reference, policy func() P) ratios {
	var r ratios
	n := float64(len(l))
	for _, k := range l {
		o := simulate(d, k.seed, k.load, policy)
		r.p99 += float64(o.p99) / float64(k.best.p99) / n
		r.p50 += float64(o.p50) / float64(k.best.p50) / n
		r.complete += float64(o.complete) / float64(k.best.complete) / n
		r.hits += o.hitShare / n
		r.bestHits += k.best.hitShare / n
	}
	return r
}

// BenchmarkRouting compares the policies with the reference scheduler. It runs in virtual time, so that its figures are
// the same in each run.
func BenchmarkRouting(b *testing.B) {
	for _, d := range deployments() {
		l := references(d)
		compare(b, d, l, "random", func() routing.Random { return routing.Random{} })
		compare(b, d, l, "round_robin", func() *routing.RoundRobin { return &routing.RoundRobin{} })
		compare(b, d, l, "least_in_flight", func() routing.LeastInFlight { return routing.LeastInFlight{} })
		compare(b, d, l, "weighted", func() routing.Weighted { return routing.Weighted{} })
	}
}

func compare[P routing.Policy](b *testing.B, d deployment, l []reference, name string, policy func() P) {
	b.Run(d.name+"/"+name, func(b *testing.B) {
		var r ratios
		for range b.N {
			r = measure(d, l, policy)
		}
		b.ReportMetric(r.p99, "p99_of_best")
		b.ReportMetric(r.p50, "p50_of_best")
		b.ReportMetric(r.complete, "whole_p99_of_best")
		b.ReportMetric(r.hits, "hit_share")
		b.ReportMetric(r.bestHits, "hit_share_of_best")
	})
}

// TestRoutingStaysNearTheBest checks that the policy in use keeps the p99 of the time to the first token within the
// required multiple of the reference scheduler's, and that it beats LeastInFlight in this p99 and in cache hits.
func TestRoutingStaysNearTheBest(t *testing.T) {
	const target = 1.3 // max p99, relative to the reference scheduler; required by issue 5
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			l := references(d)[:1]
			r := measure(d, l, func() routing.Weighted { return routing.Weighted{} })
			base := measure(d, l, func() routing.LeastInFlight { return routing.LeastInFlight{} })
			require.LessOrEqual(t, r.p99, target, "seed %d", l[0].seed)
			require.Less(t, r.p99, base.p99, "seed %d", l[0].seed)
			require.Greater(t, r.hits, base.hits, "seed %d", l[0].seed)
			require.Equal(t, r, measure(d, l, func() routing.Weighted { return routing.Weighted{} }), "the same figures each run")
		})
	}
}
