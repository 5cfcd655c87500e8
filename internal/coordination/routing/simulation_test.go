package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"snipetack/internal/coordination/routing"
	"snipetack/internal/state/catalog"
)

// deployment is a simulated fleet and the load on it.
type deployment struct {
	name        string
	dataCentres int
	vms         int
	engines     int
	near, far   time.Duration // one way, within and between data centres
	rate        float64       // requests per second outside bursts
}

func deployments() []deployment {
	return []deployment{
		{name: "alpweide", dataCentres: 3, vms: 6, engines: 10, near: 500 * time.Microsecond, far: 2 * time.Millisecond, rate: 80},
		{name: "tihend", dataCentres: 4, vms: 8, engines: 10, near: 500 * time.Microsecond, far: time.Millisecond, rate: 80},
	}
}

// Parameters of the simulated engines and load; the engines are modelled on the stand-in engine.
const (
	simTime      = 120 * time.Second
	simSlots     = 8                      // requests that an engine runs together
	simStep      = 8 * time.Millisecond   // step of an engine that runs one request; it generates a token of each
	simPerSlot   = 400 * time.Microsecond // added to a step by each further request
	simPrefill   = 50 * time.Microsecond  // per prompt token that is not cached
	simCache     = 1250                   // blocks
	simReportLag = 500 * time.Millisecond // age of a load report when a VM receives it
	simReport    = time.Second            // interval between load reports, and between queries for cache events
	simShare     = 200 * time.Millisecond // interval between a VM's in-flight reports to the others
	simAccounts  = 8
	simEvents    = 512 // cache events that an engine keeps; a VM that falls further behind sees a gap
)

// job is a request in the simulation.
type job struct {
	blocks []uint64
	words  int // of the prompt
	tokens int // to generate
	vm     int
	sent   time.Time
	left   int                 // tokens left to generate
	first  func(now time.Time) // called when the engine has generated the first token
	done   func(now time.Time)
}

// sim runs events in the order of their times, and equal ones in the order in which they were scheduled.
type sim struct {
	now   time.Time
	queue events
	seq   int
}

type simEvent struct {
	at  time.Time
	seq int
	f   func()
}

type events []simEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.seq, f})
}

func (s *sim) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.f()
	}
}

// simEngine is a simulated engine.
type simEngine struct {
	s           *sim
	waiting     []*job
	running     []*job
	busy        bool
	blocks      map[uint64]int // counter of the last use, for LRU eviction
	useCount    int
	events      []routing.CacheEvent
	number      uint64
	hitWords    int
	promptWords int
	slotFreed   func() // called when a slot has become free
}

func newSimEngine(s *sim) *simEngine { return &simEngine{s: s, blocks: map[uint64]int{}} }

func (n *simEngine) submit(j *job) {
	n.waiting = append(n.waiting, j)
	if !n.busy {
		n.busy = true
		n.step()
	}
}

// step fills free slots with waiting jobs, then generates one token of each running job, again and again until none is
// left.
func (n *simEngine) step() {
	var prefill int
	var admitted []*job
	for len(n.running) < simSlots && len(n.waiting) > 0 {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		j.left = j.tokens
		n.running = append(n.running, j)
		admitted = append(admitted, j)
		h := 16 * n.admit(j.blocks)
		n.hitWords += h
		n.promptWords += j.words
		prefill += j.words - h
	}
	if len(n.running) == 0 {
		n.busy = false
		return
	}
	d := simStep + time.Duration(len(n.running)-1)*simPerSlot + time.Duration(prefill)*simPrefill
	n.s.after(d, func() {
		for _, j := range admitted {
			j.first(n.s.now)
		}
		var rest []*job
		for _, j := range n.running {
			if j.left--; j.left > 0 {
				rest = append(rest, j)
			} else {
				j.done(n.s.now)
			}
		}
		freed := len(rest) < len(n.running)
		n.running = rest
		if freed && n.slotFreed != nil {
			n.slotFreed()
		}
		n.step()
	})
}

