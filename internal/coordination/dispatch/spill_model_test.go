package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/spillover"
)

// regions models three data centres with entry VMs and engines of their own, whose callers stay or leave by the rule of the pools. Pools and controllers are the real
// ones; callers, engines, the way between data centres and the reports of loads are modelled.
type regions struct {
	regionsCase
	seed uint64

	mu      sync.Mutex // several requests may get their slots at once
	r       *rand.Rand
	began   time.Time
	queue   steps
	pools   [regionZones][]*dispatch.Pool
	engines map[string]*contestEngine
	zones   [regionZones]regionSeen
	seconds map[int]int // requests that left, by second
}

// regionsCase is a load and a rule.
type regionsCase struct {
	engines  [regionZones]int
	demand   [regionZones]float64 // of the callers of a data centre, in relation to the slots of regionEngines
	until    time.Duration        // from when on all demand is that of the last data centre; 0 is never
	way      time.Duration        // one way between data centres
	settings *spillover.Settings  // nil is a penalty for other data centres
}

// regionSeen is what the callers of a data centre saw.
type regionSeen struct {
	asked, served, prompt, left int
}

const (
	regionZones   = 3
	regionVMs     = 5 // in each data centre
	regionEngines = 5 // in each data centre, before any are lost
	regionLength  = 30 * time.Second
	regionRun     = 750 * time.Millisecond
	regionHints   = 50 * time.Millisecond
)

func (w *regions) now() time.Duration { return time.Since(w.began) }

func (w *regions) after(d time.Duration, f func()) {
	heap.Push(&w.queue, step{at: w.now() + max(0, d), do: f})
}

// play runs the model to its end.
func (w *regions) play() {
	w.r, w.began, w.engines, w.seconds = rand.New(rand.NewPCG(w.seed, 3)), time.Now(), map[string]*contestEngine{}, map[int]int{}
	var list []roster.Upstream
	for z := range regionZones {
		for i := range w.regionsCase.engines[z] {
			id := fmt.Sprint("up-", z, "-", i)
			list = append(list, roster.Upstream{ID: id, Service: "s", Address: id, Zone: fmt.Sprint(z), Slots: slots})
			w.engines[id] = &contestEngine{}
		}
	}
	for z := range regionZones {
		for range regionVMs {
			d := dispatch.Deps{Zone: fmt.Sprint(z), Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}}
			if w.settings != nil {
				d.Spillover = spillover.New(*w.settings, spillover.Deps{Peers: func() int { return regionVMs }, Age: func() time.Duration { return 2 * regionHints },
					Rand: rand.New(rand.NewPCG(w.seed, uint64(z))).Float64})
			}
			p := dispatch.New(d)
			p.SetUpstreams(time.Now(), list)
			w.pools[z] = append(w.pools[z], p)
		}
		w.after(0, func() { w.arrive(z) })
	}
	w.after(regionHints, w.report)
	for len(w.queue) > 0 {
		s := heap.Pop(&w.queue).(step)
		time.Sleep(s.at - w.now())
		w.mu.Lock()
		s.do()
		w.mu.Unlock()
		synctest.Wait()
	}
}

// report tells each VM what all had in flight a moment ago.
func (w *regions) report() {
	sum, own := map[string]int{}, map[*dispatch.Pool]map[string]int{}
	for _, l := range w.pools {
		for _, p := range l {
			own[p] = p.InFlight()
			for id, n := range own[p] {
				sum[id] += n
			}
		}
	}
	w.after(regionHints/2, func() {
		for p, m := range own {
			l := map[string]dispatch.Load{}
			for id, n := range sum {
				l[id] = dispatch.Load{Online: n - m[id]}
			}
			p.SetLoads(time.Now(), l)
		}
	})
	if w.now() < regionLength+6*time.Second {
		w.after(regionHints, w.report)
	}
}

