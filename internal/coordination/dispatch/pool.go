package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/coordination/fairness"
	"snipetack/internal/coordination/pace"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/spillover"
	"snipetack/internal/state/plan"
)

// Policy of a Pool.
const (
	loadsExpiry     = time.Second            // age from which the reported loads of other VMs are ignored
	minAvoidance    = 500 * time.Millisecond // how long an upstream is avoided after a first failure; doubles with each further one
	maxAvoidance    = 4 * time.Second
	fullPenalty     = 1.0                     // when a batch item has to be preempted first; scores are fractions of an upstream's slots
	zonePenalty     = 0.13                    // for another data centre; outweighs about one request at an upstream of eight slots
	connectBonus    = 0.25                    // where an idle connection is open: a new one costs a round trip during which the slot is occupied
	affinityBonus   = 0.13                    // at most; the session's prompt may be cached where it was served before
	coldPenalty     = 0.3                     // while the upstream warms up
	slotRateTime    = 1500 * time.Millisecond // time constant of the measured rate of slots
	minSlotRate     = 0.2                     // slots per second assumed at limited upstreams where none was assigned lately
	slotTimeWeight  = 0.05                    // of one slot in the average time for which slots are taken
	maxWake         = time.Second             // between looks for free slots while requests are queued
	minLimitWait    = 5 * time.Millisecond    // between requests for admission to a limited upstream
	limitedPenalty  = 0.3                     // while the upstream names a limit: it is in need
	waitersMax      = 2048                    // queued requests of one service
	faultPenalty    = 1.5                     // of one error response; above fullPenalty, so that a full upstream is preferred to a failing one
	faultHalfLife   = 2 * time.Second         // time in which the fault penalty decays by half
	faultPenaltyMax = 12.0
	sampleSize      = 4  // random upstreams compared per cost class in a large fleet; entry VMs would all choose the same one otherwise
	smallFleet      = 16 // up to this many upstreams, all are compared
)

// Request holds what the choice of an upstream depends on.
type Request struct {
	Service   string
	Session   string   // requests of a session share most of their prompt; may be ""
	Exclude   []string // ids of upstreams that failed this request
	Prefer    string   // id of the upstream that holds the request's state, or ""; such a request skips the queue while a slot is free
	Only      string   // id of the only acceptable upstream, or ""
	Pinned    bool     // only upstreams of Version are acceptable
	Version   string
	Homes     plan.Homes    // only upstreams in these regions are acceptable
	Priority  int           // 0 is the most urgent
	Latest    time.Time     // after which a start is of no use to the caller; the earliest goes first within a priority, then in order of arrival
	Objective time.Duration // time to the first event that callers expect, or 0
	FirstBy   time.Time     // when that is over, or zero
	MaxWait   time.Duration // the request is not queued when it is expected to wait for longer
	Ticket    uint64        // of the Choice that the request had to give back, which keeps its place in the queue; 0 for a new request
	Account   string        // client account whose share it uses; may be ""
	Size      time.Duration // for which it is expected to take a slot; 0 is unknown

	overdraft int     // slots that it may take beyond those of an upstream
	headroom  float64 // part of the upstreams at which it leaves a slot free
	inZone    bool    // only upstreams in zone are acceptable
	zone      string
}

// Choice is an upstream with a slot taken for the request; Pool.End releases the slot.
type Choice struct {
	ID       string
	Address  string
	Version  string // of its software
	Doubtful bool   // the upstream may have started again with another version
	Load     int    // requests and batch items in flight there from all VMs, including this request
	Slots    int
	Limited  bool    // the upstream names a limit: it gets no other request from here until Admitted or Limited
	Ticket   uint64  // place in the queue
	Left     string  // why the request leaves its data centre; "" when it stays, or without spillover
	Standing float64 // what the account had got in relation to its share; 0 without fairness

	service, account string        // to which the slot is charged; "" without fairness
	charged          time.Duration // so far
	takenAt          time.Time     // when the slot was assigned

	Expected pace.Estimate // as of the choice; zero unless an upstream of the service has reported its pace
}

// Load counts what is in flight at an upstream from VMs other than this one.
type Load struct {
	Online int // requests
	Batch  int // batch items
}

