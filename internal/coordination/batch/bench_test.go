package batch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"snipetack/internal/coordination/batch"
)

// benchmarkTime is the virtual time of one run of a model.
const benchmarkTime = 60 * time.Second

func quantile(l []time.Duration, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	s := slices.Clone(l)
	slices.Sort(s)
	return float64(s[min(len(s)-1, int(q*float64(len(s))))])
}

func mean(l []time.Duration) float64 {
	var n float64
	for _, d := range l {
		n += float64(d)
	}
	return n / float64(max(1, len(l)))
}

// runPolicy runs a deployment under a policy, with more batch work than it can complete.
func runPolicy(d deployment, p policy, seed uint64, lossy bool) measurements {
	return runPolicyWith(batch.DefaultSettings(), d, p, seed, lossy)
}

func runPolicyWith(s batch.Settings, d deployment, p policy, seed uint64, lossy bool) measurements {
	if p == noPreempt || p == fixedSplit {
		s = batch.ThroughputSettings()
	}
	m := newModel(d, p, s, seed, benchmarkTime)
	m.withLosses = lossy
	m.job("large", 40_000, time.Hour)
	m.job("other", 20_000, 2*time.Hour)
	return m.run()
}

// tokensPerIdleSlot returns the batch tokens per second of a slot when there are no online requests.
func tokensPerIdleSlot(d deployment) float64 {
	d.rate, d.burst = 1e-9, 0
	f := runPolicy(d, lending, 1, false)
	return float64(f.batchTokens) / f.idleSlots
}

func BenchmarkBatchThroughput(b *testing.B) {
	for _, d := range []deployment{alpweide(), tihend()} {
		unit := tokensPerIdleSlot(d)
		for _, x := range []struct {
			name  string
			p     policy
			s     batch.Settings
			lossy bool
			bound float64
		}{
			{"lending", lending, batch.DefaultSettings(), false, 0.90},
			{"lending_one_vm_and_upstream_lost", lending, batch.DefaultSettings(), true, 0.85},
			{"throughput_settings", lending, batch.ThroughputSettings(), false, 0.90},
			{"throughput_settings_one_vm_and_upstream_lost", lending, batch.ThroughputSettings(), true, 0.85},
			{"baseline_no_preemption", noPreempt, batch.ThroughputSettings(), false, 0},
			{"baseline_fixed_split", fixedSplit, batch.ThroughputSettings(), false, 0},
		} {
			b.Run(d.name+"/"+x.name, func(b *testing.B) {
				var share float64
				for range b.N {
					idle := runPolicy(d, noBatch, 7, x.lossy).idleSlots
					share = float64(runPolicyWith(x.s, d, x.p, 7, x.lossy).batchTokens) / (idle * unit)
				}
				b.ReportMetric(share, "batch_of_idle")
				if share < x.bound {
					b.Errorf("batch_of_idle %.3f is below %.2f (seed 7)", share, x.bound)
				}
			})
		}
		for _, x := range []struct {
			name string
			s    batch.Settings
		}{{"due", batch.DefaultSettings()}, {"throughput_settings_due", batch.ThroughputSettings()}} {
			b.Run(d.name+"/"+x.name, func(b *testing.B) {
				var f measurements
				for range b.N {
					f = runDueJobs(x.s, d, 7, unit)
				}
				b.ReportMetric(float64(f.missed), "due_missed")
				if f.missed > 0 {
					b.Errorf("due_missed %d is above 0 (seed 7)", f.missed)
				}
			})
		}
	}
}

// runDueJobs runs jobs that together need 70% of the idle capacity, each with a due time at which it and all jobs due
// before it can be completed.
func runDueJobs(s batch.Settings, d deployment, seed uint64, unit float64) measurements {
	idle := runPolicy(d, noBatch, seed, false).idleSlots
	speed := 0.7 * idle * unit / benchmarkTime.Seconds() // tokens per second
	m := newModel(d, lending, s, seed, benchmarkTime)
	items := func(t time.Duration) int { return int(speed * t.Seconds() / float64(d.item)) }
	m.job("large", items(30*time.Second), 55*time.Second)
	for i := range 5 {
		at := time.Duration(2+8*i) * time.Second
		m.after(at, func() { m.job(fmt.Sprint("short-", i), items(4*time.Second), at+9*time.Second) })
	}
	return m.run()
}

func BenchmarkOnlineTailHarm(b *testing.B) {
	for _, d := range []deployment{alpweide(), tihend()} {
		for _, x := range []struct {
			name  string
			p     policy
			s     batch.Settings
			bound float64
		}{
			{"lending", lending, batch.DefaultSettings(), 1.10},
			{"throughput_settings", lending, batch.ThroughputSettings(), 1.10},
			{"baseline_no_preemption", noPreempt, batch.ThroughputSettings(), 0},
			{"baseline_fixed_split", fixedSplit, batch.ThroughputSettings(), 0},
		} {
			b.Run(d.name+"/"+x.name, func(b *testing.B) {
				var f, g measurements
				for range b.N {
					f, g = runPolicy(d, noBatch, 7, false), runPolicyWith(x.s, d, x.p, 7, false)
				}
				p99 := quantile(g.first, 0.99) / quantile(f.first, 0.99)
				gap := quantile(g.gaps, 0.95) / quantile(f.gaps, 0.95)
				b.ReportMetric(p99, "p99_ratio")
				b.ReportMetric(gap, "token_gap_ratio")
				b.ReportMetric(mean(g.gaps)/mean(f.gaps), "token_gap_mean_ratio")
				b.ReportMetric(float64(g.stops), "preempted")
				if x.bound > 0 && (p99 > x.bound || gap > x.bound) {
					b.Errorf("p99_ratio %.3f or token_gap_ratio %.3f is above %.2f (seed 7)", p99, gap, x.bound)
				}
			})
		}
	}
}
