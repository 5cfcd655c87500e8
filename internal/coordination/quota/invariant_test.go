package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/testing/quotafleet"
)

// Bounds of one randomized run.
const (
	seeds   = 400
	runTime = 12 * time.Second
)

func newOwner(now time.Time) quotafleet.Owner { return quota.NewOwner(now) }

func TestInvariantRateAndBurstFleetWide(t *testing.T) {
	admitted, refused := 0, 0
	for seed := range uint64(seeds) {
		f := randomRun(seed, newOwner)
		require.NoError(t, checkAll(f), "seed %d", seed)
		for _, o := range f.Outcomes {
			if o.Admitted {
				admitted++
			}
			if o.Refused {
				refused++
			}
		}
	}
	require.Greater(t, admitted, 100*seeds, "the runs admit too little to prove anything")
	require.Greater(t, refused, 10*seeds, "the runs load the limits too little to prove anything")
}

func TestInvariantRateAndBurstReplaysExactly(t *testing.T) {
	for seed := range uint64(5) {
		require.Equal(t, randomRun(seed, newOwner).Outcomes, randomRun(seed, newOwner).Outcomes, "seed %d", seed)
	}
}

// The check must detect each of these faults; otherwise passing it proves nothing.
func TestRateAndBurstCheckSeesBrokenOwners(t *testing.T) {
	for n, o := range map[string]func(time.Time) quotafleet.Owner{
		"buckets by VM":              func(n time.Time) quotafleet.Owner { return quota.NewSeparateOwner(n) },
		"new owner starts full":      func(n time.Time) quotafleet.Owner { return quota.FullOwner{Owner: quota.NewOwner(n)} },
		"new owner does not wait":    func(n time.Time) quotafleet.Owner { return quota.NoWaitOwner{Owner: quota.NewOwner(n)} },
		"unspent grants not counted": func(n time.Time) quotafleet.Owner { return quota.UncountedOwner{Owner: quota.NewOwner(n)} },
		"no room for late spending":  func(n time.Time) quotafleet.Owner { return quota.FullBurstOwner{Owner: quota.NewOwner(n)} },
		"change refills":             func(n time.Time) quotafleet.Owner { return quota.RefillOwner{Owner: quota.NewOwner(n)} },
	} {
		t.Run(n, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if err := checkAll(randomRun(seed, o)); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no seed below %d shows the fault", seeds)
		})
	}
}

func checkAll(f *quotafleet.Fleet) error {
	for k := range f.Regimes[0].Limits {
		if err := f.Check(k); err != nil {
			return err
		}
	}
	return nil
}

// randomRun simulates a fleet whose faults, changes of limits and load are derived from the seed.
func randomRun(seed uint64, newOwner func(time.Time) quotafleet.Owner) *quotafleet.Fleet {
	r := rand.New(rand.NewPCG(seed, 2))
	p := quota.DefaultPolicy()
	p.FarRoundTrip = time.Duration(r.IntN(2)) * p.FarRoundTrip
	p.Horizon = time.Duration(r.IntN(200)) * time.Millisecond
	delay := time.Duration(r.IntN(20_000)+100) * time.Microsecond
	f := quotafleet.New(quotafleet.Config{
		Seed:     seed,
		Holders:  2 + r.IntN(5),
		Owners:   3,
		Delay:    func(int, int) time.Duration { return delay },
		Jitter:   []time.Duration{time.Millisecond, 60 * time.Millisecond, 240 * time.Millisecond}[r.IntN(3)],
		Loss:     []float64{0, 0.01, 0.1}[r.IntN(3)],
		Drift:    quota.MaxDrift,
		Policy:   p,
		NewOwner: newOwner,
		Limits:   randomLimits(r, nil),
		Election: time.Duration(r.IntN(2)*r.IntN(1500)) * time.Millisecond,
		Uptime:   time.Duration(r.IntN(2)*r.IntN(1500)) * time.Millisecond,
	})
	load(f, r)
	for range r.IntN(5) {
		f.At(randomTime(r), func() { fault(f, r) })
	}
	for range r.IntN(3) {
		f.At(randomTime(r), func() {
			f.Change(randomLimits(r, f.Regimes[len(f.Regimes)-1].Limits), time.Duration(r.IntN(300))*time.Millisecond)
		})
	}
	f.Run(runTime + 5*time.Second)
	return f
}

func randomTime(r *rand.Rand) time.Duration {
	return time.Duration(r.Int64N(int64(runTime)))
}

// randomLimits returns new limits, or changes some of the old ones.
func randomLimits(r *rand.Rand, old map[quota.Key]quota.Limit) map[quota.Key]quota.Limit {
	m := map[quota.Key]quota.Limit{}
	for i := range 3 {
		k := quota.Key{Account: fmt.Sprint("account-", i), Class: quota.Class(i % 2)}
		l, ok := old[k]
		if !ok || r.IntN(2) == 0 {
			l = quota.Limit{Rate: []float64{0.5, 5, 20, 100}[r.IntN(4)], Burst: []float64{1, 3, 10, 60, 200}[r.IntN(5)]}
		}
		m[k] = l
	}
	return m
}

// load adds steady arrivals at a multiple of the rate, and bursts spread over all VMs within 20 ms.
func load(f *quotafleet.Fleet, r *rand.Rand) {
	n := f.Holders()
	for i := range 3 {
		k := quota.Key{Account: fmt.Sprint("account-", i), Class: quota.Class(i % 2)}
		l := f.Regimes[0].Limits[k]
		mean := float64(time.Second) / (l.Rate * []float64{0.5, 1, 5}[r.IntN(3)])
		for t := r.ExpFloat64() * mean; t < float64(runTime); t += r.ExpFloat64() * mean {
			f.Arrive(quotafleet.Arrival{At: time.Duration(t), Holder: r.IntN(n), Key: k})
		}
		for range r.IntN(6) {
			t := randomTime(r)
			for range int(l.Burst) + r.IntN(5) {
				f.Arrive(quotafleet.Arrival{At: t + time.Duration(r.Int64N(int64(20*time.Millisecond))), Holder: r.IntN(n), Key: k})
			}
		}
	}
}

// fault disconnects or restarts a VM, or moves the ownership; a disconnected VM is reconnected later.
func fault(f *quotafleet.Fleet, r *rand.Rand) {
	h, o := r.IntN(f.Holders()), r.IntN(3)
	heal := time.Duration(r.Int64N(int64(4 * time.Second)))
	switch r.IntN(5) {
	case 0:
		f.CutHolder(h, true)
		f.After(heal, func() { f.CutHolder(h, false) })
	case 1:
		f.CutOwner(o, true)
		f.After(heal, func() { f.CutOwner(o, false) })
		f.MoveOwner((o+1)%3, false)
	case 2:
		f.RestartHolder(h, heal/4)
	case 3:
		f.MoveOwner(o, true)
	default:
		f.MoveOwner(o, false)
	}
}
