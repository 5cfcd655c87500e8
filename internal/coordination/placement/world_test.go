package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/placement"
	"snipetack/internal/state/order"
)

// Timing of the simulation.
const (
	tick         = 250 * time.Millisecond
	leaseTime    = 2 * time.Second
	orderTimeout = 3 * time.Second // time after which a leader takes the outcome of an order as unknown
)

// world simulates leaders and engines with random faults in virtual time. The leaders share one log, in which only the
// newest of them can commit.
type world struct {
	t        *testing.T
	seed     uint64
	r        *rand.Rand
	s        placement.Settings
	now      time.Time
	in       placement.Input
	log      *order.Machine
	leaders  []*leader
	engines  map[string]*engine
	term     uint64
	leaseEnd time.Time // end of the newest lease
	events   []event
	faults   bool
	delay    func(checks bool) time.Duration // of late orders, by whether the engine checks fencing numbers
	pulls    []pull
	executed int
	refused  int
}

type leader struct {
	core         *placement.Core
	term         uint64
	leaseEnd     time.Time
	disconnected bool // from the log, but not from the engines
}

// engine is a simulated upstream. One that checks fencing numbers refuses orders with an old one.
type engine struct {
	name   string
	checks bool
	memory int64
	fence  uint64
	loaded map[string]bool
	role   string
}

type event struct {
	at time.Time
	f  func()
}

type pull struct {
	at    time.Time
	bytes int64
}

func newWorld(t *testing.T, seed uint64, hosts int) *world {
	w := &world{
		t:       t,
		seed:    seed,
		r:       rand.New(rand.NewPCG(seed, 1)),
		s:       placement.DefaultSettings(),
		now:     time.Unix(1_000_000, 0),
		log:     order.New(),
		engines: map[string]*engine{},
		faults:  true,
	}
	w.s.PullRate, w.s.PullBurst, w.s.MinStay, w.s.ScaleDownAfter = 2, 30, 30*time.Second, 20*time.Second
	w.delay = func(bool) time.Duration { return w.randomUpTo(w.s.OrderLifetime - orderTimeout) }
	w.in.Demand = map[string]float64{}
	for i := range 4 {
		w.in.Artifacts = append(w.in.Artifacts, placement.Artifact{Name: fmt.Sprint("model-", i), Size: int64(5 + 5*i), Rate: 10, MinCopies: 1})
	}
	for i := range hosts {
		h := placement.Host{Name: fmt.Sprint("engine-", i), DataCentre: fmt.Sprint("dc-", i%3), Memory: 30, ChecksFencing: i%2 == 0, Usable: true}
		w.in.Hosts = append(w.in.Hosts, h)
		w.engines[h.Name] = &engine{name: h.Name, checks: h.ChecksFencing, memory: h.Memory, loaded: map[string]bool{}}
	}
	for range 3 {
		w.leaders = append(w.leaders, &leader{core: placement.New(w.s)})
	}
	return w
}

// run advances the simulation by d.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		w.deliver()
		w.injectFaults()
		w.elect()
		for _, l := range w.leaders {
			w.lead(l)
		}
	}
}

func (w *world) deliver() {
	slices.SortStableFunc(w.events, func(a, b event) int { return a.at.Compare(b.at) })
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		f := w.events[0].f
		w.events = w.events[1:]
		f()
	}
}

// injectFaults injects random faults: it disconnects leaders or reconnects them, changes the demand and makes upstreams
// unusable or usable again.
func (w *world) injectFaults() {
	for _, l := range w.leaders {
		if w.chance(0.02) {
			l.disconnected = w.faults && !l.disconnected
		}
	}
	if !w.faults {
		return
	}
	if w.chance(0.02) {
		w.in.Demand[fmt.Sprint("model-", w.r.IntN(4))] = w.r.Float64() * 60
	}
	if w.chance(0.02) {
		h := &w.in.Hosts[w.r.IntN(len(w.in.Hosts))]
		h.Usable = !h.Usable
	}
}

// elect extends the lease of the newest leader while it reaches the log. Once the lease has ended, another may lead.
func (w *world) elect() {
	for _, l := range w.leaders {
		if l.term == w.term && w.term > 0 && !l.disconnected {
			l.leaseEnd = w.now.Add(leaseTime)
			w.leaseEnd = l.leaseEnd
			return
		}
	}
	if w.now.Before(w.leaseEnd) || !w.chance(0.5) {
		return
	}
	l := w.leaders[w.r.IntN(len(w.leaders))]
	if l.disconnected {
		return
	}
	w.term++
	l.term, l.leaseEnd = w.term, w.now.Add(leaseTime)
	w.leaseEnd = l.leaseEnd
	l.core.Lead(w.now, l.term, w.log.State())
}

