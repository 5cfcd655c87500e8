package batch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
)

// policy is how engine slots are divided between online requests and batch.
type policy int

const (
	noBatch    policy = iota
	noPreempt         // batch fills idle slots and keeps each until its item ends
	fixedSplit        // batch always has half of the slots
	lending           // the Agent under test, with preemption
)

// deployment is the size, delays and load of a fleet.
type deployment struct {
	name    string
	engines int
	vms     int
	between time.Duration // one-way delay between VMs, engines and keepers
	client  time.Duration // one-way delay from client to VM
	rate    float64       // online requests per second, without bursts
	burst   int           // requests of a burst, within 100 ms at one VM
	every   time.Duration // mean time between bursts
	prompt  int           // uncached prompt tokens of an online request
	tokens  int           // mean tokens of an online response
	item    int           // tokens of a batch item
	unique  int           // uncached prompt tokens of a batch item
}

func alpweide() deployment {
	return deployment{name: "alpweide", engines: 10, vms: 7, between: time.Millisecond, client: time.Millisecond / 2,
		rate: 60, burst: 25, every: 4 * time.Second, prompt: 40, tokens: 40, item: 120, unique: 24}
}

func tihend() deployment {
	return deployment{name: "tihend", engines: 10, vms: 8, between: time.Millisecond, client: 8 * time.Millisecond,
		rate: 90, burst: 40, every: 3 * time.Second, prompt: 60, tokens: 30, item: 80, unique: 40}
}

// measurements are the results of a run of a model.
type measurements struct {
	batchTokens int
	idleSlots   float64         // slot seconds not used by online requests
	first       []time.Duration // from the client's request to the first token
	gaps        []time.Duration // between tokens of online requests
	waits       []time.Duration // of online requests in the queue of an engine
	missed      int             // jobs past their due time
	open        int             // jobs that have not ended
	stops       int             // runs preempted
}

type event struct {
	at time.Duration
	n  int // orders events at the same time
	f  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// model runs real Agents over a real ledger against simulated engines, in virtual time without goroutines.
type model struct {
	d          deployment
	p          policy
	s          batch.Settings
	r          *rand.Rand // draws the load
	other      *rand.Rand // draws everything else, so that the load is the same under every policy
	now        time.Duration
	queue      events
	eventCount int
	engines    []*modelEngine
	flight     []map[int]int // online requests in flight by VM and engine
	ledger     *ledger.Machine
	stats      measurements
	end        time.Duration
	jobs       []string
	withLosses bool // one VM and one upstream are lost after a third of the time
}

type modelEngine struct {
	i        int
	set      engine.Settings
	waiting  []*sequence
	running  []*sequence
	stepping bool
	idleAt   time.Duration
	down     bool
	agent    *batch.Agent
	holder   int                      // VM that holds the lease
	runs     map[ledger.Ref]*sequence // batch items of the Agent
}

type sequence struct {
	online    bool
	prompt    int
	left      int
	generated int
	ref       ledger.Ref
	sent      time.Duration // by the client
	arrived   time.Duration // at the engine
	last      time.Duration // time of the last token
	cancelled bool
	done      func()
}

// origin is the wall-clock time at which a model starts.
func origin() time.Time { return time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC) }

func (m *model) clock() time.Time { return origin().Add(m.now) }

func newModel(d deployment, p policy, s batch.Settings, seed uint64, end time.Duration) *model {
	m := &model{d: d, p: p, s: s, r: rand.New(rand.NewPCG(seed, 1)), other: rand.New(rand.NewPCG(seed, 2)),
		ledger: ledger.New(ledger.DefaultLimits()), end: end}
	for i := range d.engines {
		m.engines = append(m.engines, &modelEngine{i: i, set: engine.DefaultSettings(), holder: i % d.vms})
	}
	for range d.vms {
		m.flight = append(m.flight, map[int]int{})
	}
	return m
}

