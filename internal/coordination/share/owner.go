package share

import "time"

// Policy of an Owner.
const (
	evenPart    = 0.15             // of an account's limit is divided evenly, for entries without demand so far
	expiry      = 30 * time.Second // a silent entry's share is given to others after this time
	minChange   = 0.01             // smaller changes aren't worth a new share
	demandFloor = 1e-3
)

// Owner divides the limits of all accounts; it is not safe for concurrent use.
type Owner struct {
	entries map[string]*holder
}

// holder is what the owner knows of one entry.
type holder struct {
	incarnation int64
	heard       time.Time
	demand      map[string]float64 // requests a second by account
	granted     map[string]float64 // the greater of the share in force and the one sent last
}

// NewOwner returns an Owner without entries.
func NewOwner() *Owner {
	return &Owner{entries: map[string]*holder{}}
}

// Report takes an entry's demand and the shares in force there, and returns the shares that change.
func (o *Owner) Report(now time.Time, vm string, incarnation int64, have, demand map[string]float64, accounts []string) map[string]float64 {
	o.expire(now)
	h := o.entries[vm]
	if h == nil || h.incarnation != incarnation {
		h = &holder{incarnation: incarnation}
		o.entries[vm] = h
	}
	h.heard, h.demand = now, demand
	h.granted = map[string]float64{}
	for a, s := range have {
		h.granted[a] = s
	}
	shares := map[string]float64{}
	for _, a := range accounts {
		s := o.next(a, vm, h)
		if s != have[a] {
			shares[a] = s
		}
		h.granted[a] = max(h.granted[a], s)
	}
	return shares
}

// next returns an entry's next share of an account.
func (o *Owner) next(account, vm string, h *holder) float64 {
	sum, others := 0.0, 0.0
	for n, x := range o.entries {
		sum += x.demand[account] + demandFloor
		if n != vm {
			others += x.granted[account]
		}
	}
	want := evenPart/float64(len(o.entries)) + (1-evenPart)*(h.demand[account]+demandFloor)/sum
	have := h.granted[account]
	if d := want - have; d < minChange && d > -minChange {
		want = have
	}
	return max(0, min(want, 1-others))
}

func (o *Owner) expire(now time.Time) {
	for n, h := range o.entries {
		if now.Sub(h.heard) > expiry {
			delete(o.entries, n)
		}
	}
}
