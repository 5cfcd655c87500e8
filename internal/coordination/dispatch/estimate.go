package dispatch

import (
	"time"

	"snipetack/internal/coordination/pace"
)

// Policy of the estimates.
const (
	shareChange  = 0.1                   // a report that differs by less from what was expected is no news for other VMs
	shareAge     = time.Second           // unless the newest report before it is older
	spreadWeight = 0.1                   // of the slots taken; among upstreams where no wait is expected all VMs of a small fleet would choose the first on the list
	yieldTime    = 30 * time.Millisecond // from when the leading batch VM knows of a request until an item has given way to it
)

// speed is what this VM knows of the pace of an upstream.
type speed struct {
	pace.Track
	unshared bool // the newest report came to this VM and is news for others
}

// estimates is what a Pool knows of a service with an upstream that has reported its pace.
type estimates struct {
	pace.Usual
	online float64 // requests from other VMs at an upstream, on average
}

// estimatesOf returns the estimates of a service, which are new if none of its upstreams has reported a pace before.
func (p *Pool) estimatesOf(service string) *estimates {
	e := p.estimates[service]
	if e == nil {
		e = &estimates{Usual: pace.Usual{Run: p.slotTimes[service]}}
		p.estimates[service] = e
	}
	return e
}

// Reported records the report of a response whose first event came a time after the request was sent. It returns false if the report is
// nonsense, which is discarded.
func (p *Pool) Reported(now time.Time, c Choice, r pace.Report, first time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[c.ID]
	if u == nil || !r.Valid() {
		return u == nil
	}
	mayHaveWaited := c.Slots > 0 && c.Load >= c.Slots-1 || r.Waiting > 0
	e := p.estimates[u.Service]
	if r.Factor > 0 {
		if e != nil && e.First > 0 && !u.speed.Plausible(now, r.Factor, first.Seconds()/e.First.Seconds(), mayHaveWaited) {
			return false
		}
		e = p.estimatesOf(u.Service)
		before, age := u.speed.Factor(now), now.Sub(u.speed.At())
		if u.speed.Report(now, r.Factor) && (age > shareAge || r.Factor > before*(1+shareChange) || r.Factor < before*(1-shareChange)) {
			u.speed.unshared = true
		}
	}
	if e != nil {
		e.ObserveFirst(first, u.speed.Factor(now), mayHaveWaited)
	}
	return true
}

// SetPaces adopts the paces that other VMs have received.
func (p *Pool) SetPaces(now time.Time, l []pace.Shared) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range l {
		u := p.byID[x.ID]
		if u != nil && u.speed.Report(now.Add(-x.Age), x.Factor) {
			u.speed.unshared = false
			p.estimatesOf(u.Service)
		}
	}
}

// TakePaces returns the paces that this VM has received since the last call and that are news for others.
func (p *Pool) TakePaces(now time.Time) []pace.Shared {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.estimates) == 0 {
		return nil
	}
	var l []pace.Shared
	for id, u := range p.byID {
		if u.speed.unshared {
			u.speed.unshared = false
			l = append(l, pace.Shared{ID: id, Factor: u.speed.Newest(), Age: now.Sub(u.speed.At())})
		}
	}
	return l
}

// Slowness returns the factor by which the first event at an upstream is expected later than is usual at its service. It is false without an
// estimate.
func (p *Pool) Slowness(now time.Time, id string) (float64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[id]
	if u == nil || !u.speed.Known() {
		return 1, false
	}
	return u.speed.Factor(now), true
}

// observeRun learns from the time for which a request had its slot.
func (p *Pool) observeRun(now time.Time, u *upstream, d time.Duration) {
	if e := p.estimates[u.Service]; e != nil && d > 0 {
		e.ObserveRun(d, u.speed.Factor(now))
	}
}

// observeLoads learns from new loads of other VMs.
func (p *Pool) observeLoads() {
	if p.d.LoadAge != nil && len(p.estimates) > 0 {
		p.loadAge = p.d.LoadAge()
	}
	for s, e := range p.estimates {
		sum := 0
		for _, u := range p.services[s] {
			sum += u.others.Online
		}
		e.online = float64(sum) / float64(max(1, len(p.services[s])))
	}
}

// expected returns the estimate for a request that is sent to an upstream now; it is zero if no upstream of the service has reported a pace.
func (p *Pool) expected(now time.Time, u *upstream) pace.Estimate {
	e := p.estimates[u.Service]
	if e == nil {
		return pace.Estimate{}
	}
	o := p.others(now, u)
	q := pace.Occupancy{Slots: u.Slots, Own: u.own, Online: o.Online, Batch: o.Batch, Age: min(loadsExpiry, now.Sub(p.loadsAt)) + p.loadAge, Yield: p.loadAge/2 + yieldTime}
	if e.Run > 0 {
		q.Rate = e.online / e.Run.Seconds()
	}
	return pace.Expect(e.Usual, u.speed.Factor(now), q)
}

// expectedScore returns the expected time to the first event in multiples of the objective, or of the usual run time where the route has none.
// Without an estimate it returns the share of the slots that are taken.
func (p *Pool) expectedScore(now time.Time, u *upstream, r Request, taken float64) float64 {
	e := p.estimates[u.Service]
	if e == nil || e.Run <= 0 {
		return taken
	}
	unit := r.Objective
	if unit <= 0 {
		unit = e.Run
	}
	return p.expected(now, u).First.Seconds()/unit.Seconds() + spreadWeight*taken
}

// waitsHere reports whether a request waits in the queue although an upstream has a free slot as far as is known: its first event would come too late
// from there, as the upstream is slow or others have the slot already, and in time after the wait that is expected here.
//
// A request that is late in any case takes what there is. To compare the two waits alone left slots unused at twice the capacity.
func (p *Pool) waitsHere(now time.Time, u *upstream, r Request) bool {
	e := p.estimates[r.Service]
	if e == nil || r.Prefer == u.ID || r.Only != "" || r.FirstBy.IsZero() {
		return false
	}
	left := r.FirstBy.Sub(now)
	return p.expected(now, u).First > left && p.forecast(now, r.Service, r.Homes, 1)+e.First < left
}
