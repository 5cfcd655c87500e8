package filler

import (
	"math"
	"time"
)

// rushStep is the resolution of a Rush; a rush that is shorter ends before items could use the slots that it leaves.
const rushStep = 100 * time.Millisecond

// freeFraction is the fraction of free slots at which about one request in a hundred finds all of the four upstreams full that its entry VM
// compares.
const freeFraction = 0.2

// Rush forecasts how many slots the online requests of a service take at most while an item that starts now would run: as many as in the
// highest moment of the time that items take. It responds to an online load that comes in waves, where each wave preempts the items
// that started in the trough before it. The zero value expects nothing; it is not safe for concurrent use.
type Rush struct {
	peaks []rushPeak // latest last; each is higher than all later ones
}

// rushPeak is the highest load of a step.
type rushPeak struct {
	at     time.Time
	online int
}

// Observe records the online requests in flight and forgets what is older than memory.
func (r *Rush) Observe(now time.Time, online int, memory time.Duration) {
	for len(r.peaks) > 0 && now.Sub(r.peaks[0].at) > memory {
		r.peaks = r.peaks[1:]
	}
	p := rushPeak{at: now, online: online}
	for n := len(r.peaks); n > 0; n = len(r.peaks) {
		last := r.peaks[n-1]
		if last.online > online && now.Sub(last.at) < rushStep {
			return // within the step of a higher load
		}
		if last.online > online {
			break
		}
		r.peaks = r.peaks[:n-1]
	}
	r.peaks = append(r.peaks, p)
}

// Highest returns the highest load that is remembered.
func (r *Rush) Highest() int {
	if len(r.peaks) == 0 {
		return 0
	}
	return r.peaks[0].online
}

// Headroom returns how many slots of each upstream items leave free when they start, for a service with so many upstreams of so many slots
// each, and whether runs may then keep their slots until requests take them.
//
// The requests at one upstream vary by about the root of their mean. An item that starts within that of the highest load would be
// preempted by chance, and often in the same wave. While freeFraction of the slots is free even at the highest load, a run may stay in
// the last slot of its upstream: the next request finds one elsewhere. Otherwise keepRuns is false, and runs have to give way before
// their slot is needed, as a request that waits for that is late.
func (r *Rush) Headroom(upstreams, slots int) (headroom int, keepRuns bool) {
	if upstreams <= 0 || slots <= 0 {
		return 0, false
	}
	mean := float64(r.Highest()) / float64(upstreams)
	return max(1, min(slots/2, int(math.Ceil(math.Sqrt(mean))))), mean <= (1-freeFraction)*float64(slots)
}
