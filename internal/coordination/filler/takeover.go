package filler

import "time"

// maxTakeover is how long a new leader waits for reports of the online load. VMs whose collector was lost report to the next one after a second.
const maxTakeover = 1200 * time.Millisecond

// Takeover decides when a new leader may start items. It does not know the online load at first, and items in slots that are not free would
// delay online requests. The zero value is that of a leader that has just taken over; it is not safe for concurrent use.
type Takeover struct {
	began time.Time
	ready bool
}

// Ready reports whether items may start, from the first call with loadKnown on or after maxTakeover.
func (t *Takeover) Ready(now time.Time, loadKnown bool) bool {
	if t.began.IsZero() {
		t.began = now
	}
	t.ready = t.ready || loadKnown || now.Sub(t.began) >= maxTakeover
	return t.ready
}
