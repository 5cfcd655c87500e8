package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/pace"
	"snipetack/internal/coordination/roster"
)

// paces models streams of several entry VMs before engines of different speeds whose hosts have noisy neighbours, beside batch items that take the
// slots which are left. Pools are the real ones; callers, engines, items and the reports of loads are modelled.
type paces struct {
	rule   paceRule
	load   func(t time.Duration) float64 // streams a second
	items  bool
	length time.Duration
	seed   uint64

	r       *rand.Rand
	began   time.Time
	now     time.Duration
	engines []*paceEngine
	vms     []*paceVM
	events  map[time.Duration][]func()
	leader  map[string]map[string]int // what the leading batch VM knows of the streams, by VM
	shared  []pace.Shared             // on the way

	asked, onTime, served, refused, waitedThere int
	firsts                                      []time.Duration
}

// paceRule is how entry VMs know the speeds of engines.
type paceRule int

const (
	pacesIgnored  paceRule = iota // as before
	pacesKnown                    // at any moment
	pacesReported                 // by the reports
)

const (
	paceTick      = 2 * time.Millisecond
	paceVMs       = 62
	paceEngines   = 57
	paceZones     = 3
	paceRun       = 750 * time.Millisecond
	paceFirst     = 50 * time.Millisecond
	paceObjective = 300 * time.Millisecond
	paceDeadline  = 5 * time.Second
	pacePatience  = 2400 * time.Millisecond
	paceReport    = 40 * time.Millisecond // between reports of an entry VM
	paceHint      = 26 * time.Millisecond // between hints
	paceAge       = 110 * time.Millisecond
	paceQueue     = 4 // streams that an engine queues before it refuses
)

// paceEngine runs work in order of arrival.
type paceEngine struct {
	list             roster.Upstream
	base             float64 // usual factor
	slow             float64
	until            time.Duration
	silent, nonsense bool
	running, queue   []*paceWork
	items            int // assigned by the leading batch VM
}

// paceWork is a stream or an item at an engine.
type paceWork struct {
	item           bool
	gone           bool
	left           float64 // seconds at factor 1
	first          float64 // the same, until the first event
	onFirst, onEnd func()
}

type paceVM struct {
	zone    string
	pool    *dispatch.Pool
	open    sync.Map // addresses with an idle connection; the pool also asks from its timers
	waiting []*paceStream
	urgent  atomic.Bool
}

type paceStream struct {
	vm      *paceVM
	sent    time.Duration
	refused bool
	exclude []string
	tries   int
	run     float64
	slot    <-chan dispatch.Choice
}

func (s *paces) after(d time.Duration, f func()) {
	at := s.now + max(paceTick, (d+paceTick-1)/paceTick*paceTick)
	s.events[at] = append(s.events[at], f)
}

func (s *paces) clock() time.Time { return s.began.Add(s.now) }

// factor is the pace of an engine now.
func (s *paces) factor(e *paceEngine) float64 {
	if s.now < e.until {
		return e.base * e.slow
	}
	return e.base
}

func (s *paces) play() {
	s.r = rand.New(rand.NewPCG(s.seed, 7))
	s.began = time.Now()
	s.events = map[time.Duration][]func(){}
	s.leader = map[string]map[string]int{}
	var list []roster.Upstream
	for i := range paceEngines {
		e := &paceEngine{base: 1.2, slow: 1, list: roster.Upstream{ID: fmt.Sprint("up-", i), Service: "s", Address: fmt.Sprint(i), Zone: fmt.Sprint(i % paceZones), Slots: slots}}
		if i%4 == 0 {
			e.base = 0.55
		}
		e.silent, e.nonsense = i == 1, i == 2
		s.engines = append(s.engines, e)
		list = append(list, e.list)
	}
	for i := range paceVMs {
		v := &paceVM{zone: fmt.Sprint(i % paceZones)}
		v.pool = dispatch.New(dispatch.Deps{Zone: v.zone, Connected: func(a string) bool { _, ok := v.open.Load(a); return ok }, OnPreemption: func(dispatch.Choice) { v.urgent.Store(true) },
			LoadAge: func() time.Duration { return paceAge }})
		v.pool.SetUpstreams(s.began, list)
		s.vms = append(s.vms, v)
	}
	neighbours := rand.New(rand.NewPCG(s.seed, 9))
	due, arrivals := 0.0, rand.New(rand.NewPCG(s.seed, 8))
	for s.now = 0; s.now < s.length; s.now += paceTick {
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
		if s.now < s.length-paceDeadline {
			for due += s.load(s.now) * paceTick.Seconds() * 2 * arrivals.Float64(); due >= 1; due-- {
				s.asked++
				s.arrive(&paceStream{vm: s.vms[arrivals.IntN(paceVMs)], sent: s.now, run: paceRun.Seconds() * (0.5 + arrivals.Float64())})
			}
		}
		s.neighbours(neighbours)
		for _, e := range s.engines {
			s.work(e)
		}
		s.tell()
		s.know()
		if s.items && s.now%(10*time.Millisecond) == 0 {
			s.schedule()
		}
		s.assigned()
		time.Sleep(paceTick)
	}
}

