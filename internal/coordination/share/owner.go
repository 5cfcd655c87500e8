package share

import "time"

// Policy of an Owner.
const (
	evenFraction = 0.15             // fraction of a limit that is divided evenly, for entry VMs without demand so far
	entryExpiry  = 30 * time.Second // the shares of an entry VM that does not report for this time are granted to others
	minChange    = 0.01             // smaller changes are not sent
	demandFloor  = 1e-3             // added to each demand in requests per second, so that their sum is never zero
)

// Owner divides the limits of all accounts among the entry VMs; it is not safe for concurrent use.
type Owner struct {
	entries map[string]*entryState
}

// entryState is what the owner knows of one entry VM.
type entryState struct {
	incarnation int64
	reportedAt  time.Time
	demand      map[string]float64 // requests per second, by account
	granted     map[string]float64 // by account; the greater of the share in force and the one sent last
}

// NewOwner returns an Owner without entry VMs.
func NewOwner() *Owner {
	return &Owner{entries: map[string]*entryState{}}
}

// Report records an entry VM's demand and the shares in force there, and returns the shares that change, all by account. A
// new incarnation, which is a restarted process, replaces what was known of the VM.
func (o *Owner) Report(now time.Time, vm string, incarnation int64, inForce, demand map[string]float64, accounts []string) map[string]float64 {
	o.expire(now)
	h := o.entries[vm]
	if h == nil || h.incarnation != incarnation {
		h = &entryState{incarnation: incarnation}
		o.entries[vm] = h
	}
	h.reportedAt, h.demand = now, demand
	h.granted = map[string]float64{}
	for a, s := range inForce {
		h.granted[a] = s
	}
	shares := map[string]float64{}
	for _, a := range accounts {
		s := o.nextShare(a, vm, h)
		if s != inForce[a] {
			shares[a] = s
		}
		h.granted[a] = max(h.granted[a], s)
	}
	return shares
}

// nextShare returns an entry VM's next share of an account: the part that follows its demand, but no more than the other
// entry VMs leave. For them granted counts, since a share that was sent may or may not have been adopted.
func (o *Owner) nextShare(account, vm string, h *entryState) float64 {
	sum, others := 0.0, 0.0
	for n, x := range o.entries {
		sum += x.demand[account] + demandFloor
		if n != vm {
			others += x.granted[account]
		}
	}
	target := evenFraction/float64(len(o.entries)) + (1-evenFraction)*(h.demand[account]+demandFloor)/sum
	current := h.granted[account]
	if d := target - current; d < minChange && d > -minChange {
		target = current
	}
	return max(0, min(target, 1-others))
}

// expire drops entry VMs that have not reported for entryExpiry, which frees their shares.
func (o *Owner) expire(now time.Time) {
	for n, h := range o.entries {
		if now.Sub(h.reportedAt) > entryExpiry {
			delete(o.entries, n)
		}
	}
}
