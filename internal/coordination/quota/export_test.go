package quota

import "time"

// FullOwner starts each term with full buckets.
type FullOwner struct{ *Owner }

// Lead starts a term with full buckets.
func (o FullOwner) Lead(now time.Time, term uint64) {
	o.Owner.Lead(now, term)
	for _, e := range o.buckets {
		e.accruedTo = now
		e.level = e.scheme.cap
	}
}

// NoWaitOwner grants from tracked buckets before the grants of the earlier owner have expired.
type NoWaitOwner struct{ *Owner }

// Lead starts a term as though no tracked grant were outstanding.
func (o NoWaitOwner) Lead(now time.Time, term uint64) {
	o.Owner.Lead(now, term)
	for _, e := range o.buckets {
		e.accruedTo = o.fillFrom.Add(-trackedValidity)
	}
}

// UncountedOwner does not count outstanding tracked grants.
type UncountedOwner struct{ *Owner }

// Grant drops all tracked grants before it grants.
func (o UncountedOwner) Grant(now time.Time, a TokenRequest) TokenResponse {
	for _, e := range o.buckets {
		e.grants, e.outstanding = nil, 0
	}
	return o.Owner.Grant(now, a)
}

// FullBurstOwner fills buckets up to the full burst, with no margin for granted tokens that are spent later.
type FullBurstOwner struct{ *Owner }

// Grant raises the capacity of each bucket to its burst.
func (o FullBurstOwner) Grant(now time.Time, a TokenRequest) TokenResponse {
	for _, e := range o.buckets {
		e.scheme.cap = e.limit.Burst
	}
	return o.Owner.Grant(now, a)
}

// RefillOwner fills a bucket when its limits change.
type RefillOwner struct{ *Owner }

// Configure fills each bucket whose limits changed.
func (o RefillOwner) Configure(now time.Time, limits map[Key]Limit) {
	changed := map[Key]bool{}
	for k, l := range limits {
		changed[k] = o.buckets[k] != nil && o.buckets[k].limit != l
	}
	o.Owner.Configure(now, limits)
	for k, c := range changed {
		if c {
			o.buckets[k].level = o.buckets[k].scheme.cap
		}
	}
}

// SeparateOwner has three buckets for each key and grants from them in turn, as separate limits per VM would.
type SeparateOwner struct {
	owners [3]*Owner
	next   int
}

// NewSeparateOwner returns a SeparateOwner.
func NewSeparateOwner(now time.Time) *SeparateOwner {
	o := &SeparateOwner{}
	for i := range o.owners {
		o.owners[i] = NewOwner(now)
	}
	return o
}

// Configure sets the limits in force.
func (o *SeparateOwner) Configure(now time.Time, limits map[Key]Limit) {
	for _, x := range o.owners {
		x.Configure(now, limits)
	}
}

// Lead starts a term.
func (o *SeparateOwner) Lead(now time.Time, term uint64) {
	for _, x := range o.owners {
		x.Lead(now, term)
	}
}

// Grant grants from the next owner's buckets.
func (o *SeparateOwner) Grant(now time.Time, a TokenRequest) TokenResponse {
	o.next++
	return o.owners[o.next%len(o.owners)].Grant(now, a)
}