// neighbours slows engines: each 2.5 times for 0.6 s every six seconds on average, and one four times for ten seconds.
func (s *paces) neighbours(neighbours *rand.Rand) {
	for i, e := range s.engines {
		if s.now >= e.until && neighbours.Float64() < paceTick.Seconds()/6 {
			e.slow, e.until = 2.5, s.now+600*time.Millisecond
		}
		if i == 4 && s.now == 5*time.Second {
			e.slow, e.until = 4, s.now+10*time.Second
		}
	}
}

// work runs an engine for a tick.
func (s *paces) work(e *paceEngine) {
	done := paceTick.Seconds() / s.factor(e)
	l := e.running[:0]
	for _, w := range e.running {
		if w.gone {
			continue
		}
		w.left -= done
		if w.first > 0 {
			if w.first -= done; w.first <= 0 && w.onFirst != nil {
				w.onFirst()
			}
		}
		if w.left > 0 {
			l = append(l, w)
			continue
		}
		w.onEnd()
	}
	e.running = l
	for len(e.queue) > 0 && len(e.running) < slots {
		if w := e.queue[0]; !w.gone {
			e.running = append(e.running, w)
		}
		e.queue = e.queue[1:]
	}
}

// report is what the engine says in a response.
func (s *paces) report(e *paceEngine) pace.Report {
	r := pace.Report{Running: len(e.running), Waiting: len(e.queue), Slots: slots, Factor: s.factor(e)}
	if e.silent {
		return pace.Report{}
	}
	if e.nonsense {
		r.Factor = []float64{0.001, 0.12, 7, 900}[s.r.IntN(4)]
	}
	return r
}

// tell passes on loads and paces.
func (s *paces) tell() {
	now := s.clock()
	for i, v := range s.vms {
		if !v.urgent.Load() && (s.now+time.Duration(i)*paceTick)%paceReport != 0 {
			continue
		}
		m, l, urgent := v.pool.InFlight(), v.pool.TakePaces(now), v.urgent.Load()
		v.urgent.Store(false)
		d := 30 * time.Millisecond
		if urgent {
			d = 3 * time.Millisecond
		}
		at := s.now
		s.after(d, func() {
			s.leader[fmt.Sprint(i)] = m
			for _, x := range l {
				x.Age += s.now - at
				s.shared = append(s.shared, x)
			}
		})
	}
	if s.now%paceHint != 0 {
		return
	}
	sum := map[string]int{}
	for _, m := range s.leader {
		for id, n := range m {
			sum[id] += n
		}
	}
	batch := map[string]int{}
	for _, e := range s.engines {
		batch[e.list.ID] = e.items
	}
	shared := s.shared
	s.shared = nil
	at := s.now
	s.after(26*time.Millisecond, func() { // the second step of the hints
		for i, v := range s.vms {
			m := map[string]dispatch.Load{}
			for _, e := range s.engines {
				id := e.list.ID
				m[id] = dispatch.Load{Online: sum[id] - s.leader[fmt.Sprint(i)][id], Batch: batch[id]}
				if m[id].Online < 0 {
					m[id] = dispatch.Load{Batch: batch[id]}
				}
			}
			v.pool.SetLoads(s.clock(), m)
			if s.rule == pacesReported {
				l := slices.Clone(shared)
				for j := range l {
					l[j].Age += s.now - at
				}
				v.pool.SetPaces(s.clock(), l)
			}
		}
	})
}