func (m *model) after(d time.Duration, f func()) {
	m.eventCount++
	heap.Push(&m.queue, event{at: m.now + d, n: m.eventCount, f: f})
}

// run processes events until the end of the virtual time and returns what was measured.
func (m *model) run() measurements {
	m.arrivals()
	if m.p != noBatch {
		for _, e := range m.engines {
			m.takeLease(e, 1)
		}
	}
	if m.withLosses {
		m.after(m.end/3, m.loseVMAndUpstream)
	}
	for len(m.queue) > 0 && m.queue[0].at <= m.end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.f()
	}
	m.now = m.end
	for _, e := range m.engines {
		m.addIdleSlots(e)
	}
	for _, id := range m.jobs {
		j := m.ledger.Read(ledger.Query{Subject: ledger.OneJob, Account: id, ID: id}).Jobs[0]
		if j.EndedAt.IsZero() {
			m.stats.open++
		}
		if j.EndedAt.IsZero() && m.clock().After(j.Due) || j.EndedAt.After(j.Due) {
			m.stats.missed++
		}
	}
	return m.stats
}

// job adds a job of n items; its account has the same name.
func (m *model) job(id string, n int, due time.Duration) {
	t, _ := ledger.Compress([]byte("x"))
	apply := func(c ledger.Command) {
		c.At = m.clock()
		m.ledger.Apply(0, ledger.EncodeCommand(c))
	}
	apply(ledger.Command{Open: &ledger.File{ID: "f" + id, Account: id, Declared: 1 << 20}})
	apply(ledger.Command{Append: &ledger.Append{File: "f" + id, Chunk: ledger.Chunk{Lines: n, Raw: n, Data: t}}})
	apply(ledger.Command{Seal: &ledger.Seal{File: "f" + id, Tokens: n * m.d.item}})
	apply(ledger.Command{Create: &ledger.Create{Job: ledger.Job{ID: id, Account: id, File: "f" + id, Key: id, Service: "s",
		Repeatable: true, Due: origin().Add(due)}}})
	m.jobs = append(m.jobs, id)
}

// arrivals schedules the online load of the whole run: independent requests and bursts.
func (m *model) arrivals() {
	for t := 0.0; t < m.end.Seconds(); t += m.r.ExpFloat64() / m.d.rate {
		m.arrive(time.Duration(t*float64(time.Second)), m.r.IntN(m.d.vms))
	}
	for t := time.Duration(0); t < m.end; t += time.Duration(m.r.ExpFloat64() * float64(m.d.every)) {
		v := m.r.IntN(m.d.vms)
		for range m.d.burst {
			m.arrive(t+time.Duration(m.r.Int64N(int64(100*time.Millisecond))), v)
		}
	}
}

func (m *model) arrive(at time.Duration, vm int) {
	n := 1 + int(m.r.ExpFloat64()*float64(m.d.tokens))
	first := m.r.IntN(m.d.engines)
	m.after(at, func() {
		s := &sequence{online: true, prompt: m.d.prompt, left: n, sent: m.now}
		m.after(m.d.client, func() { m.route(vm, first, s) })
	})
}

// route sends a request to the engine on which its VM has the fewest requests in flight.
func (m *model) route(vm, first int, s *sequence) {
	var best *modelEngine
	for k := range m.engines {
		e := m.engines[(first+k)%len(m.engines)]
		if !e.down && (best == nil || m.flight[vm][e.i] < m.flight[vm][best.i]) {
			best = e
		}
	}
	m.countOnline(vm, best, 1)
	s.done = func() { m.after(m.d.between, func() { m.countOnline(vm, best, -1) }) }
	m.after(m.d.between, func() { m.submit(best, s) })
}