// arrive lets a caller send a request to a VM of its data centre, and schedules the next one.
func (w *regions) arrive(z int) {
	if w.now() >= regionLength {
		return
	}
	p := w.pools[z][w.r.IntN(regionVMs)]
	seen := &w.zones[z]
	seen.asked++
	sent, run := w.now(), time.Duration((0.5+w.r.Float64())*float64(regionRun))
	latest := sent + 2*time.Second
	c, slot, ok := p.Take(time.Now(), dispatch.Request{Service: "s", Size: regionRun, Latest: w.began.Add(latest), MaxWait: latest - sent})
	switch {
	case ok:
		w.serve(z, p, c, sent, run)
	case slot != nil:
		gone, ended := make(chan struct{}), false
		go func() {
			select {
			case x, ok := <-slot:
				w.mu.Lock()
				defer w.mu.Unlock()
				ended = true
				if ok {
					w.serve(z, p, x, sent, run)
				}
			case <-gone:
			}
		}()
		w.after(latest-w.now(), func() {
			if !ended {
				close(gone)
				p.Leave(time.Now(), "s", slot)
			}
		})
	}
	demand := w.demand[z]
	if w.until > 0 && w.now() > w.until {
		demand = w.demand[regionZones-1]
	}
	rate := demand * regionEngines * slots / regionRun.Seconds()
	w.after(time.Duration(w.r.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(z) })
}

// serve runs a request at an engine once that has a slot free.
func (w *regions) serve(z int, p *dispatch.Pool, c dispatch.Choice, sent, run time.Duration) {
	way := time.Duration(0)
	if c.ID[:4] != fmt.Sprint("up-", z) {
		way = w.way
		w.zones[z].left++
		w.seconds[int(w.now()/time.Second)]++
	}
	e := w.engines[c.ID]
	start := func() {
		first := w.now() + contestFirst + way
		w.after(run, func() {
			e.running--
			if len(e.waiting) > 0 {
				e.running++
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			w.after(way, func() { p.End(time.Now(), c) })
			w.zones[z].served++
			if first-sent <= contestObjective {
				w.zones[z].prompt++
			}
		})
	}
	w.after(way, func() {
		if e.running >= slots {
			e.waiting = append(e.waiting, start)
			return
		}
		e.running++
		start()
	})
}

// total sums up the data centres.
func (w *regions) total() (served, prompt, left float64) {
	var s regionSeen
	for _, x := range w.zones {
		s.asked, s.served, s.prompt, s.left = s.asked+x.asked, s.served+x.served, s.prompt+x.prompt, s.left+x.left
	}
	n := float64(s.asked)
	return float64(s.served) / n, float64(s.prompt) / n, float64(s.left) / n
}

func spilled(t *testing.T, name string, c regionsCase) *regions {
	w := &regions{regionsCase: c, seed: 1}
	synctest.Test(t, func(*testing.T) { w.play() })
	served, prompt, left := w.total()
	t.Logf("%-44s %.3f served, %.3f prompt, %.3f leave %+v", name, served, prompt, left, w.zones)
	return w
}

// TestRequestsThatLeaveTheirDataCentre plays the rule of spillover beside the penalty for other data centres: as many callers are served in time, and fewer requests leave. It
// guards against traffic between data centres that gains nothing, and against an excess that stays where it can't be served.
func TestRequestsThatLeaveTheirDataCentre(t *testing.T) {
	full := [regionZones]int{regionEngines, regionEngines, regionEngines}
	for _, x := range []struct {
		name string
		c    regionsCase
		most float64 // of the requests that may leave
	}{
		{"even", regionsCase{engines: full, demand: [regionZones]float64{0.6, 0.6, 0.6}}, 0.03},
		{"uneven", regionsCase{engines: full, demand: [regionZones]float64{0.9, 0.5, 0.3}}, 0.1},
		{"3.5 times the usual", regionsCase{engines: full, demand: [regionZones]float64{1.4, 0.4, 0.4}}, 0.28},
		{"engines lost", regionsCase{engines: [regionZones]int{1, regionEngines, regionEngines}, demand: [regionZones]float64{0.5, 0.5, 0.5}}, 0.28},
		{"all engines lost", regionsCase{engines: [regionZones]int{0, regionEngines, regionEngines}, demand: [regionZones]float64{0.5, 0.5, 0.5}}, 0.4},
		{"all busy", regionsCase{engines: full, demand: [regionZones]float64{1.6, 1.1, 1.1}}, 0.03},
	} {
		for _, way := range []time.Duration{0, 1400 * time.Microsecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprint(x.name, " ", way), func(t *testing.T) {
				t.Parallel()
				c := x.c
				c.way = way
				before := spilled(t, fmt.Sprint(x.name, ", ", way, ", penalty"), c)
				s := spillover.DefaultSettings()
				s.RoundTrip = 2 * way
				c.settings = &s
				after := spilled(t, fmt.Sprint(x.name, ", ", way, ", spillover"), c)
				servedBefore, promptBefore, leftBefore := before.total()
				served, prompt, left := after.total()
				require.GreaterOrEqual(t, served, servedBefore-0.02)
				require.LessOrEqual(t, left, min(x.most, leftBefore))
				if way < 100*time.Millisecond { // else each request that leaves is late whatever the rule
					require.GreaterOrEqual(t, prompt, promptBefore-0.04)
				}
			})
		}
	}
}