// upstream is the state that this VM keeps of one upstream.
type upstream struct {
	roster.Upstream
	own          int // requests in flight from this VM
	others       Load
	failures     int       // consecutive, since the last response
	avoidUntil   time.Time // no request is sent before this time, after a failure
	respondedAt  time.Time // when response bytes last came from it
	fault        float64   // penalty for error responses as of faultAt
	faultAt      time.Time
	limit        float64   // requests per second that the upstream takes from all VMs; 0 is no limit
	limitedUntil time.Time // no request is admitted before this time
	asking       bool      // whether a request has a slot that the limit has not admitted yet
	speed        speed
}

// waiter is a request queued for a slot.
type waiter struct {
	Request
	seq      uint64
	tag      float64     // start tag among the requests of all accounts; 0 without fairness
	assigned chan Choice // buffered, so that an assignment never blocks
}

// Pool assigns the slots of all upstreams and queues requests that find none; it is safe for concurrent use.
type Pool struct {
	d Deps

	mu        sync.Mutex
	byID      map[string]*upstream
	services  map[string][]*upstream
	loadsAt   time.Time
	limits    map[string]float64       // by upstream id
	slotRates map[string]slotRate      // by service
	slotTimes map[string]time.Duration // average time for which requests take a slot, by service
	waiters   map[string][]*waiter     // by service, in the order of before
	wakes     map[string]time.Time     // when serveWaiters is called next, by service
	lastSeq   uint64
	urgencies map[string]urgency    // by service; empty without fairness
	estimates map[string]*estimates // by service; of those with an upstream that has reported a pace
	loadAge   time.Duration         // how old the loads of other VMs were when they arrived
}

// Deps are the collaborators of a Pool.
type Deps struct {
	Zone         string                    // data centre of this VM
	Regions      map[string]string         // region of each data centre; may be nil, then nothing that is bound to homes is served
	Connected    func(address string) bool // reports whether an idle connection is open
	Doubtful     func(id string) bool      // reports whether an upstream may have started again with another version; may be nil
	OnPreemption func(Choice)              // called when a request takes a slot that a batch item has to release; must not block
	Fairness     *fairness.Shares          // orders the requests of one priority by what their accounts have got; nil orders them by latest start alone
	Spillover    *spillover.Controller     // decides which requests leave the data centre; nil adds zonePenalty to upstreams of others
	OnPlaced     func(other bool)          // called with each slot that spillover decided on, with whether it is in another data centre; must not block; may be nil
	OnShed       func(reason string)       // called when the fair queue refuses or closes a request; must not block; may be nil
	LoadAge      func() time.Duration      // how old the loads of other VMs are when they arrive here; may be nil
}

// New returns an empty Pool.
func New(d Deps) *Pool {
	if d.Doubtful == nil {
		d.Doubtful = func(string) bool { return false }
	}
	return &Pool{
		d:         d,
		byID:      map[string]*upstream{},
		services:  map[string][]*upstream{},
		waiters:   map[string][]*waiter{},
		slotRates: map[string]slotRate{},
		slotTimes: map[string]time.Duration{},
		wakes:     map[string]time.Time{},
		urgencies: map[string]urgency{},
		estimates: map[string]*estimates{},
	}
}

// SetUpstreams replaces the list of upstreams; an upstream that keeps its id and address keeps its state.
func (p *Pool) SetUpstreams(now time.Time, l []roster.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]*upstream{}
	p.services = map[string][]*upstream{}
	for _, u := range l {
		x := p.byID[u.ID]
		if x == nil || x.Address != u.Address || x.Version != u.Version && x.Version != "" && u.Version != "" { // an older leader names no versions
			x = &upstream{}
		}
		x.Upstream = u
		x.limit = p.limits[u.ID]
		m[u.ID] = x
		p.services[u.Service] = append(p.services[u.Service], x)
	}
	p.byID = m
	p.dropUnservable()
	p.serveAll(now)
}

// dropUnservable closes the channels of the queued requests that no upstream can take any more.
func (p *Pool) dropUnservable() {
	for s, l := range p.waiters {
		p.waiters[s] = slices.DeleteFunc(l, func(w *waiter) bool {
			lost := !p.servable(w.Request, "") || p.evacuated(w.Only)
			if lost {
				close(w.assigned)
			}
			return lost
		})
	}
}