// countOnline changes a VM's count of requests in flight and sends it to the lease holder.
func (m *model) countOnline(vm int, e *modelEngine, n int) {
	m.flight[vm][e.i] += n
	v := m.flight[vm][e.i]
	d := m.d.between
	if vm == e.holder {
		d = 0
	}
	m.after(d, func() {
		if a := e.agent; a != nil && m.p == lending || a != nil && m.p == noPreempt {
			a.SetOnline(fmt.Sprint(vm), v, m.clock())
			m.act(e)
		}
	})
}

func (m *model) submit(e *modelEngine, s *sequence) {
	if e.down {
		s.done()
		return
	}
	s.arrived = m.now
	e.waiting = append(e.waiting, s)
	if !e.stepping {
		e.stepping = true
		m.step(e)
	}
}

// step admits sequences in order of arrival and generates one token of each, as the stand-in engine does.
func (m *model) step(e *modelEngine) {
	m.addIdleSlots(e)
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.cancelled || s.left <= 0 })
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.cancelled })
	prefill := 0
	for len(e.running) < e.set.Slots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
		prefill += s.prompt
		if s.online {
			m.stats.waits = append(m.stats.waits, m.now-s.arrived)
		}
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	d := e.set.StepBase + time.Duration(len(e.running)-1)*e.set.StepPerSlot + time.Duration(prefill)*e.set.PrefillToken
	m.after(d, func() {
		for _, s := range e.running {
			m.generate(e, s)
		}
		m.step(e)
	})
}

func (m *model) generate(e *modelEngine, s *sequence) {
	if s.cancelled || s.left <= 0 {
		return
	}
	s.left--
	s.generated++
	if !s.online {
		m.stats.batchTokens++
	} else {
		if s.generated == 1 {
			m.stats.first = append(m.stats.first, m.now+m.d.between+m.d.client-s.sent)
		} else {
			m.stats.gaps = append(m.stats.gaps, m.now-s.last)
		}
		s.last = m.now
	}
	if s.left == 0 {
		s.done()
	}
}

// addIdleSlots adds the slot time that online requests left idle since the last step.
func (m *model) addIdleSlots(e *modelEngine) {
	n := 0
	for _, s := range e.running {
		if s.online {
			n++
		}
	}
	if !e.down {
		m.stats.idleSlots += float64(e.set.Slots-n) * (m.now - e.idleAt).Seconds()
	}
	e.idleAt = m.now
}

// takeLease takes the engine's lease for its holder, under the epoch number, and starts an Agent.
func (m *model) takeLease(e *modelEngine, number uint64) {
	slots := e.set.Slots
	if m.p == fixedSplit {
		slots /= 2
	}
	u := catalog.Upstream{Name: fmt.Sprint("engine-", e.i), Service: "s", Slots: slots}
	m.ledger.Apply(0, ledger.EncodeCommand(ledger.Command{At: m.clock(), Take: &ledger.Take{Upstream: u.Name, VM: fmt.Sprint(e.holder), Epoch: number - 1, Renewal: m.renewal(u.Name)}}))
	a := batch.NewAgent(m.s, u, number, m.clock(), m.other)
	e.agent = a
	var tick func()
	tick = func() {
		if e.agent != a || e.down {
			return
		}
		m.act(e)
		m.after(50*time.Millisecond, tick)
	}
	tick()
}

func (m *model) renewal(upstream string) uint64 {
	for _, l := range m.ledger.Read(ledger.Query{Subject: ledger.Open}).Leases {
		if l.Upstream == upstream {
			return l.Renewal
		}
	}
	return 0
}

