package quota_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/testing/quotafleet"
)

// Times of a benchmark run.
const (
	warmUp     = 5 * time.Second // the buckets of a new fleet fill
	loadEnd    = 125 * time.Second
	runEnd     = 135 * time.Second
	tallyFrom  = 30 * time.Second // start of the measured time of the account above its rate
	faultAt    = 60 * time.Second
	electTime  = 1200 * time.Millisecond
	upTime     = 600 * time.Millisecond // a restarted keeper waits this long before it can lead
	restartFor = 10 * time.Second
)

// Bounds that the users have stated: the max fraction of the requests within the rate that may be refused, and the min
// share of its entitlement that each account gets.
const (
	refusedSteady = 0.001
	refusedFault  = 0.005
	worstShare    = 0.95
)

// scenario is the fault of a run and the max share of requests within the rate that may be refused.
type scenario struct {
	name  string
	bound float64
	fault func(f *quotafleet.Fleet)
}

func scenarios() []scenario {
	return []scenario{
		{"steady", refusedSteady, func(*quotafleet.Fleet) {}},
		{"vm_lost", refusedFault, func(f *quotafleet.Fleet) { f.RestartHolder(1, restartFor) }},
		{"owner_changes", refusedFault, func(f *quotafleet.Fleet) { f.MoveOwner(1, false) }},
		{"owner_restarts", refusedFault, func(f *quotafleet.Fleet) { f.MoveOwner(0, true) }},
	}
}

func deploymentRun(d quotafleet.Deployment, s scenario, p quota.Policy) *quotafleet.Fleet {
	f := quotafleet.New(quotafleet.Config{
		Seed:     1,
		Holders:  d.VMs,
		Owners:   3,
		Delay:    d.Delay,
		Jitter:   500 * time.Microsecond,
		Loss:     0.0001,
		Drift:    quota.MaxDrift,
		Policy:   p,
		NewOwner: newOwner,
		Limits:   d.Limits(),
		Election: electTime,
		Uptime:   upTime,
	})
	f.Arrive(d.Arrivals(rand.New(rand.NewPCG(7, 7)), warmUp, loadEnd)...)
	f.At(faultAt, func() { s.fault(f) })
	f.Run(runEnd)
	return f
}

func eachRun(b *testing.B, run func(b *testing.B, d quotafleet.Deployment, s scenario, f *quotafleet.Fleet)) {
	for _, d := range quotafleet.Deployments() {
		for _, s := range scenarios() {
			b.Run(d.Name+"/"+s.name, func(b *testing.B) {
				for b.Loop() {
					run(b, d, s, deploymentRun(d, s, quota.DefaultPolicy()))
				}
			})
		}
	}
}

func BenchmarkRefusedWithinRate(b *testing.B) {
	eachRun(b, func(b *testing.B, d quotafleet.Deployment, s scenario, f *quotafleet.Fleet) {
		denied, ideal := 0, 0
		var waits []time.Duration
		for _, a := range d.Accounts {
			t := f.Tally(quota.Key{Account: a.Name}, tallyFrom, loadEnd)
			denied += t.Denied()
			ideal += t.Ideal
			if a.Load <= 1 {
				waits = append(waits, t.Waited...)
			}
		}
		slices.Sort(waits)
		r := float64(denied) / float64(ideal)
		b.ReportMetric(r, "refused_within_rate")
		b.ReportMetric(waits[len(waits)/2].Seconds()*1e3, "p50_wait_ms")
		b.ReportMetric(waits[len(waits)*99/100].Seconds()*1e3, "p99_wait_ms")
		b.ReportMetric(waits[len(waits)-1].Seconds()*1e3, "max_wait_ms")
		b.ReportMetric(float64(f.Messages)/float64(len(f.Outcomes)), "messages/request")
		if testing.Verbose() {
			for _, a := range d.Accounts {
				t := f.Tally(quota.Key{Account: a.Name}, tallyFrom, loadEnd)
				b.Logf("%s: arrived %d, ideal %d, admitted %d, lost %d", a.Name, t.Arrived, t.Ideal, t.Admitted, t.Lost)
			}
		}
		if r > s.bound {
			b.Errorf("refused_within_rate %.5f, at most %v", r, s.bound)
		}
	})
}

func BenchmarkWorstServedAccount(b *testing.B) {
	eachRun(b, func(b *testing.B, d quotafleet.Deployment, _ scenario, f *quotafleet.Fleet) {
		worst := 1.0
		for _, a := range d.Accounts {
			worst = min(worst, f.Tally(quota.Key{Account: a.Name}, tallyFrom, loadEnd).Share())
		}
		b.ReportMetric(worst, "worst_share")
		if worst < worstShare {
			b.Errorf("worst_share %.4f, at least %v", worst, worstShare)
		}
	})
}
