package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/coordination/roster"
)

// Policy of a Pool.
const (
	loadsExpiry   = time.Second            // reports of other VMs' requests count no longer
	ejectLeast    = 500 * time.Millisecond // after a first failure
	ejectMost     = 4 * time.Second
	fullPenalty   = 1.0  // where a batch item must give way first, in shares of an upstream's slots
	zonePenalty   = 0.13 // for another data centre: about one request of eight
	connectBonus  = 0.25 // where a connection is open: a new one costs a round trip and holds a place
	affinityBonus = 0.13 // where the session's prompt was read before
	coldPenalty   = 0.3
	waitersMax    = 2048
	failedPenalty = 1.5             // of one failed answer; more than a full upstream costs
	failedHalf    = 2 * time.Second // the penalty halves in this time
	failedMost    = 12.0
	samples       = 4  // upstreams that are compared in a large fleet, of each kind, so that entries do not all choose the same one
	smallFleet    = 16 // upstreams that are all compared
)

// Request is what a choice depends on.
type Request struct {
	Service   string
	Session   string   // requests of a session share most of a prompt
	Exclude   []string // ids that failed this request
	Prefer    string   // id that has the request's state, or ""
	Only      string   // no other id will do, or ""
	Priority  int      // 0 is the most urgent
	Returning bool     // was refused before and has come back
}

// Choice is an upstream with a place taken for the request; it is given back by End.
type Choice struct {
	ID      string
	Address string
	Load    int // requests in flight there, with this one
	Slots   int
}

// Load is what is in flight at an upstream from VMs other than this one.
type Load struct {
	Online int
	Batch  int
}

// upstream is one replica as this VM sees it.
type upstream struct {
	roster.Upstream
	mine     int // requests in flight from here
	others   Load
	failures int
	until    time.Time // no request before, after a failure
	heard    time.Time // when a byte came from it last
	fault    float64   // penalty for failed answers, at faultAt
	faultAt  time.Time
}

// waiter is a request that waits for room.
type waiter struct {
	Request
	number uint64
	done   chan Choice // has room for one
}

// Pool knows the upstreams and the requests that wait for them; it is safe for concurrent use.
type Pool struct {
	d Deps

	mu       sync.Mutex
	byID     map[string]*upstream
	services map[string][]*upstream
	loadsAt  time.Time
	waiters  map[string][]*waiter // by service, in order
	next     uint64
}

// Deps are the collaborators of a Pool.
type Deps struct {
	Zone      string                    // data centre of this VM
	Connected func(address string) bool // a connection is open and idle
	Pressed   func(Choice)              // a place was taken where a batch item has to give way
}

// New returns an empty Pool.
func New(d Deps) *Pool {
	return &Pool{
		d:        d,
		byID:     map[string]*upstream{},
		services: map[string][]*upstream{},
		waiters:  map[string][]*waiter{},
	}
}

// SetUpstreams takes a new list.
func (p *Pool) SetUpstreams(now time.Time, l []roster.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]*upstream{}
	p.services = map[string][]*upstream{}
	for _, u := range l {
		x := p.byID[u.ID]
		if x == nil || x.Address != u.Address {
			x = &upstream{}
		}
		x.Upstream = u
		m[u.ID] = x
		p.services[u.Service] = append(p.services[u.Service], x)
	}
	p.byID = m
	p.serve(now)
}

// SetLoads takes what is in flight from other VMs.
func (p *Pool) SetLoads(now time.Time, loads map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadsAt = now
	for id, u := range p.byID {
		u.others = loads[id]
	}
	p.serve(now)
}

// InFlight returns the requests in flight from here, by upstream.
func (p *Pool) InFlight() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := map[string]int{}
	for id, u := range p.byID {
		if u.mine > 0 {
			m[id] = u.mine
		}
	}
	return m
}

// Waiting returns how many requests wait for a place.
func (p *Pool) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, l := range p.waiters {
		n += len(l)
	}
	return n
}

// Known reports whether a service has an upstream that may take requests.
func (p *Pool) Known(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.services[service], func(u *upstream) bool { return !u.Draining })
}

// Take takes a place at the best upstream, or queues the request; the channel then yields the place.
func (p *Pool) Take(now time.Time, r Request) (Choice, <-chan Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters[r.Service]) == 0 || r.Prefer != "" {
		if u := p.pick(now, r); u != nil {
			return p.place(now, u), nil, true
		}
	}
	l := p.waiters[r.Service]
	if len(l) >= waitersMax {
		return Choice{}, nil, false
	}
	p.next++
	w := &waiter{Request: r, number: p.next, done: make(chan Choice, 1)}
	i, _ := slices.BinarySearchFunc(l, w, before)
	p.waiters[r.Service] = slices.Insert(l, i, w)
	return Choice{}, w.done, false
}

// Leave gives up waiting; a place that was given meanwhile is given back.
func (p *Pool) Leave(now time.Time, service string, done <-chan Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[service] = slices.DeleteFunc(p.waiters[service], func(w *waiter) bool { return w.done == done })
	select {
	case c := <-done:
		p.end(now, c.ID)
	default:
	}
}

// End gives a place back.
func (p *Pool) End(now time.Time, c Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(now, c.ID)
}

// Heard notes that an upstream has answered.
func (p *Pool) Heard(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byID[id]; u != nil {
		u.heard = now
		u.failures = 0
	}
}

