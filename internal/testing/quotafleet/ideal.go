package quotafleet

import (
	"slices"
	"time"

	"snipetack/internal/coordination/quota"
)

// Tally compares what an account got with the ideal: what one bucket for the whole fleet would admit on arrival.
type Tally struct {
	Arrived  int
	Ideal    int // admitted in the ideal
	Admitted int
	Lost     int             // with their VM
	Waited   []time.Duration // of the admitted, sorted
}

// Denied returns how many requests within the rate were not admitted, apart from those lost with their VM.
func (t Tally) Denied() int {
	return max(0, t.Ideal-t.Admitted-t.Lost)
}

// Share returns the fraction of the ideal that was admitted, at most 1; lost requests count as admitted.
func (t Tally) Share() float64 {
	if t.Ideal == 0 {
		return 1
	}
	return min(1, float64(t.Admitted+t.Lost)/float64(t.Ideal))
}

// overloadThreshold is the fraction of arrivals within the rate below which an account counts as overloaded.
const overloadThreshold = 0.9

// Tally returns an account's outcomes against the ideal.
//
// The requests of an overloaded account wait, so its admissions lag behind the ideal. Such an account is compared by what
// was admitted between from and to, when it has long been overloaded; the others are compared over the whole run.
func (f *Fleet) Tally(k quota.Key, from, to time.Duration) Tally {
	t := f.tally(k, 0, f.now)
	if float64(t.Ideal) < overloadThreshold*float64(t.Arrived) {
		return f.tally(k, from, to)
	}
	return t
}

func (f *Fleet) tally(k quota.Key, from, to time.Duration) Tally {
	var t Tally
	var l []time.Duration
	for _, o := range f.Outcomes {
		if o.Key != k {
			continue
		}
		l = append(l, o.At)
		switch {
		case o.Admitted && (o.End < from || o.End >= to):
		case o.Admitted:
			t.Admitted++
			t.Waited = append(t.Waited, o.End-o.At)
		case o.Lost:
			t.Lost++
		}
	}
	slices.Sort(l)
	slices.Sort(t.Waited)
	t.Arrived = len(l)
	t.Ideal = ideal(l, f.limits()[k], from, to)
	return t
}

// ideal returns how many of the sorted arrivals a single bucket, full at time zero, admits between two times.
func ideal(l []time.Duration, m quota.Limit, from, to time.Duration) int {
	level, n := m.Burst, 0
	at := time.Duration(0)
	for _, t := range l {
		level = min(m.Burst, level+(t-at).Seconds()*m.Rate)
		at = t
		if level >= 1 {
			level--
			if t >= from && t < to {
				n++
			}
		}
	}
	return n
}
