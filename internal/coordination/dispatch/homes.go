package dispatch

import (
	"slices"

	"snipetack/internal/state/plan"
)

// home reports whether an upstream is in a home of a request.
func (p *Pool) home(u *upstream, h plan.Homes) bool {
	return !h.Bound() || h.Allow(p.d.Regions[u.Zone])
}

// Servable reports whether the service of a request has an upstream, other than one, that is not draining, is in a home of the request and of the
// version that it is pinned to.
func (p *Pool) Servable(r Request, other string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servable(r, other)
}

func (p *Pool) servable(r Request, other string) bool {
	return slices.ContainsFunc(p.services[r.Service], func(u *upstream) bool {
		return !u.Draining && u.ID != other && p.home(u, r.Homes) && (!r.Pinned || u.Version == r.Version)
	})
}

// homeShare returns the fraction of a service's upstreams that are in homes.
func (p *Pool) homeShare(service string, h plan.Homes) float64 {
	if !h.Bound() {
		return 1
	}
	n, homes := 0, 0
	for _, u := range p.services[service] {
		if u.Draining {
			continue
		}
		n++
		if p.home(u, h) {
			homes++
		}
	}
	return float64(homes) / float64(max(1, n))
}

// restriction names the upstreams that a request without Exclude and Only may take; it is "" for all.
func (r *Request) restriction() string {
	s := r.Homes.String()
	if r.Pinned {
		s += "\x00" + r.Version
	}
	return s
}
