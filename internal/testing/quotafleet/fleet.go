package quotafleet

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"snipetack/internal/coordination/quota"
)

// callTimeout is how long a holder waits for a response.
const callTimeout = 250 * time.Millisecond

// minWakeInterval is the min time between two wake-ups of a holder; it ensures that virtual time advances.
const minWakeInterval = 10 * time.Microsecond

// Owner is the quota owner under test.
type Owner interface {
	Configure(now time.Time, limits map[quota.Key]quota.Limit)
	Lead(now time.Time, term uint64)
	Grant(now time.Time, a quota.TokenRequest) quota.TokenResponse
}

// Config describes a fleet and the faults of its network and clocks.
type Config struct {
	Seed     uint64
	Holders  int
	Owners   int
	Delay    func(holder, owner int) time.Duration // one way
	Jitter   time.Duration                         // max random delay added to each message
	Loss     float64                               // fraction of messages lost
	Drift    float64                               // max relative error of a clock's rate
	Policy   quota.Policy
	NewOwner func(now time.Time) Owner
	Limits   map[quota.Key]quota.Limit
	Election time.Duration // from the end of one owner's lease to the start of the next
	Uptime   time.Duration // how long a restarted owner's process has run when its lease starts
}

// Arrival is one request.
type Arrival struct {
	At     time.Duration
	Holder int
	Key    quota.Key
}

// Outcome is the outcome of an arrival.
type Outcome struct {
	Arrival
	Admitted bool
	Refused  bool
	Lost     bool // its VM was down or restarted
	End      time.Duration
}

// Regime is a period in which the limits stay the same; it ends where the next one starts.
type Regime struct {
	From   time.Duration
	Limits map[quota.Key]quota.Limit
}

// Fleet is a simulated fleet; the same seed and calls give the same run.
type Fleet struct {
	config   Config
	rand     *rand.Rand
	now      time.Duration
	events   events
	order    int
	holders  []*holder
	owners   []*owner
	leader   int // index, or -1 between two leases
	term     uint64
	Outcomes []Outcome // in order of arrival
	Regimes  []Regime
	Messages int // token requests and responses
	Demands  int
	Grants   int
}

type holder struct {
	core      *quota.Holder
	clock     clock
	restarts  int // responses and timeouts from before a restart are ignored
	nextOwner int // index of the owner that the next token request goes to
	wakeAt    time.Duration
	cut       bool
	down      bool
}

type owner struct {
	core  Owner
	clock clock
	cut   bool
}

// clock is one VM's clock: it shows origin at virtual time zero and advances by rate.
type clock struct {
	origin time.Time
	rate   float64
}

func (c clock) at(t time.Duration) time.Time {
	return c.origin.Add(time.Duration(float64(t) * c.rate))
}

// real returns the virtual time at which the clock shows t, rounded up.
func (c clock) real(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(c.origin))/c.rate) + 1
}

type event struct {
	at    time.Duration
	order int
	f     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	l := *e
	x := l[len(l)-1]
	*e = l[:len(l)-1]
	return x
}

// New returns a fleet whose first owner leads from time zero.
func New(s Config) *Fleet {
	f := &Fleet{config: s, rand: rand.New(rand.NewPCG(s.Seed, 1)), leader: -1}
	f.Regimes = []Regime{{Limits: s.Limits}}
	for range s.Holders {
		h := &holder{core: quota.NewHolder(s.Policy), clock: f.newClock()}
		f.holders = append(f.holders, h)
	}
	for range s.Owners {
		o := &owner{clock: f.newClock()}
		f.owners = append(f.owners, o)
		f.startOwner(o)
	}
	f.lead(0)
	return f
}

// Rand returns the fleet's source of randomness, for the faults of a test.
func (f *Fleet) Rand() *rand.Rand { return f.rand }

// Holders returns the number of holders.
func (f *Fleet) Holders() int { return len(f.holders) }

// After runs g once d has passed.
func (f *Fleet) After(d time.Duration, g func()) { f.At(f.now+d, g) }

// At runs g at time t; functions due at the same time run in the order of the calls.
func (f *Fleet) At(t time.Duration, g func()) {
	f.order++
	heap.Push(&f.events, event{at: t, order: f.order, f: g})
}

// Arrive adds requests, in any order.
func (f *Fleet) Arrive(l ...Arrival) {
	for _, a := range l {
		f.At(a.At, func() { f.arrive(a) })
	}
}

// Run advances the virtual time to t.
func (f *Fleet) Run(t time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= t {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		e.f()
	}
	f.now = t
}

// CutHolder drops all messages to and from a holder without an error, or reconnects it.
func (f *Fleet) CutHolder(i int, cut bool) { f.holders[i].cut = cut }

// CutOwner drops all messages to and from an owner without an error, or reconnects it.
func (f *Fleet) CutOwner(i int, cut bool) { f.owners[i].cut = cut }

// RestartHolder stops a holder for a time; its tokens and waiting requests are lost.
func (f *Fleet) RestartHolder(i int, down time.Duration) {
	h := f.holders[i]
	h.restarts++
	h.down = true
	for j := range f.Outcomes {
		if o := &f.Outcomes[j]; o.Holder == i && !o.Admitted && !o.Refused {
			o.Lost = true
		}
	}
	f.At(f.now+down, func() {
		h.core = quota.NewHolder(f.config.Policy)
		h.down = false
	})
}

