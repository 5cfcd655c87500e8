package throttle

import (
	"time"
)

// Policy of a Ledger. Over any time t an upstream gets at most rate*t + depth requests.
const (
	depth         = 5.0                    // requests that may be admitted at once: bursts are served from what calmer seconds left
	itemLevel     = depth - 1              // from which on items get what online requests leave
	batchFraction = 0.25                   // of a limit, which batch items get beside online requests; beyond it they get what these leave
	minRate       = 0.2                    // requests per second: a lower limit, too, gets a request now and then, to learn when it has ended
	maxWait       = 5 * time.Second        // until a request is tried again: the limit may have ended meanwhile
	endMemory     = 30 * time.Second       // for which the end of a limit is told to other VMs
	ledgerMemory  = time.Minute            // after which an upstream that nobody names is dropped
	rounding      = time.Millisecond       // added to a wait, so that a request that returns exactly then finds a whole token
	reservation   = 500 * time.Millisecond // for which a token is kept after the time at which a batch item was told to come back
	refusedWait   = 20 * time.Millisecond  // wait of a batch item at least, so that it goes to another upstream first

	// A cold upstream gets at most 1.5*rate + 5 requests in any second from all VMs. The ledger's part is rate + coldDepth, and as much again for the
	// few milliseconds by which requests arrive closer together than they were admitted; the rest is for VMs that can't reach the ledger.
	coldDepth    = 3.0
	coldMaxWait  = 15 * time.Second       // that a refused request is told: as long as hundreds of VMs take in turn, so that few come in vain
	coldItemWait = 250 * time.Millisecond // wait of a batch item at least: it gets what online requests leave, and there may be many cold upstreams
)

// Ledger admits requests to limited upstreams for the whole fleet; it is not safe for concurrent use.
type Ledger struct {
	upstreams map[string]*account
}

// account is the limit and the token buckets of one upstream.
type account struct {
	rate       float64
	namedAt    time.Time // when the response that named it arrived
	level      float64   // requests that may be admitted, as of refilledAt
	cold       float64   // requests per second that the upstream takes while it is cold; 0 when it is warm
	promised   time.Time // when the last request that was refused there is to come back
	batchLevel float64   // batch items that may be admitted beside online requests
	refilledAt time.Time

	reservedUntil time.Time // a token is kept for a batch item that was told to come back
}

// NewLedger returns a Ledger without limits. Its buckets start empty, since a previous one may just have spent them.
func NewLedger() *Ledger { return &Ledger{upstreams: map[string]*account{}} }

// Observe records limits that a VM has seen; a newer one of the same upstream stays.
func (l *Ledger) Observe(now time.Time, limits []Limit) {
	for _, x := range limits {
		at := now.Add(-x.Age)
		a := l.upstreams[x.Upstream]
		if a == nil {
			a = &account{refilledAt: now}
			l.upstreams[x.Upstream] = a
		}
		if at.After(a.namedAt) {
			a.refill(now)
			a.rate, a.namedAt = x.Rate, at
		}
	}
}

// SetCold records the rate that an upstream takes as it is cold, or 0 when it is warm.
func (l *Ledger) SetCold(now time.Time, upstream string, rate float64) {
	a := l.upstreams[upstream]
	if a == nil {
		if rate <= 0 {
			return
		}
		a = &account{refilledAt: now}
		l.upstreams[upstream] = a
	}
	if rate != a.cold {
		a.refill(now)
		a.cold = rate
	}
}

// Take admits a request to an upstream, or returns how long to wait until one may be admitted.
func (l *Ledger) Take(now time.Time, upstream string, batch bool) (ok bool, wait time.Duration) {
	a := l.upstreams[upstream]
	if a == nil || a.rate <= 0 && a.cold <= 0 {
		return true, 0
	}
	a.refill(now)
	if a.cold > 0 {
		return a.takeCold(now, batch)
	}
	if batch && a.batchLevel < 1 && a.level < itemLevel {
		return false, max(refusedWait, min(a.until(1-a.batchLevel, batchFraction), a.until(itemLevel-a.level, 1)))
	}
	needed := 1.0
	if !batch && a.batchLevel >= 1 && now.Before(a.reservedUntil) {
		needed = 2 // one token is the item's
	}
	if a.level < needed {
		wait = a.until(needed-a.level, 1)
		if batch {
			a.reservedUntil = now.Add(wait + reservation)
		}
		return false, wait
	}
	a.level--
	if batch {
		a.batchLevel, a.reservedUntil = max(0, a.batchLevel-1), time.Time{}
	}
	return true, 0
}

// takeCold decides on a request to a cold upstream. Batch items get only what online requests leave. Those that are refused are told to come back one
// after the other: hundreds of VMs may ask for each of dozens of cold upstreams.
func (a *account) takeCold(now time.Time, batch bool) (ok bool, wait time.Duration) {
	if batch && a.level < coldDepth-1 {
		return false, max(coldItemWait, a.until(coldDepth-1-a.level, 1))
	}
	if a.level < 1 {
		next := now.Add(a.until(1-a.level, 1))
		if t := a.promised.Add(a.until(1, 1)); t.After(next) {
			next = t
		}
		a.promised = next
		if latest := now.Add(coldMaxWait); next.After(latest) {
			a.promised = latest
		}
		return false, a.promised.Sub(now)
	}
	if a.level--; a.level >= 1 {
		a.promised = now
	}
	return true, 0
}

// Limits returns the limits in force, and those that ended lately with rate 0.
func (l *Ledger) Limits(now time.Time) []Limit {
	var out []Limit
	for u, a := range l.upstreams {
		age := now.Sub(a.namedAt)
		if age > ledgerMemory && (a.cold <= 0 || now.Sub(a.refilledAt) > ledgerMemory) {
			delete(l.upstreams, u)
			continue
		}
		if age > ledgerMemory {
			continue
		}
		if a.rate > 0 || age < endMemory {
			out = append(out, Limit{Upstream: u, Rate: a.rate, Age: age})
		}
	}
	return out
}

func (a *account) refill(now time.Time) {
	d := max(0, now.Sub(a.refilledAt).Seconds())
	most := depth
	if a.cold > 0 {
		most = coldDepth
	}
	a.level = min(most, a.level+d*a.effective())
	a.batchLevel = min(1, a.batchLevel+d*batchFraction*a.effective())
	a.refilledAt = now
}

// effective returns the rate that binds: the lower one of the limit and the cold rate.
func (a *account) effective() float64 {
	if a.cold > 0 && (a.rate <= 0 || a.cold < a.rate) {
		return max(minRate, a.cold)
	}
	return max(minRate, a.rate)
}

// until returns the time in which a fraction of the rate yields so many tokens.
func (a *account) until(tokens, fraction float64) time.Duration {
	return min(maxWait, time.Duration(tokens/(fraction*a.effective())*float64(time.Second))+rounding)
}