// SetLoads replaces the loads from other VMs, by upstream id; they expire after loadsExpiry.
func (p *Pool) SetLoads(now time.Time, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadsAt = now
	for id, u := range p.byID {
		u.others = loads[id]
	}
	p.observeLoads()
	p.serveAll(now)
}

// SetLimits replaces the limits of upstreams in requests per second, by id.
func (p *Pool) SetLimits(now time.Time, limits map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = limits
	for id, u := range p.byID {
		u.limit = limits[id]
		if u.limit <= 0 {
			u.asking, u.limitedUntil = false, time.Time{}
		}
	}
	p.serveAll(now)
}

// Admitted records that the upstream's limit admits the request of a choice.
func (p *Pool) Admitted(now time.Time, c Choice) {
	if !c.Limited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byID[c.ID]; u != nil {
		u.asking = false
		p.serveWaiters(now, u.Service)
	}
}

// Limited releases the slot of a choice whose upstream's limit admits no request for wait; until then no request is assigned
// to it.
func (p *Pool) Limited(now time.Time, c Choice, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[c.ID]
	if u == nil {
		return
	}
	wait = max(wait, minLimitWait)
	u.asking, u.limitedUntil = false, now.Add(wait)
	p.slotRates[u.Service] = p.slotRates[u.Service].uncount()
	p.settle(now, c, false)
	p.end(now, c.ID)
	p.scheduleWake(now, u.Service)
}

// Forecast returns how long a further request of a service is expected to wait behind those that are queued here.
func (p *Pool) Forecast(now time.Time, service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forecast(now, service, plan.Homes{}, len(p.waiters[service]))
}

// forecast returns the wait of a request that so many others are ahead of. Slots become free for this VM at the rate at which it got some in
// the last seconds, or at which those that it has taken will end, whichever is higher: a request that is refused for a wrong forecast is lost,
// one that is queued for a wrong one only waits.
func (p *Pool) forecast(now time.Time, service string, h plan.Homes, ahead int) time.Duration {
	unlimited, usable, own := false, false, 0
	first := time.Duration(math.MaxInt64) // until an upstream may take a request again
	for _, u := range p.services[service] {
		if u.Draining || !p.home(u, h) {
			continue
		}
		usable = true
		own += u.own
		unlimited = unlimited || u.limit <= 0
		first = min(first, max(0, u.avoidUntil.Sub(now), u.limitedUntil.Sub(now)))
	}
	if !usable {
		return 0
	}
	rate := p.slotRates[service].at(now) * p.homeShare(service, h)
	switch t := p.slotTimes[service]; {
	case !unlimited:
		rate = max(rate, minSlotRate)
	case t <= 0:
		return first // nothing is known of the time for which slots are taken
	default:
		rate = max(rate, float64(max(1, own))/t.Seconds())
	}
	return first + time.Duration(float64(ahead)/rate*float64(time.Second))
}

// slotRate measures how many slots per second are assigned, with a time constant of slotRateTime.
type slotRate struct {
	rate      float64 // as of decayedAt
	decayedAt time.Time
}

// at returns the rate at a time.
func (r slotRate) at(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.decayedAt).Seconds()/slotRateTime.Seconds())
}

// count adds a slot.
func (r slotRate) count(now time.Time) slotRate {
	return slotRate{rate: r.at(now) + 1/slotRateTime.Seconds(), decayedAt: now}
}

// uncount takes back a slot that was not used.
func (r slotRate) uncount() slotRate {
	r.rate = max(0, r.rate-1/slotRateTime.Seconds())
	return r
}

// InFlight returns the requests in flight from this VM, by upstream id.
func (p *Pool) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]int{}
	for id, u := range p.byID {
		if u.own > 0 {
			m[id] = u.own
		}
	}
	return m
}

// Waiting returns how many requests are queued for a slot.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.waiters {
		n += len(l)
	}
	return n
}

// HasUpstream reports whether a service has an upstream that is not draining.
func (p *Pool) HasUpstream(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasUpstream(service)
}

func (p *Pool) hasUpstream(service string) bool {
	return slices.ContainsFunc(p.services[service], func(u *upstream) bool { return !u.Draining })
}

// evacuated reports whether the only acceptable upstream of a request, if there is just one, is in an evacuated data centre.
func (p *Pool) evacuated(only string) bool {
	u := p.byID[only]
	return u != nil && u.Evacuated
}

