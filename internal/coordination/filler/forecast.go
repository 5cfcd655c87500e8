package filler

import "time"

// Policy of a Forecast.
const (
	// dueReserve is the fraction of a job's time to its due time that a forecast leaves free: run times are estimates, and upstreams may be
	// lost after a job was accepted.
	dueReserve = 0.1

	onlineSmoothing = 3 * time.Second       // time constant with which the online load is averaged; with a longer one, jobs are refused long after a burst
	maxHeadroom     = 1                     // slots; once a request has taken the free one, its entry VM says so and another item gives way
	headroomAge     = 40 * time.Millisecond // of the loads that entry VMs know, from which headroom is needed; an item gives way within as long
)

// Forecast tells whether a service's upstreams can do a further job in the time that it has, beside what is accepted already. The zero value
// knows nothing and accepts everything; it is not safe for concurrent use.
type Forecast struct {
	slots    float64       // of the upstreams that take items
	online   float64       // average of the online requests in flight there
	work     time.Duration // remaining run time of the accepted items
	updated  time.Time
	measured bool
}

// Update replaces what the forecast is based on: the slots of the upstreams that take items, the online requests in flight there, and the
// remaining run time of all accepted items.
func (f *Forecast) Update(now time.Time, slots, online int, work time.Duration) {
	w := 1.0
	if f.measured {
		w = min(1, now.Sub(f.updated).Seconds()/onlineSmoothing.Seconds())
	}
	f.online += w * (float64(online) - f.online)
	f.slots, f.work, f.updated, f.measured = float64(slots), work, now, true
}

// Turn returns the time in which all accepted items are done beside the online load.
func (f *Forecast) Turn() time.Duration {
	return time.Duration(float64(f.work) / f.free())
}

// free returns how many slots the online load leaves to items.
func (f *Forecast) free() float64 { return max(1, f.slots-f.online) }

// Add counts a job that was accepted since the last Update.
func (f *Forecast) Add(work time.Duration) { f.work += work }

// Headroom returns how many slots of each of so many upstreams to leave free for online requests: about as many as are in flight there on
// average, and no more than can come while the loads by which entry VMs choose are outdated by age.
func (f *Forecast) Headroom(upstreams int, age time.Duration) int {
	return min(maxHeadroom, int(age/headroomAge), int(f.online/float64(max(1, upstreams))+0.5))
}

// Late returns by how much a job would miss the time that it has, or 0 when it can be done: work is the run time of all its items, longest
// that of the longest one.
func (f *Forecast) Late(work, longest, left time.Duration) time.Duration {
	if !f.measured || work <= 0 {
		return 0
	}
	done := time.Duration(float64(f.work+work)/f.free()) + longest/2 // the last items leave half of the slots idle on average
	return max(0, done-time.Duration(float64(left)*(1-dueReserve)))
}