// know tells all VMs the true speeds.
func (s *paces) know() {
	if s.rule != pacesKnown || s.now%(10*time.Millisecond) != 0 {
		return
	}
	for _, v := range s.vms {
		var l []pace.Shared
		for _, e := range s.engines {
			l = append(l, pace.Shared{ID: e.list.ID, Factor: s.factor(e)})
		}
		v.pool.SetPaces(s.clock(), l)
	}
}

// schedule starts and preempts items by what the leading batch VM knows; one slot of each engine stays free.
func (s *paces) schedule() {
	online := map[string]int{}
	for _, m := range s.leader {
		for id, n := range m {
			online[id] += n
		}
	}
	for _, e := range s.engines {
		want := max(0, slots-1-online[e.list.ID])
		for _, l := range [][]*paceWork{e.queue, e.running} {
			for i := len(l) - 1; i >= 0 && e.items > want; i-- {
				if w := l[i]; w.item && !w.gone {
					w.gone = true
					e.items--
				}
			}
		}
		for ; e.items < want; e.items++ {
			e.queue = append(e.queue, &paceWork{item: true, left: 4 + 3*s.r.Float64(), onEnd: func() { e.items-- }})
		}
	}
}

func (c *paceStream) latest() time.Duration {
	return c.sent + pacePatience - paceFirst
}

// arrive places a stream.
func (s *paces) arrive(c *paceStream) {
	at := s.clock()
	if c.tries++; c.tries > 6 {
		s.refuse(c)
		return
	}
	x, wait, ok := c.vm.pool.Take(at, dispatch.Request{Service: "s", Exclude: c.exclude, Latest: s.began.Add(c.latest()), MaxWait: c.latest() - s.now, Objective: paceObjective, FirstBy: s.began.Add(c.sent + paceObjective)})
	switch {
	case ok:
		s.send(c, x)
	case wait == nil:
		s.refuse(c)
	default:
		c.slot = wait
		c.vm.waiting = append(c.vm.waiting, c)
	}
}

// refuse lets a caller return once, as soon as it was told to.
func (s *paces) refuse(c *paceStream) {
	s.refused++
	if c.refused {
		return
	}
	c.refused, c.exclude, c.tries = true, nil, 0
	d := min(c.vm.pool.Forecast(s.clock(), "s"), (c.sent+pacePatience-s.now)/3)
	c.vm = s.vms[s.r.IntN(paceVMs)]
	s.after(d, func() { s.arrive(c) })
}

// assigned sends the queued streams that got a slot.
func (s *paces) assigned() {
	for _, v := range s.vms {
		l := v.waiting
		v.waiting = nil
		for _, c := range l {
			select {
			case x, ok := <-c.slot:
				if ok {
					s.send(c, x)
				} else {
					s.refuse(c)
				}
				continue
			default:
			}
			if s.now < c.latest() {
				v.waiting = append(v.waiting, c)
				continue
			}
			v.pool.Leave(s.clock(), "s", c.slot)
			s.refuse(c)
		}
	}
}

// send sends a stream to an engine.
func (s *paces) send(c *paceStream, x dispatch.Choice) {
	c.vm.open.Delete(x.Address)
	var e *paceEngine
	for _, y := range s.engines {
		if y.list.ID == x.ID {
			e = y
		}
	}
	delay := 100 * time.Microsecond
	if e.list.Zone != c.vm.zone {
		delay = 1400 * time.Microsecond
	}
	placed := s.now
	s.after(delay, func() {
		if len(e.queue) >= paceQueue {
			s.after(delay, func() {
				c.vm.pool.End(s.clock(), x)
				c.exclude = append(c.exclude, x.ID)
				s.arrive(c)
			})
			return
		}
		if len(e.running) >= slots {
			s.waitedThere++
		}
		late := true
		e.queue = append(e.queue, &paceWork{left: c.run, first: paceFirst.Seconds(),
			onFirst: func() {
				r := s.report(e)
				s.after(delay, func() {
					s.firsts = append(s.firsts, s.now-c.sent)
					late = s.now-c.sent > paceObjective
					if s.rule != pacesIgnored {
						c.vm.pool.Reported(s.clock(), x, r, s.now-placed)
					}
				})
			},
			onEnd: func() {
				s.after(delay, func() {
					c.vm.pool.End(s.clock(), x)
					c.vm.open.Store(x.Address, true)
					if s.now-c.sent <= paceDeadline {
						s.served++
						if !late {
							s.onTime++
						}
					}
				})
			}})
	})
}