// HasRoom reports whether an upstream that is acceptable to a request, other than one, has a slot that neither a request nor a batch item
// occupies.
func (p *Pool) HasRoom(now time.Time, r Request, other string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.services[r.Service], func(u *upstream) bool {
		o := p.others(now, u)
		return u.ID != other && p.eligible(now, u, r) && (u.Slots <= 0 || u.own+o.Online+o.Batch < u.Slots)
	})
}

// Take takes a slot at the best upstream, or queues the request and returns false with a channel that yields the slot.
// The channel is nil when the request can't be served: the service has no upstream, or none of the version that the request is pinned to, the
// queue is full, or the request is expected to wait for longer than MaxWait. It is closed when that becomes so by a change of the
// upstreams, or when a more urgent request needs the place in a full queue.
func (p *Pool) Take(now time.Time, r Request) (Choice, <-chan Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.servable(r, "") || p.evacuated(r.Only) {
		return Choice{}, nil, false
	}
	p.noteUrgency(now, r)
	if !p.hasWaiterBefore(r) || r.Prefer != "" {
		if u := p.pickFairly(now, r); u != nil {
			return p.assign(now, u, r, r.Ticket), nil, true
		}
	}
	seq := r.Ticket
	if seq == 0 {
		p.lastSeq++
		seq = p.lastSeq
	}
	w := &waiter{Request: r, seq: seq, assigned: make(chan Choice, 1)}
	if p.d.Fairness != nil {
		return Choice{}, p.enqueueFairly(now, w), false
	}
	l := p.waiters[r.Service]
	i, _ := slices.BinarySearchFunc(l, w, before)
	if i >= waitersMax || p.forecast(now, r.Service, r.Homes, i) > r.MaxWait {
		return Choice{}, nil, false
	}
	if len(l) >= waitersMax {
		close(l[len(l)-1].assigned)
		l = l[:len(l)-1]
	}
	p.waiters[r.Service] = slices.Insert(l, i, w)
	p.scheduleWake(now, r.Service)
	return Choice{}, w.assigned, false
}

// scheduleWake lets serveWaiters run when time alone may give a queued request a slot: an upstream is not avoided any more, its limit admits
// a request, or the loads of other VMs expire.
func (p *Pool) scheduleWake(now time.Time, service string) {
	if len(p.waiters[service]) == 0 {
		return
	}
	next := now.Add(maxWake)
	for _, u := range p.services[service] {
		for _, t := range []time.Time{u.avoidUntil, u.limitedUntil} {
			if t.After(now) && t.Before(next) {
				next = t
			}
		}
	}
	if t := p.loadsAt.Add(loadsExpiry + 1); t.After(now) && t.Before(next) {
		next = t
	}
	if t := p.wakes[service]; t.After(now) && !next.Before(t) {
		return
	}
	p.wakes[service] = next
	time.AfterFunc(next.Sub(now), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.serveWaiters(time.Now(), service)
		p.scheduleWake(time.Now(), service)
	})
}

// hasWaiterBefore reports whether a queued request may take each upstream that is acceptable to r: one that takes any, or any of the version that
// both are pinned to, in homes that include those of r.
func (p *Pool) hasWaiterBefore(r Request) bool {
	return slices.ContainsFunc(p.waiters[r.Service], func(w *waiter) bool {
		return w.takesAnyOfVersion() && w.Homes.Covers(r.Homes) && (!w.Pinned && !r.Pinned || w.Pinned && r.Pinned && w.Version == r.Version)
	})
}

// Leave removes a request from the queue by the channel that Take returned; a slot assigned meanwhile is released.
func (p *Pool) Leave(now time.Time, service string, assigned <-chan Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[service] = slices.DeleteFunc(p.waiters[service], func(w *waiter) bool { return w.assigned == assigned })
	select {
	case c, ok := <-assigned:
		if !ok {
			return
		}
		if u := p.byID[c.ID]; u != nil && c.Limited {
			u.asking = false
		}
		p.settle(now, c, false)
		p.end(now, c.ID)
	default:
	}
}

// End releases the slot of a choice.
func (p *Pool) End(now time.Time, c Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle(now, c, true)
	if u := p.byID[c.ID]; u != nil {
		t, ok := p.slotTimes[u.Service]
		d := now.Sub(c.takenAt)
		if !ok {
			t = d
		}
		p.slotTimes[u.Service] = t + time.Duration(slotTimeWeight*float64(d-t))
		p.observeRun(now, u, d)
	}
	p.end(now, c.ID)
}