// TestRequestsReturnWhenThereIsRoomAgain lets the demand of a data centre fall to the usual. It guards against requests that go on leaving, and against VMs that
// change over to and fro.
func TestRequestsReturnWhenThereIsRoomAgain(t *testing.T) {
	s := spillover.DefaultSettings()
	w := spilled(t, "returns", regionsCase{engines: [regionZones]int{regionEngines, regionEngines, regionEngines}, demand: [regionZones]float64{1.4, 0.4, 0.4},
		until: 15 * time.Second, way: 1400 * time.Microsecond, settings: &s})
	t.Logf("left, by second: %v", w.seconds)
	for i := 3; i < 15; i++ {
		require.InDelta(t, 28, w.seconds[i], 20, "the excess of second %d", i)
	}
	for i := 17; i < 30; i++ {
		require.LessOrEqual(t, w.seconds[i], 3, "second %d", i)
	}
}

// TestSpilloverYieldsToWhatARequestNeeds guards against a request that stays where no upstream may take it, or leaves the one that holds its state.
func TestSpilloverYieldsToWhatARequestNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := spillover.DefaultSettings()
		s.MaxFraction = 0
		c := spillover.New(s, spillover.Deps{Peers: func() int { return 1 }, Age: func() time.Duration { return time.Second }, Rand: func() float64 { return 0 }})
		var others []bool
		p := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}, Spillover: c,
			OnPlaced: func(other bool) { others = append(others, other) }})
		p.SetUpstreams(time.Now(), []roster.Upstream{{ID: "near", Service: "s", Address: "1", Zone: "a", Slots: 4, Version: "1"},
			{ID: "far", Service: "s", Address: "2", Zone: "b", Slots: 8, Version: "2"}})
		take := func(q dispatch.Request) dispatch.Choice {
			q.Service, q.MaxWait = "s", time.Hour
			x, _, _ := p.Take(time.Now(), q)
			return x
		}
		require.Equal(t, "near", take(dispatch.Request{}).ID)
		pinned := take(dispatch.Request{Pinned: true, Version: "2"})
		require.Equal(t, "far", pinned.ID)
		require.Equal(t, "none here", pinned.Left)
		require.Equal(t, "far", take(dispatch.Request{Prefer: "far"}).ID)
		require.Equal(t, "far", take(dispatch.Request{Only: "far"}).ID)
		require.Equal(t, "far", take(dispatch.Request{Exclude: []string{"near"}}).ID)
		require.Equal(t, []bool{false, true, true, true, true}, others)
		for range 3 {
			require.Equal(t, "near", take(dispatch.Request{}).ID)
		}
		require.Empty(t, take(dispatch.Request{}).ID, "no other may leave")
	})
}
