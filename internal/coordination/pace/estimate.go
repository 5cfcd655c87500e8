package pace

import (
	"math"
	"time"
)

// usualWeight is the weight of one response in the usual times of a service.
const usualWeight = 0.05

// Usual holds the times of a service at an upstream of factor 1 that makes nothing wait.
type Usual struct {
	First time.Duration // to the first event
	Run   time.Duration // to the end
}

// ObserveFirst records the time to the first event at an upstream of a factor. One that may have waited for a slot there tells only that the usual time
// is not longer.
func (u *Usual) ObserveFirst(d time.Duration, factor float64, mayHaveWaited bool) {
	if mayHaveWaited && u.First > 0 && float64(d)/factor > float64(u.First) {
		return
	}
	u.First = blend(u.First, d, factor)
}

// ObserveRun records the time to the end at an upstream of a factor.
func (u *Usual) ObserveRun(d time.Duration, factor float64) { u.Run = blend(u.Run, d, factor) }

func blend(mean, d time.Duration, factor float64) time.Duration {
	x := float64(d) / factor
	if mean == 0 {
		return time.Duration(x)
	}
	return mean + time.Duration(usualWeight*(x-float64(mean)))
}

// Occupancy is what is known of the slots of an upstream.
type Occupancy struct {
	Slots  int           // 0 is no limit
	Own    int           // requests from this VM
	Online int           // requests from others, as of Age ago
	Batch  int           // batch items, which are preempted
	Age    time.Duration // of what is known of the others
	Rate   float64       // requests a second that others send there on average
	Yield  time.Duration // after which batch items have given way to a request that finds no free slot
}

// Estimate is what a request can expect that is sent to an upstream now.
type Estimate struct {
	Wait  time.Duration // for a slot there
	First time.Duration // to the first event, with Wait
	End   time.Duration // with Wait
}

// Expect returns the estimate for an upstream of a factor.
//
// The number of requests there is uncertain: since Age, others have come and gone at the rate at which those there end. An upstream whose last slot
// is free as far as is known makes requests wait nearly as often as not, one with several free slots hardly ever.
func Expect(u Usual, factor float64, o Occupancy) Estimate {
	run := u.Run.Seconds() * factor
	wait := 0.0
	if o.Slots > 0 && run > 0 {
		excess := float64(o.Own + o.Online + o.Batch + 1 - o.Slots)
		deviation := math.Sqrt((float64(o.Online)/run + o.Rate) * o.Age.Seconds())
		wait = run / float64(o.Slots) * expectedExcess(excess-float64(o.Batch), deviation)
		if o.Batch > 0 {
			wait += o.Yield.Seconds() * probability(excess-0.5, deviation)
		}
	}
	w := time.Duration(wait * float64(time.Second))
	return Estimate{Wait: w, First: w + time.Duration(factor*float64(u.First)), End: w + time.Duration(factor*float64(u.Run))}
}

// expectedExcess returns the mean of the positive part of a normal variable.
func expectedExcess(mean, deviation float64) float64 {
	if deviation <= 0 || mean > 4*deviation {
		return max(0, mean)
	}
	if mean < -4*deviation {
		return 0
	}
	z := mean / deviation
	return mean*0.5*math.Erfc(-z/math.Sqrt2) + deviation*math.Exp(-z*z/2)/math.Sqrt(2*math.Pi)
}

// probability returns the probability that a normal variable is positive.
func probability(mean, deviation float64) float64 {
	if deviation <= 0 {
		if mean > 0 {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(-mean/deviation/math.Sqrt2)
}