// Responded records that response bytes came from an upstream, which ends its run of failures.
func (p *Pool) Responded(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byID[id]; u != nil {
		u.respondedAt = now
		u.failures = 0
	}
}

// RespondedSince reports whether response bytes came from an upstream since a time.
func (p *Pool) RespondedSince(id string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[id]
	return u != nil && u.respondedAt.After(t)
}

// RecordUnreachable records that an upstream could not be reached or sent no bytes in time; it is avoided with exponential backoff.
func (p *Pool) RecordUnreachable(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[id]
	if u == nil || now.Before(u.avoidUntil) {
		return
	}
	u.avoidUntil = now.Add(min(maxAvoidance, minAvoidance<<min(u.failures, 8)))
	u.failures++
	p.scheduleWake(now, u.Service)
}

// RecordErrorResponse records that an upstream sent an error response; a penalty lowers its rank for a while.
//
// Without the penalty an upstream that fails fast would attract most requests, as it has the fewest in flight.
func (p *Pool) RecordErrorResponse(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byID[id]; u != nil {
		u.fault = min(faultPenaltyMax, u.penalty(now)+faultPenalty)
		u.faultAt = now
	}
}

// penalty returns the decayed penalty for error responses.
func (u *upstream) penalty(now time.Time) float64 {
	if u.fault == 0 {
		return 0
	}
	return u.fault * math.Exp2(-now.Sub(u.faultAt).Seconds()/faultHalfLife.Seconds())
}

// AddressReassigned records that another upstream has an upstream's address now; it is avoided for maxAvoidance.
func (p *Pool) AddressReassigned(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byID[id]; u != nil {
		u.avoidUntil = now.Add(maxAvoidance)
		u.failures++
		p.scheduleWake(now, u.Service)
	}
}

func (p *Pool) end(now time.Time, id string) {
	u := p.byID[id]
	if u == nil {
		return
	}
	u.own = max(0, u.own-1)
	p.serveWaiters(now, u.Service)
}

// assign takes a slot at an upstream for a request; ticket is its place in the queue, or 0.
func (p *Pool) assign(now time.Time, u *upstream, r Request, ticket uint64) Choice {
	expected := p.expected(now, u)
	u.own++
	u.asking = u.limit > 0
	p.slotRates[u.Service] = p.slotRates[u.Service].count(now)
	if ticket == 0 {
		p.lastSeq++
		ticket = p.lastSeq
	}
	c := Choice{takenAt: now, Limited: u.asking, Ticket: ticket, ID: u.ID, Address: u.Address, Version: u.Version, Doubtful: p.doubtful(u), Expected: expected, Load: u.own + p.others(now, u).Online + p.others(now, u).Batch, Slots: u.Slots}
	if c.Slots > 0 && c.Load > c.Slots && p.others(now, u).Batch > 0 {
		p.d.OnPreemption(c)
	}
	p.charge(now, r, &c)
	p.notePlaced(now, u, r, &c)
	return c
}

// others returns the load of an upstream from other VMs, or zero when the reports have expired.
func (p *Pool) others(now time.Time, u *upstream) Load {
	if now.Sub(p.loadsAt) > loadsExpiry {
		return Load{}
	}
	return u.others
}

func (p *Pool) serveAll(now time.Time) {
	for s := range p.waiters {
		p.serveWaiters(now, s)
	}
}

// serveWaiters assigns free slots of a service to its queued requests, the most urgent first. One that only some upstreams may take, all of them
// full, does not hold up the others.
func (p *Pool) serveWaiters(now time.Time, service string) {
	l := p.arrange(now, service, p.waiters[service])
	var kept []*waiter
	full := map[string]bool{} // restrictions of requests without a free slot
	for len(l) > 0 {
		w := l[0]
		var u *upstream
		restricted := w.restriction()
		if restricted == "" || !full[restricted] {
			u = p.pickFairly(now, w.Request)
		}
		switch {
		case u != nil:
			w.assigned <- p.assign(now, u, w.Request, w.seq)
		case w.takesAny():
			p.waiters[service] = append(kept, l...)
			return
		default:
			full[restricted] = full[restricted] || w.takesAnyOfVersion()
			kept = append(kept, w)
		}
		l = l[1:]
	}
	p.waiters[service] = kept
}

