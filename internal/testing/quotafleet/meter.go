package quotafleet

import (
	"fmt"
	"time"

	"snipetack/internal/coordination/quota"
)

// tolerance covers the rounding errors of floating point sums.
const tolerance = 1e-6

// settleTime is how long tokens granted under earlier limits may still be spent.
const settleTime = quota.MaxValidity + quota.MaxValidity/500

// Check reports the first window in which more was admitted than rate and burst allow.
//
// A window within one regime must keep its limits. A window that starts in an earlier regime, or while tokens granted in
// one may still be spent, must keep the rates in force at each moment and the largest of the bursts.
func (f *Fleet) Check(k quota.Key) error {
	l := f.AdmittedAt(k)
	for i := range f.Regimes {
		for j := i; j < len(f.Regimes); j++ {
			if err := f.check(k, l, i, j); err != nil {
				return err
			}
		}
	}
	return nil
}

// CheckWindows reports the first window in which sorted times exceed a constant limit.
func CheckWindows(l []time.Duration, m quota.Limit) error {
	k := quota.Key{}
	f := &Fleet{Regimes: []Regime{{Limits: map[quota.Key]quota.Limit{k: m}}}}
	return f.check(k, l, 0, 0)
}

// check reports the first window that starts in regime i, ends before the end of regime j, and admits too much. It fills a
// bucket with the sorted admissions l and drains it at the rates in force; the bucket must not exceed the burst.
func (f *Fleet) check(k quota.Key, l []time.Duration, i, j int) error {
	burst := 0.0
	for _, r := range f.Regimes[i : j+1] {
		burst = max(burst, r.Limits[k].Burst)
	}
	from := f.Regimes[i].From
	if i > 0 {
		from += settleTime
	}
	content, at := 0.0, from
	for _, t := range l {
		if t < from || j+1 < len(f.Regimes) && t >= f.Regimes[j+1].From {
			continue
		}
		content = max(0, content-f.accrued(k, at, t)) + 1
		at = t
		if content > burst+tolerance {
			return fmt.Errorf("%v: a window that ends at %v admits %.3f above its rate, the burst is %v (regimes %d to %d)",
				k, t, content, burst, i, j)
		}
	}
	return nil
}

// accrued returns the tokens that the rates in force yield between two times.
func (f *Fleet) accrued(k quota.Key, from, to time.Duration) float64 {
	sum := 0.0
	for i, r := range f.Regimes {
		a, b := max(from, r.From), to
		if i+1 < len(f.Regimes) {
			b = min(b, f.Regimes[i+1].From)
		}
		if b > a {
			sum += (b - a).Seconds() * r.Limits[k].Rate
		}
	}
	return sum
}