func (w *world) lead(l *leader) {
	if !w.now.Before(l.leaseEnd) {
		l.core.Follow()
		return
	}
	if !l.core.Leads() && l.term == w.term && !l.disconnected {
		l.core.Lead(w.now, l.term, w.log.State())
	}
	if !l.disconnected {
		e := l.core.Step(w.now, w.in)
		w.commit(l, e)
	}
	for _, i := range l.core.Orders(w.now, w.in, len(w.in.Hosts)) {
		w.send(l, i)
	}
}

func (w *world) commit(l *leader, e placement.Effects) {
	if len(e.Propose)+len(e.Forget) == 0 {
		return
	}
	o := w.log.Execute(order.Command{Term: l.term, Begin: e.Propose, Forget: e.Forget})
	if o.Stale {
		l.core.Follow()
		return
	}
	for n, i := range e.Propose {
		i.Fence = o.Fences[n]
		l.core.Committed(w.now, i, w.log.State())
	}
}

// send delivers an order, possibly late or never, and then its result, possibly late or never.
func (w *world) send(l *leader, i order.Intent) {
	term := l.term
	sent := w.now
	answered := false
	answer := func(a placement.OrderResult) {
		if answered || l.term != term {
			return
		}
		answered = true
		w.onResult(l, i, a)
	}
	w.events = append(w.events, event{sent.Add(orderTimeout), func() { answer(placement.Unknown) }})
	if w.faults && w.chance(0.1) {
		return // the order is lost
	}
	at := sent.Add(w.randomUpTo(500 * time.Millisecond))
	if w.faults && w.chance(0.2) {
		at = sent.Add(w.delay(w.engines[i.Upstream].checks))
	}
	lost := w.faults && w.chance(0.1)
	w.events = append(w.events, event{at, func() {
		a := w.execute(w.engines[i.Upstream], i)
		if !lost {
			w.events = append(w.events, event{w.now.Add(w.randomUpTo(500 * time.Millisecond)), func() { answer(a) }})
		}
	}})
}

func (w *world) onResult(l *leader, i order.Intent, a placement.OrderResult) {
	for _, f := range l.core.ResultReceived(w.now, i, a) {
		if l.disconnected || l.term != w.term {
			l.core.Follow()
			return
		}
		w.log.Execute(order.Command{Term: l.term, Finish: []order.Finish{f}})
		l.core.Finished(w.now, f, w.log.State())
	}
}

// execute carries out an order. It fails the test if the order is older than one carried out before, or if the engine's
// memory is exceeded.
func (w *world) execute(e *engine, i order.Intent) placement.OrderResult {
	if w.faults && w.chance(0.05) {
		return placement.Failed
	}
	if e.checks && i.Fence < e.fence {
		w.refused++
		return placement.Refused
	}
	require.GreaterOrEqual(w.t, i.Fence, e.fence, "seed %d: %s carried out an old order %v", w.seed, e.name, i)
	e.fence = i.Fence
	w.executed++
	switch i.Action {
	case order.Load:
		if !e.loaded[i.Target] {
			w.pulls = append(w.pulls, pull{w.now, w.size(i.Target)})
		}
		e.loaded[i.Target] = true
	case order.Unload:
		delete(e.loaded, i.Target)
	case order.Role:
		e.role = i.Target
	}
	used := int64(0)
	for a := range e.loaded {
		used += w.size(a)
	}
	require.LessOrEqual(w.t, used, e.memory, "seed %d: %s holds too much", w.seed, e.name)
	return placement.Done
}

// settle ends all faults, lets all orders end and checks that the committed state is what the engines hold.
func (w *world) settle() {
	w.faults = false
	for i := range w.in.Hosts {
		w.in.Hosts[i].Usable = true
	}
	for _, l := range w.leaders {
		l.disconnected = false
	}
	w.run(5 * time.Minute)
	s := w.log.State()
	for n, e := range w.engines {
		p := s.Upstreams[n]
		require.Nil(w.t, p.Pending, "seed %d: %s", w.seed, n)
		require.Len(w.t, p.Loaded, len(e.loaded), "seed %d: %s", w.seed, n)
		for a := range e.loaded {
			require.Contains(w.t, p.Loaded, a, "seed %d: %s", w.seed, n)
		}
	}
}

func (w *world) size(artifact string) int64 {
	for _, a := range w.in.Artifacts {
		if a.Name == artifact {
			return a.Size
		}
	}
	return 0
}

func (w *world) chance(p float64) bool { return w.r.Float64() < p }

func (w *world) randomUpTo(d time.Duration) time.Duration { return time.Duration(w.r.Int64N(int64(d))) }
