package dispatch

import (
	"time"

	"snipetack/internal/coordination/spillover"
)

// anyLoad lets eligible accept full upstreams, as Request.overdraft.
const anyLoad = 1 << 20

// Reasons of Choice.Left.
const (
	leftOverflow = "overflow"  // the request would have waited for longer in its data centre
	leftNone     = "none here" // no upstream of its data centre may take it
)

// place is pick with the data centre chosen first, where spillover decides on that.
func (p *Pool) place(now time.Time, r Request) *upstream {
	if p.d.Spillover == nil || r.Only != "" {
		return p.pick(now, r)
	}
	if u := p.byID[r.Prefer]; u != nil && p.eligible(now, u, r) {
		return u
	}
	x := p.situation(now, r)
	if x.Here.Upstreams == 0 && !r.takesAny() { // pinned, or those here have failed it
		return p.pick(now, r)
	}
	here := r
	here.zone, here.inZone = p.d.Zone, true
	u := p.pick(now, here)
	if u == nil {
		x.Here.Free = 0
	}
	z := p.d.Spillover.Decide(now, r.Service, x)
	if z == "" {
		return u
	}
	there := r
	there.zone, there.inZone = z, true
	if v := p.pick(now, there); v != nil {
		return v
	}
	return u
}

// situation returns what is known of the upstreams that may take a request, by data centre.
func (p *Pool) situation(now time.Time, r Request) spillover.Situation {
	x := spillover.Situation{There: map[string]spillover.Zone{}, Queued: len(p.waiters[r.Service]), SlotTime: p.slotTimes[r.Service],
		Known: now.Sub(p.loadsAt) <= loadsExpiry}
	r.overdraft = anyLoad
	for _, u := range p.services[r.Service] {
		if !p.eligible(now, u, r) {
			continue
		}
		o := p.others(now, u)
		n := u.own + o.Online
		if u.Zone == p.d.Zone {
			x.Own += u.own
			x.Here = withUpstream(x.Here, u.Slots, n, n)
		} else {
			x.There[u.Zone] = withUpstream(x.There[u.Zone], u.Slots, n, n+o.Batch) // batch items elsewhere don't give way to what leaves
		}
	}
	return x
}

// withUpstream adds an upstream to a data centre. One without a number of slots has room for another request.
func withUpstream(z spillover.Zone, slots, online, taken int) spillover.Zone {
	if slots <= 0 {
		slots = max(online, taken) + 1
	}
	z.Upstreams++
	z.Slots += slots
	z.Free += max(0, slots-taken)
	z.InFlight += online
	return z
}

// notePlaced records the data centre of a choice.
func (p *Pool) notePlaced(now time.Time, u *upstream, r Request, c *Choice) {
	if p.d.Spillover == nil {
		return
	}
	other := u.Zone != p.d.Zone
	p.d.Spillover.Placed(now, u.Service, other)
	if p.d.OnPlaced != nil {
		p.d.OnPlaced(other)
	}
	if !other {
		return
	}
	c.Left = leftOverflow
	if p.situation(now, r).Here.Upstreams == 0 {
		c.Left = leftNone
	}
}