// takesAny reports whether each upstream of the service may take the request.
func (r *Request) takesAny() bool { return !r.Pinned && !r.Homes.Bound() && r.takesAnyOfVersion() }

// takesAnyOfVersion reports whether each upstream in the request's homes, or of those the ones of the version that it is pinned to, may take it.
func (r *Request) takesAnyOfVersion() bool { return len(r.Exclude) == 0 && r.Only == "" }

// pick returns the eligible upstream with the lowest score, or nil; in a large fleet it compares a random sample.
func (p *Pool) pick(now time.Time, r Request) *upstream {
	l := p.services[r.Service]
	limit := len(l)
	if limit > smallFleet && r.Prefer == "" {
		l = shuffled(l)
		limit = sampleSize
	}
	var best *upstream
	score := 0.0
	seen := map[costClass]int{}
	for _, u := range l {
		k := p.costClass(u)
		if seen[k] >= limit || !p.eligible(now, u, r) {
			continue
		}
		seen[k]++
		if s := p.score(now, u, r); best == nil || s < score {
			best, score = u, s
		}
	}
	if best != nil && p.waitsHere(now, best, r) {
		return nil
	}
	return best
}

// costClass groups upstreams that cost the same to reach; each class is sampled, so that the cheapest are always compared.
type costClass struct {
	sameZone  bool // in this VM's data centre
	connected bool // an idle connection is open
}

func (p *Pool) costClass(u *upstream) costClass {
	return costClass{sameZone: u.Zone == p.d.Zone, connected: p.d.Connected(u.Address)}
}

func shuffled(l []*upstream) []*upstream {
	s := make([]*upstream, len(l))
	for i, j := range rand.Perm(len(l)) {
		s[i] = l[j]
	}
	return s
}

// eligible reports whether an upstream may take a request now and has a free slot; without Slots it has no limit.
func (p *Pool) eligible(now time.Time, u *upstream, r Request) bool {
	if r.inZone && u.Zone != r.zone {
		return false
	}
	if u.Draining || now.Before(u.avoidUntil) || now.Before(u.limitedUntil) || u.asking {
		return false
	}
	if r.Pinned && (u.Version != r.Version || p.doubtful(u)) || !p.home(u, r.Homes) {
		return false
	}
	if slices.Contains(r.Exclude, u.ID) || r.Only != "" && r.Only != u.ID {
		return false
	}
	if u.failures > 0 && u.own > 0 {
		return false // a single request probes an upstream that has failed
	}
	return u.Slots <= 0 || u.own+p.others(now, u).Online < r.slotsFor(u)
}

// doubtful reports whether the version of an upstream is not known now. Without versions all upstreams of a service are alike.
func (p *Pool) doubtful(u *upstream) bool { return u.Version != "" && p.d.Doubtful(u.ID) }

// score ranks eligible upstreams, the lowest first; its unit is a fraction of an upstream's slots.
func (p *Pool) score(now time.Time, u *upstream, r Request) float64 {
	if u.ID == r.Prefer {
		return -1
	}
	o := p.others(now, u)
	n := float64(max(1, u.Slots))
	taken := float64(u.own+o.Online+o.Batch) / n
	s := p.expectedScore(now, u, r, taken)
	if taken >= 1 {
		s += fullPenalty
	}
	k := p.costClass(u)
	if !k.sameZone {
		s += zonePenalty
	}
	if k.connected {
		s -= connectBonus
	}
	if u.Cold > 0 {
		s += coldPenalty
	}
	if u.limit > 0 {
		s += limitedPenalty
	}
	s += u.penalty(now)
	if r.Session != "" {
		s -= affinityBonus * affinity(r.Session, u.ID)
	}
	return s
}

// affinity hashes a session and an upstream to a number from 0 to 1, the same on all VMs (rendezvous hashing).
func affinity(session, id string) float64 {
	return float64(xxhash.Sum64String(session+"\x00"+id)>>11) / (1 << 53)
}

// before orders queued requests by priority, then by the latest start that is of use to their callers, then by arrival.
func before(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Latest.Compare(b.Latest), cmp.Compare(a.seq, b.seq))
}
