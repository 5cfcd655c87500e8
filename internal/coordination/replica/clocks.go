package replica

import "time"

// minSuspension is the difference between the clocks from which on the VM counts as suspended. Shorter ones occur when the
// goroutine is interrupted between its readings.
const minSuspension = 50 * time.Millisecond

// clocks is a reading of two clocks at the same time. While a VM is suspended only the time of day goes on.
type clocks struct {
	steady time.Time
	day    time.Time
}

func (r *Replica) readClocks() clocks {
	n := time.Now()
	d := n
	if r.d.TimeOfDay != nil {
		d = r.d.TimeOfDay()
	}
	return clocks{steady: n, day: d.Round(0)}
}

// suspendedSince reports whether the VM was suspended between an earlier reading and this one.
func (c clocks) suspendedSince(e clocks) bool {
	return !e.day.IsZero() && c.day.Sub(e.day)-c.steady.Sub(e.steady) > minSuspension
}