func paceLoads() map[string]func(time.Duration) float64 {
	capacity := 0.0
	for i := range paceEngines {
		f := 1.2
		if i%4 == 0 {
			f = 0.55
		}
		capacity += slots / (f * paceRun.Seconds())
	}
	return map[string]func(time.Duration) float64{
		"waves": func(t time.Duration) float64 {
			if t%(5200*time.Millisecond) < 3*time.Second {
				return 0.38 * 270
			}
			return 1.85 * 270
		},
		"full":       func(time.Duration) float64 { return 0.8 * capacity },
		"twice full": func(time.Duration) float64 { return 2 * capacity },
	}
}

// playPaces plays a load with a rule, the same callers and neighbours for each rule, and returns the shares of streams on time by seed.
func playPaces(t *testing.T, load string, items bool, rule paceRule, seeds int) []float64 {
	var onTime []float64
	var firsts []time.Duration
	asked, served, there := 0, 0, 0
	for seed := range seeds {
		synctest.Test(t, func(*testing.T) {
			s := &paces{rule: rule, load: paceLoads()[load], items: items, length: 16 * time.Second, seed: uint64(seed)}
			s.play()
			asked, served, there, firsts = asked+s.asked, served+s.served, there+s.waitedThere, append(firsts, s.firsts...)
			onTime = append(onTime, float64(s.onTime)/float64(s.asked))
		})
	}
	t.Logf("%s, items %v, %v: %d streams, on time %.4f (%.3f), served %.4f, found no free slot %.3f; first event p50 %v, p90 %v, p99 %v", load, items, rule, asked,
		meanOf(onTime), onTime, float64(served)/float64(asked), float64(there)/float64(asked), percentile(firsts, 0.5), percentile(firsts, 0.9), percentile(firsts, 0.99))
	return onTime
}

func (r paceRule) String() string {
	return [...]string{"paces ignored", "paces known", "paces reported"}[r]
}

func meanOf(l []float64) float64 {
	sum := 0.0
	for _, x := range l {
		sum += x
	}
	return sum / float64(len(l))
}

// paceNoise is the spread of the share of streams on time over seeds, as measured for the rule that ignores paces.
const paceNoise = 0.006

// TestReportedPaces guards against an estimate that misleads the choice of upstreams: with reports as old as they are, no fewer streams may be on time
// than if all speeds were known at any moment, nor than without the reports. The tolerance is three standard errors of the difference of two means.
func TestReportedPaces(t *testing.T) {
	seeds := 2
	if n, err := strconv.Atoi(os.Getenv("SNIPETACK_MODEL_SEEDS")); err == nil {
		seeds = n // for the table in docs/design/estimates.md
	}
	for _, c := range []struct {
		load   string
		items  bool
		better bool // than without reports
	}{{"waves", true, false}, {"full", true, true}, {"full", false, true}, {"twice full", false, false}} {
		t.Run(fmt.Sprint(c.load, " items ", c.items), func(t *testing.T) {
			t.Parallel()
			before := playPaces(t, c.load, c.items, pacesIgnored, seeds)
			known := playPaces(t, c.load, c.items, pacesKnown, seeds)
			reported := playPaces(t, c.load, c.items, pacesReported, seeds)
			tolerance := 3 * paceNoise * math.Sqrt(2/float64(seeds))
			require.GreaterOrEqual(t, meanOf(reported), meanOf(known)-tolerance, "tolerance %.4f", tolerance)
			require.GreaterOrEqual(t, meanOf(reported), meanOf(before)-tolerance, "tolerance %.4f", tolerance)
			if c.better {
				require.Greater(t, meanOf(reported), meanOf(before))
			}
		})
	}
}