// HeardSince reports whether an upstream has sent anything since a time.
func (p *Pool) HeardSince(id string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[id]
	return u != nil && u.heard.After(t)
}

// Failed notes that an upstream could not be reached or fell silent; it is left alone for a while.
func (p *Pool) Failed(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[id]
	if u == nil || now.Before(u.until) {
		return
	}
	u.until = now.Add(min(ejectMost, ejectLeast<<min(u.failures, 8)))
	u.failures++
}

// Faulty notes that an upstream has answered a request with a failure of its own.
//
// One that fails fast has the fewest requests in flight and would draw all others.
func (p *Pool) Faulty(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byID[id]; u != nil {
		u.fault = min(failedMost, u.penalty(now)+failedPenalty)
		u.faultAt = now
	}
}

// penalty returns what is left of the penalty for failed answers.
func (u *upstream) penalty(now time.Time) float64 {
	if u.fault == 0 {
		return 0
	}
	return u.fault * math.Exp2(-now.Sub(u.faultAt).Seconds()/failedHalf.Seconds())
}

// Gone notes that an upstream's address belongs to another one now.
func (p *Pool) Gone(now time.Time, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byID[id]; u != nil {
		u.until = now.Add(ejectMost)
		u.failures++
	}
}

func (p *Pool) end(now time.Time, id string) {
	u := p.byID[id]
	if u == nil {
		return
	}
	u.mine = max(0, u.mine-1)
	p.serveService(now, u.Service)
}

// place counts a request at an upstream.
func (p *Pool) place(now time.Time, u *upstream) Choice {
	u.mine++
	c := Choice{ID: u.ID, Address: u.Address, Load: u.mine + p.others(now, u).Online + p.others(now, u).Batch, Slots: u.Slots}
	if c.Slots > 0 && c.Load > c.Slots && p.others(now, u).Batch > 0 {
		p.d.Pressed(c)
	}
	return c
}

func (p *Pool) others(now time.Time, u *upstream) Load {
	if now.Sub(p.loadsAt) > loadsExpiry {
		return Load{}
	}
	return u.others
}

func (p *Pool) serve(now time.Time) {
	for s := range p.waiters {
		p.serveService(now, s)
	}
}

// serveService gives room to waiting requests, the most urgent first.
func (p *Pool) serveService(now time.Time, service string) {
	l := p.waiters[service]
	for len(l) > 0 {
		u := p.pick(now, l[0].Request)
		if u == nil {
			break
		}
		l[0].done <- p.place(now, u)
		l = l[1:]
	}
	p.waiters[service] = l
}

// pick returns the upstream with room that serves a request best, or nil.
func (p *Pool) pick(now time.Time, r Request) *upstream {
	l := p.services[r.Service]
	limit := len(l)
	if limit > smallFleet && r.Prefer == "" {
		l = shuffled(l)
		limit = samples
	}
	var best *upstream
	score := 0.0
	seen := map[kind]int{}
	for _, u := range l {
		k := p.kind(u)
		if seen[k] >= limit || !p.hasRoom(now, u, r) {
			continue
		}
		seen[k]++
		if s := p.score(now, u, r); best == nil || s < score {
			best, score = u, s
		}
	}
	return best
}

// kind is what makes an upstream cheaper to reach than others.
type kind struct {
	near      bool // in this VM's data centre
	connected bool
}

func (p *Pool) kind(u *upstream) kind {
	return kind{near: u.Zone == p.d.Zone, connected: p.d.Connected(u.Address)}
}

func shuffled(l []*upstream) []*upstream {
	s := make([]*upstream, len(l))
	for i, j := range rand.Perm(len(l)) {
		s[i] = l[j]
	}
	return s
}

func (p *Pool) hasRoom(now time.Time, u *upstream, r Request) bool {
	if u.Draining || now.Before(u.until) {
		return false
	}
	if slices.Contains(r.Exclude, u.ID) || r.Only != "" && r.Only != u.ID {
		return false
	}
	if u.failures > 0 && u.mine > 0 {
		return false // one request tries an upstream that has failed
	}
	return u.Slots <= 0 || u.mine+p.others(now, u).Online < u.Slots
}

// score orders upstreams with room; the least is the best.
func (p *Pool) score(now time.Time, u *upstream, r Request) float64 {
	if u.ID == r.Prefer {
		return -1
	}
	o := p.others(now, u)
	n := float64(max(1, u.Slots))
	s := float64(u.mine+o.Online+o.Batch) / n
	if s >= 1 {
		s += fullPenalty
	}
	k := p.kind(u)
	if !k.near {
		s += zonePenalty
	}
	if k.connected {
		s -= connectBonus
	}
	if u.Cold > 0 {
		s += coldPenalty
	}
	s += u.penalty(now)
	if r.Session != "" {
		s -= affinityBonus * weight(r.Session, u.ID)
	}
	return s
}

// weight draws a figure from 0 to 1 for a session at an upstream; it is the same on all VMs.
func weight(session, id string) float64 {
	return float64(xxhash.Sum64String(session+"\x00"+id)>>11) / (1 << 53)
}

// before orders waiting requests: urgent ones, then those that have come back, then by arrival.
func before(a, b *waiter) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if a.Returning != b.Returning {
		if a.Returning {
			return -1
		}
		return 1
	}
	if a.number < b.number {
		return -1
	}
	return 1
}
