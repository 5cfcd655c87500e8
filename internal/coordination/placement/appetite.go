package placement

import (
	"math"
	"time"
)

// scaler computes the desired number of copies of an artifact from its demand, with hysteresis.
//
// Copies are added when the utilization has been above HighUtilization for ScaleUpAfter. They become spare when, with
// one copy less, it would have been below LowUtilization for ScaleDownAfter. In between the number does not change.
type scaler struct {
	desired   int       // copies
	highSince time.Time // zero while the demand is not high
	lowSince  time.Time // zero while the demand is not low
}

func (p *scaler) update(now time.Time, s Settings, a Artifact, demand float64) {
	p.desired = max(p.desired, a.MinCopies)
	high := demand > s.HighUtilization*float64(p.desired)*a.Rate
	low := p.desired > a.MinCopies && demand < s.LowUtilization*float64(p.desired-1)*a.Rate
	p.highSince = since(p.highSince, now, high)
	p.lowSince = since(p.lowSince, now, low)
	switch {
	case high && now.Sub(p.highSince) >= s.ScaleUpAfter, low && now.Sub(p.lowSince) >= s.ScaleDownAfter:
		p.desired = max(a.MinCopies, copiesFor(demand, s.TargetUtilization, a.Rate))
		p.highSince, p.lowSince = time.Time{}, time.Time{}
	}
}

// copiesFor returns how many copies carry a demand at a share of their rate, or 0 if the rate is unknown.
func copiesFor(demand, share, rate float64) int {
	if rate <= 0 {
		return 0
	}
	return int(math.Ceil(demand / (share * rate)))
}

// since returns the time since which a condition has held without interruption, or zero if it does not hold; t is the
// result of the previous call.
func since(t, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case t.IsZero():
		return now
	default:
		return t
	}
}