// act runs one scheduling pass of the Agent and commits its report.
func (m *model) act(e *modelEngine) {
	a := e.agent
	if a == nil || e.down {
		return
	}
	d := a.Schedule(m.clock())
	if m.p == lending {
		for _, r := range d.Stop {
			m.stop(e, r)
		}
	}
	for _, t := range d.Start {
		s := &sequence{prompt: m.d.unique, left: m.d.item - t.Partial.Chunks, generated: t.Partial.Chunks, ref: t.Ref}
		if t.Partial.Chunks > 0 {
			s.prompt = 0 // a resumed sequence's prefix is cached
		}
		s.done = func() {
			m.after(m.d.between, func() { m.ended(e, a, s, batch.Ending{End: batch.Finished, Line: []byte("{}")}) })
		}
		m.after(m.d.between, func() { m.submit(e, s) })
		m.track(e, s)
	}
	r, err := a.NextReport(m.clock(), func(n int) []ledger.Claim {
		jobs := m.ledger.Read(ledger.Query{Subject: ledger.Open}).Jobs
		return batch.Pick(m.s, batch.Demand{Jobs: jobs, Items: n, Capacity: m.capacity()}, m.clock())
	})
	if err != nil || r == nil {
		return
	}
	b := ledger.EncodeCommand(ledger.Command{At: m.clock(), Report: r})
	m.after(6*m.d.between, func() { // to the leader, to a quorum and its disks, and back
		o, err := ledger.DecodeOutcome(m.ledger.Apply(0, b))
		if err != nil || e.agent != a {
			return
		}
		v := batch.Reply{Outcome: o}
		for _, g := range o.Grants {
			v.Tasks = append(v.Tasks, batch.Task{Grant: g, Job: ledger.Job{Repeatable: true}})
		}
		a.HandleReply(v)
		m.act(e)
	})
}

// capacity estimates the batch tokens per second as the mean so far; 0, unknown, in the first 2 s.
func (m *model) capacity() float64 {
	if m.now < 2*time.Second {
		return 0
	}
	return float64(m.stats.batchTokens) / m.now.Seconds()
}

// trackedRuns returns the runs of the engine's Agent.
func (e *modelEngine) trackedRuns() map[ledger.Ref]*sequence {
	if e.runs == nil {
		e.runs = map[ledger.Ref]*sequence{}
	}
	return e.runs
}

func (m *model) track(e *modelEngine, s *sequence) {
	e.trackedRuns()[s.ref] = s
}

// stop cancels a run: the engine frees its slot when the cancel arrives, and the Agent receives the end one delay
// later.
func (m *model) stop(e *modelEngine, r ledger.Ref) {
	s := e.trackedRuns()[r]
	if s == nil {
		return
	}
	m.stats.stops++
	a := e.agent
	m.after(m.d.between, func() {
		if s.left <= 0 {
			return
		}
		s.cancelled = true
		m.after(m.d.between, func() {
			m.ended(e, a, s, batch.Ending{End: batch.Preempted, Partial: batch.Partial{Chunks: s.generated}})
		})
	})
}

func (m *model) ended(e *modelEngine, a *batch.Agent, s *sequence, v batch.Ending) {
	if e.agent != a {
		return
	}
	delete(e.trackedRuns(), s.ref)
	a.RunEnded(s.ref, v, m.clock())
	m.act(e)
}

// loseVMAndUpstream removes VM 1, as a lease holder, and engine 0 for the rest of the run. VM 2 takes their leases
// over when they have expired.
func (m *model) loseVMAndUpstream() {
	lost := m.engines[0]
	lost.down = true
	a := lost.agent
	lost.agent = nil
	if a == nil {
		return
	}
	for _, e := range m.engines {
		if e.holder != 1 && e != lost {
			continue
		}
		e.agent = nil
		e.holder = 2
		m.after(m.s.LeaseTime+m.s.Grace+m.s.Stagger+m.s.Poll, func() {
			for _, s := range e.trackedRuns() {
				s.cancelled = true // the new holder cancels the items of the previous one
			}
			clear(e.trackedRuns())
			if e == lost {
				m.takeLease(e, 2)
				l, _ := e.agent.Close()
				for _, r := range l {
					m.ledger.Apply(0, ledger.EncodeCommand(ledger.Command{At: m.clock(), Report: r}))
				}
				return
			}
			m.takeLease(e, 2)
		})
	}
}