// MoveOwner ends the owner's lease and starts that of the owner with index to after the election; with restart, that
// owner is a new process.
func (f *Fleet) MoveOwner(to int, restart bool) {
	if f.leader < 0 {
		return
	}
	f.leader = -1
	if restart {
		f.At(f.now+max(0, f.config.Election-f.config.Uptime), func() { f.startOwner(f.owners[to]) })
	}
	f.At(f.now+f.config.Election, func() { f.lead(to) })
}

// Change commits new limits at the leader; the others apply them after lag.
func (f *Fleet) Change(l map[quota.Key]quota.Limit, lag time.Duration) {
	if f.leader < 0 {
		return
	}
	f.Regimes = append(f.Regimes, Regime{From: f.now, Limits: l})
	f.configure(f.owners[f.leader])
	for _, o := range f.owners {
		f.At(f.now+lag, func() { f.configure(o) })
	}
}

func (f *Fleet) limits() map[quota.Key]quota.Limit {
	return f.Regimes[len(f.Regimes)-1].Limits
}

func (f *Fleet) newClock() clock {
	return clock{
		origin: time.Unix(int64(f.rand.IntN(1_000_000)+1), 0),
		rate:   1 + f.config.Drift*(2*f.rand.Float64()-1),
	}
}

func (f *Fleet) startOwner(o *owner) {
	o.core = f.config.NewOwner(o.clock.at(f.now))
	f.configure(o)
}

func (f *Fleet) configure(o *owner) {
	o.core.Configure(o.clock.at(f.now), f.limits())
}

func (f *Fleet) lead(i int) {
	f.leader = i
	f.term++
	f.configure(f.owners[i])
	f.owners[i].core.Lead(f.owners[i].clock.at(f.now), f.term)
}

func (f *Fleet) arrive(a Arrival) {
	h := f.holders[a.Holder]
	id := uint64(len(f.Outcomes))
	f.Outcomes = append(f.Outcomes, Outcome{Arrival: a})
	if h.down {
		f.Outcomes[id].Lost = true
		return
	}
	d, _ := h.core.Arrive(h.clock.at(f.now), a.Key, f.limits()[a.Key], id)
	switch d {
	case quota.Admitted:
		f.admit(id)
	case quota.Refused:
		f.refuse(id)
	}
	f.runHolder(a.Holder)
}

func (f *Fleet) admit(id uint64) {
	f.Outcomes[id].Admitted = true
	f.Outcomes[id].End = f.now
}

func (f *Fleet) refuse(id uint64) {
	f.Outcomes[id].Refused = true
	f.Outcomes[id].End = f.now
}

// runHolder does what is due at a holder and schedules its next call.
func (f *Fleet) runHolder(i int) {
	h := f.holders[i]
	if h.down {
		return
	}
	n := h.clock.at(f.now)
	for _, r := range h.core.Expire(n) {
		f.refuse(r.ID)
	}
	for {
		s, ok := h.core.NextRequest(n)
		if !ok {
			break
		}
		f.send(i, s)
	}
	if t, ok := h.core.Wake(n); ok {
		w := max(f.now+minWakeInterval, h.clock.real(t))
		if h.wakeAt <= f.now || w < h.wakeAt {
			h.wakeAt = w
			f.At(w, func() { f.runHolder(i) })
		}
	}
}

func (f *Fleet) send(i int, s quota.SentRequest) {
	h := f.holders[i]
	e, to := h.restarts, h.nextOwner
	f.Messages++
	f.Demands += len(s.Request.Demands)
	open := true
	f.At(f.now+callTimeout, func() {
		if !open || h.restarts != e {
			return
		}
		open = false
		if h.nextOwner == to {
			h.nextOwner = (to + 1) % len(f.owners)
		}
		h.core.Abandon(s)
		f.runHolder(i)
	})
	f.deliver(i, to, func() {
		o := f.owners[to]
		var r quota.TokenResponse
		leads := f.leader == to
		if leads {
			r = o.core.Grant(o.clock.at(f.now), s.Request)
			f.Grants += len(r.Grants)
		}
		f.Messages++
		f.deliver(i, to, func() {
			if !open || h.restarts != e || h.down {
				return
			}
			open = false
			f.answered(i, to, s, r, leads)
		})
	})
}

func (f *Fleet) answered(i, to int, s quota.SentRequest, r quota.TokenResponse, leads bool) {
	h := f.holders[i]
	if !leads {
		if h.nextOwner == to {
			h.nextOwner = (to + 1) % len(f.owners)
		}
		h.core.Abandon(s)
		f.runHolder(i)
		return
	}
	h.nextOwner = to
	for _, id := range h.core.HandleResponse(h.clock.at(f.now), s, r) {
		f.admit(id)
	}
	f.runHolder(i)
}

// deliver calls g after the delay of the link, unless the message is lost or one end is disconnected on arrival.
func (f *Fleet) deliver(holder, owner int, g func()) {
	if f.rand.Float64() < f.config.Loss {
		return
	}
	d := f.config.Delay(holder, owner)
	if f.config.Jitter > 0 {
		d += time.Duration(f.rand.Int64N(int64(f.config.Jitter)))
	}
	f.At(f.now+d, func() {
		if !f.holders[holder].cut && !f.owners[owner].cut {
			g()
		}
	})
}

// AdmittedAt returns the sorted times at which requests of a bucket were admitted.
func (f *Fleet) AdmittedAt(k quota.Key) []time.Duration {
	var l []time.Duration
	for _, o := range f.Outcomes {
		if o.Key == k && o.Admitted {
			l = append(l, o.End)
		}
	}
	slices.Sort(l)
	return l
}
