package plan

import (
	"slices"
	"strings"
)

// Homes are the regions in which something may be served. The zero value is bound to none: it may be served anywhere.
type Homes struct {
	bound   bool
	regions []string // sorted
}

// NewHomes returns the homes in these regions; without regions it is bound to none.
func NewHomes(regions []string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	l := slices.Clone(regions)
	slices.Sort(l)
	return Homes{bound: true, regions: slices.Compact(l)}
}

// HasHomes reports whether a route or an account is bound to regions.
func (p *Plan) HasHomes() bool {
	for _, a := range p.Accounts {
		if a.Homes.Bound() {
			return true
		}
	}
	return slices.ContainsFunc(p.Routes, func(r Route) bool { return r.Homes.Bound() })
}

// Bound reports whether there are regions in which it may not be served.
func (h Homes) Bound() bool { return h.bound }

// Allow reports whether it may be served in a region. Bound homes do not allow "", a region that is not known.
func (h Homes) Allow(region string) bool {
	if !h.bound {
		return true
	}
	return region != "" && slices.Contains(h.regions, region)
}

// Meet returns the homes in which both may be served; there may be none.
func (h Homes) Meet(o Homes) Homes {
	switch {
	case !h.bound:
		return o
	case !o.bound:
		return h
	}
	return Homes{bound: true, regions: slices.DeleteFunc(slices.Clone(h.regions), func(r string) bool { return !o.Allow(r) })}
}

// Covers reports whether whatever is allowed by o is allowed by h.
func (h Homes) Covers(o Homes) bool {
	return !h.bound || o.bound && !slices.ContainsFunc(o.regions, func(r string) bool { return !h.Allow(r) })
}

// String returns a text that is the same for equal homes only; it is "" for those that are not bound.
func (h Homes) String() string {
	if !h.bound {
		return ""
	}
	return "[" + strings.Join(h.regions, "\n") + "]"
}
