package routing

import (
	"time"

	"snipetack/internal/state/catalog"
)

// Capacity is what the usable upstreams of a service offer one VM, in requests.
type Capacity struct {
	Slots  int // of all usable upstreams, shared by all VMs; the adaptive limit stands in for an unknown number of slots
	Others int // in flight from other VMs, as last reported
	Limit  int // number that this VM may have in flight, the sum of its adaptive limits
}

// Capacity returns the capacity of the usable upstreams in l.
func (t *Table[P]) Capacity(now time.Time, l []catalog.Upstream) Capacity {
	var r Capacity
	for _, u := range t.usable(now, l, Request{}) {
		s := t.state(now, u.Name)
		n := int(s.limit.value)
		r.Limit += n
		r.Others += s.othersInFlight(now)
		if u.Slots > 0 {
			n = u.Slots
		}
		r.Slots += n
	}
	return r
}

// Capacity returns the capacity of a service's usable upstreams.
func (r *Router) Capacity(c *catalog.Configuration, service string) Capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Capacity(time.Now(), c.UpstreamsOf(service))
}