func (n *simEngine) cached(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := n.blocks[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// admit caches the blocks of a prompt and returns how many leading ones were cached before.
func (n *simEngine) admit(blocks []uint64) int {
	hit := n.cached(blocks)
	for _, b := range blocks {
		if _, ok := n.blocks[b]; !ok {
			n.event(b, true)
		}
		n.useCount++
		n.blocks[b] = n.useCount
	}
	if len(n.blocks) > simCache {
		n.evict()
	}
	return hit
}

// evict drops the least recently used blocks until the cache is nine tenths full.
func (n *simEngine) evict() {
	l := make([]uint64, 0, len(n.blocks))
	for b := range n.blocks {
		l = append(l, b)
	}
	sort.Slice(l, func(i, j int) bool { return n.blocks[l[i]] < n.blocks[l[j]] })
	for _, b := range l[:len(l)-simCache*9/10] {
		delete(n.blocks, b)
		n.event(b, false)
	}
}

func (n *simEngine) event(b uint64, stored bool) {
	n.number++
	n.events = append(n.events, routing.CacheEvent{Number: n.number, Block: b, Stored: stored})
	if len(n.events) > simEvents {
		n.events = n.events[len(n.events)-simEvents:]
	}
}

// load generates the requests of a deployment; a seed gives the same ones for each policy.
func (d deployment) load(seed uint64) []*job {
	r := rand.New(rand.NewPCG(seed, 1))
	var l []*job
	conversations := map[int]string{}
	at := time.Time{}
	for at.Before(time.Time{}.Add(simTime)) {
		rate := d.rate
		if int(at.Sub(time.Time{}).Seconds())%15 < 2 {
			rate *= 1.6 // bursts
		}
		at = at.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		a := int(math.Pow(r.Float64(), 2) * simAccounts) // squared, so that a few accounts send most of the load
		id := a*40 + r.IntN(40)
		p := conversations[id]
		if p == "" || strings.Count(p, " ") > 900 {
			p = words(fmt.Sprint("account", a), 320) + words(fmt.Sprint("talk", id, r.Uint64()), 48)
		}
		p += words(fmt.Sprint("turn", r.Uint64()), 24+r.IntN(48))
		conversations[id] = p
		l = append(l, &job{
			blocks: routing.Blocks(p),
			words:  strings.Count(p, " "),
			tokens: 16 + int(r.ExpFloat64()*48),
			vm:     r.IntN(d.vms),
			sent:   at,
		})
	}
	return l
}

func words(name string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprint(&b, name, "-", i, " ")
	}
	return b.String()
}

// outcome holds the figures that a policy reached under a deployment's load.
type outcome struct {
	p50, p99 time.Duration // time to the first token
	complete time.Duration // p99 of the time to the last token
	hitShare float64
}

func (d deployment) outcome(nodes []*simEngine, first, took []time.Duration) outcome {
	slices.Sort(first)
	slices.Sort(took)
	var h, w int
	for _, n := range nodes {
		h += n.hitWords
		w += n.promptWords
	}
	return outcome{
		p99:      first[len(first)*99/100],
		p50:      first[len(first)/2],
		complete: took[len(took)*99/100],
		hitShare: float64(h) / float64(w),
	}
}

// simulate runs a deployment's load under a policy. Each VM knows only what it would be sent in production, with the
// same delays.
func simulate[P routing.Policy](d deployment, seed uint64, load []*job, policy func() P) outcome {
	s := &sim{}
	nodes := make([]*simEngine, d.engines)
	ups := make([]catalog.Upstream, d.engines)
	for i := range nodes {
		nodes[i] = newSimEngine(s)
		ups[i] = catalog.Upstream{Name: fmt.Sprintf("engine-%02d", i), DataCentre: d.dataCentre(i), Slots: simSlots}
	}
	tables := make([]*routing.Table[P], d.vms)
	for i := range tables {
		tables[i] = routing.NewTable(policy(), d.dataCentre(i), seed+uint64(i))
		d.scheduleUpdates(s, tables, i, nodes, ups)
	}
	var first, took []time.Duration
	for _, j := range load {
		s.after(j.sent.Sub(s.now), func() {
			u, _, err := tables[j.vm].Choose(s.now, ups, routing.Request{Service: "s", Blocks: j.blocks})
			if err != nil {
				panic(err)
			}
			i := slices.IndexFunc(ups, func(x catalog.Upstream) bool { return x.Name == u.Name })
			oneWay := d.delay(j.vm, i)
			j.first = func(now time.Time) { first = append(first, now.Add(oneWay).Sub(j.sent)) }
			j.done = func(time.Time) {
				s.after(oneWay, func() {
					took = append(took, s.now.Sub(j.sent))
					tables[j.vm].Done(s.now, u.Name, routing.Report{Took: s.now.Sub(j.sent), Tokens: j.tokens})
				})
			}
			s.after(oneWay, func() { nodes[i].submit(j) })
		})
	}
	s.run()
	return d.outcome(nodes, first, took)
}

// scheduleUpdates schedules the load reports and cache events that VM i receives, and the in-flight counts that it
// sends to the other VMs.
func (d deployment) scheduleUpdates(s *sim, tables interface{}, i int, nodes []*simEngine, ups []catalog.Upstream) {
	type table interface {
		Load(now time.Time, upstream string, l routing.Load)
		Cache(now time.Time, upstream string, l []routing.CacheEvent)
		SetOthersInFlight(now time.Time, vm string, inFlight map[string]int)
		InFlight() map[string]int
	}
	at := func(k int) table {
		switch l := tables.(type) {
		case []*routing.Table[routing.Random]:
			return l[k]
		case []*routing.Table[*routing.RoundRobin]:
			return l[k]
		case []*routing.Table[routing.LeastInFlight]:
			return l[k]
		case []*routing.Table[routing.Weighted]:
			return l[k]
		}
		panic("unknown table")
	}
	end := time.Time{}.Add(simTime)
	var report, share func()
	report = func() {
		for k, n := range nodes {
			l := routing.Load{Running: len(n.running), Waiting: len(n.waiting), Slots: simSlots, Age: simReportLag}
			v := slices.Clone(n.events)
			s.after(simReportLag, func() {
				at(i).Load(s.now, ups[k].Name, l)
				at(i).Cache(s.now, ups[k].Name, v)
			})
		}
		if s.now.Before(end) {
			s.after(simReport, report)
		}
	}
	share = func() {
		m := at(i).InFlight()
		for k := range d.vms {
			if k != i {
				s.after(d.far, func() { at(k).SetOthersInFlight(s.now, fmt.Sprint("vm-", i), m) })
			}
		}
		if s.now.Before(end) {
			s.after(simShare, share)
		}
	}
	s.after(time.Duration(i)*simReport/time.Duration(d.vms), report)
	s.after(time.Duration(i)*simShare/time.Duration(d.vms), share)
}

// best runs the load under the reference scheduler: a single central queue that knows the state of each engine at each
// moment without delay.
func best(d deployment, load []*job) outcome {
	s := &sim{}
	nodes := make([]*simEngine, d.engines)
	var waiting []*job
	var first, took []time.Duration
	dispatch := func() {
		for len(waiting) > 0 {
			j := waiting[0]
			i := cheapest(nodes, j)
			if i < 0 {
				return
			}
			waiting = waiting[1:]
			oneWay := d.delay(j.vm, i)
			j.first = func(now time.Time) { first = append(first, now.Add(oneWay).Sub(j.sent)) }
			j.done = func(now time.Time) { took = append(took, now.Add(oneWay).Sub(j.sent)) }
			nodes[i].submit(j)
		}
	}
	for i := range nodes {
		nodes[i] = newSimEngine(s)
		nodes[i].slotFreed = dispatch
	}
	for _, j := range load {
		s.after(j.sent.Sub(s.now), func() {
			waiting = append(waiting, j)
			dispatch()
		})
	}
	s.run()
	return d.outcome(nodes, first, took)
}

// cheapest returns the engine with a free slot that would complete the job first, or -1.
func cheapest(nodes []*simEngine, j *job) int {
	at, lowest := -1, time.Duration(math.MaxInt64)
	for i, n := range nodes {
		r := len(n.running) + len(n.waiting)
		if r >= simSlots {
			continue
		}
		c := time.Duration(j.words-16*n.cached(j.blocks))*simPrefill*time.Duration(r+1) +
			time.Duration(j.tokens)*(simStep+time.Duration(r)*simPerSlot)
		if c < lowest {
			at, lowest = i, c
		}
	}
	return at
}

func (d deployment) dataCentre(i int) string { return fmt.Sprint("dc-", i%d.dataCentres) }

func (d deployment) delay(vm, engine int) time.Duration {
	if d.dataCentre(vm) == d.dataCentre(engine) {
		return d.near
	}
	return d.far
}
