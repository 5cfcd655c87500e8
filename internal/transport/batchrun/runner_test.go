package batchrun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/relay"
)

const (
	itemEvents = 20
	eventTime  = 50 * time.Millisecond
	slots      = 4
	maxBodies  = 1 << 20
)

// engine is an upstream that sends an item's events one by one and fails as a test requests.
type engine struct {
	mu         sync.Mutex
	running    int
	maxRunning int
	runs       map[string][]relay.Sending                         // by item
	status     func(id string, run int) int                       // HTTP status of an item's nth run, counted from 1; 200 where it is nil
	full       func(id string) bool                               // whether the engine refuses an item without running it; never where it is nil
	unframed   bool                                               // responses have neither a length nor chunks
	breakAt    func(id string, run int) int                       // event after which a run is interrupted; 0 is never
	endless    *endless                                           // body of each item's first run
	body       func(ctx context.Context, id string) io.ReadCloser // body of an item's runs, where it is not nil and returns one
}

func (e *engine) Send(ctx context.Context, q *relay.Request, s relay.Sending) (*relay.Response, error) {
	e.mu.Lock()
	e.runs[q.ID] = append(e.runs[q.ID], s)
	n := len(e.runs[q.ID])
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.mu.Unlock()
	a := &relay.Response{Status: 200, Signed: true, Unframed: e.unframed}
	if e.status != nil {
		a.Status = e.status(q.ID, n)
	}
	if e.full != nil && e.full(q.ID) {
		a.Status, a.NotRun = 503, true
	}
	end := 0
	if e.breakAt != nil {
		end = e.breakAt(q.ID, n)
	}
	if e.endless != nil && n == 1 {
		e.endless.ctx, e.endless.e, e.endless.began = ctx, e, time.Now()
		a.Body = e.endless
		return a, nil
	}
	if e.body != nil {
		if b := e.body(ctx, q.ID); b != nil {
			a.Body = b
			return a, nil
		}
	}
	a.Body = &events{ctx: ctx, e: e, next: s.Resume + 1, end: uint64(end)}
	return a, nil
}

// load returns the number of current runs and its maximum so far.
func (e *engine) load() (now, highest int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.maxRunning
}

// history returns the runs of each item, in order.
func (e *engine) history() map[string][]relay.Sending {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runs)
}

// runsNow checks the number of current runs.
func (w *fixture) runsNow(t *testing.T, n int) {
	now, _ := w.engine.load()
	require.Equal(t, n, now)
}

// events is the response body of a run.
type events struct {
	ctx  context.Context //nolint:containedctx // its end fails Read, as with a connection
	e    *engine
	next uint64
	end  uint64
	once sync.Once
}

func (x *events) Read(b []byte) (int, error) {
	if x.end > 0 && x.next > x.end {
		return 0, errors.New("reset")
	}
	if x.next > itemEvents {
		return 0, io.EOF
	}
	select {
	case <-time.After(eventTime):
	case <-x.ctx.Done():
		return 0, x.ctx.Err()
	}
	n := copy(b, fmt.Sprintf("id: %d\ndata: %d\n\n", x.next, x.next))
	x.next++
	return n, nil
}

func (x *events) Close() error {
	x.once.Do(func() {
		x.e.mu.Lock()
		defer x.e.mu.Unlock()
		x.e.running--
	})
	return nil
}

// output returns the output of a complete item.
func output() string {
	var l []string
	for i := 1; i <= itemEvents; i++ {
		l = append(l, fmt.Sprint(i))
	}
	return strings.Join(l, "\n")
}

// fixture is a batch VM that leads, with one upstream.
type fixture struct {
	loadUnknown atomic.Bool
	docket      *docket.Docket
	engine      *engine
	hub         *Hub
	leads       atomic.Bool
	plan        atomic.Pointer[plan.Plan]
	list        atomic.Pointer[[]roster.Upstream]
	runner      *Runner
}

// itemPlan returns a configuration whose only service has the given memory in tokens. Items may be given up after giveUp.
func itemPlan(memory int, giveUp time.Duration) *plan.Plan {
	p := &plan.Plan{
		Routes: []plan.Route{{Name: "r", Host: "h", Prefix: "/", Kind: plan.Batch, Due: 18 * time.Second, GiveUp: giveUp, Attempts: 3,
			Targets: []plan.Target{{Service: "s", Weight: 1}}}},
		Services: map[string]plan.Service{"s": {Name: "s", Memory: memory}},
	}
	p.Index()
	return p
}

// noLimits admits all items.
type noLimits struct{}

func (noLimits) Limited(string) bool                                { return false }
func (noLimits) Observe(string, float64)                            {}
func (noLimits) ObserveCold(string, time.Duration)                  {}
func (noLimits) Take(context.Context, string) (bool, time.Duration) { return true, 0 }

// runFixture runs f in virtual time beside a Runner.
func runFixture(t *testing.T, e *engine, f func(w *fixture)) {
	synctest.Test(t, func(*testing.T) {
		e.runs = map[string][]relay.Sending{}
		w := &fixture{docket: docket.New(), engine: e, hub: NewHub(slog.New(slog.DiscardHandler))}
		w.leads.Store(true)
		w.plan.Store(itemPlan(0, 0))
		w.list.Store(&[]roster.Upstream{{ID: "up", Service: "s", Address: "a", Slots: slots}})
		r := New(Deps{Restarts: restart.New(func(time.Time, string) {}), Limits: noLimits{}, Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}),
			Segments:  func(map[string]string) []string { return nil },
			Docket:    w.docket,
			Upstreams: e,
			Propose: func(_ context.Context, c []byte) error {
				w.docket.Apply(0, c)
				return nil
			},
			Leads:     w.leads.Load,
			Plan:      w.plan.Load,
			List:      func() []roster.Upstream { return *w.list.Load() },
			Retention: time.Minute,
			MaxBodies: maxBodies,
			LoadAge:   func() time.Duration { return 0 },
			LoadKnown: func() bool { return !w.loadUnknown.Load() },
			Log:       slog.New(slog.DiscardHandler),
		}, w.hub)
		w.runner = r
		w.hub.OnChange(func(bool) { r.Wake() })
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		f(w)
		cancel()
		<-done
	})
}

func (w *fixture) submit(id string, items int) { w.submitAt(id, items, time.Now()) }

func (w *fixture) submitAt(id string, items int, accepted time.Time) {
	w.submitTo("h", id, items, accepted)
}

func (w *fixture) submitTo(host, id string, items int, accepted time.Time) {
	j := docket.Job{ID: id, Account: "x", Host: host, Accepted: accepted}
	for i := range items {
		j.Items = append(j.Items, docket.Item{ID: fmt.Sprint(id, i), Path: "/p", Tokens: 100})
	}
	w.docket.Apply(0, docket.EncodeCommand(docket.Command{Action: docket.Submit, Job: j}))
}

// results returns the ended items of a job by index.
func (w *fixture) results(id string) map[int]docket.Item {
	m := map[int]docket.Item{}
	w.docket.Read(id, func(j *docket.Job) {
		for _, i := range j.ResultOrder {
			m[i] = j.Items[i]
		}
	})
	return m
}

func TestItemsRunToCompletion(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.submit("j", 10)
		time.Sleep(5 * time.Second)
		l := w.results("j")
		require.Len(t, l, 10)
		for _, i := range l {
			require.Equal(t, docket.Complete, i.Outcome)
			require.Equal(t, output(), i.Output)
		}
		_, highest := w.engine.load()
		require.Equal(t, slots, highest)
	})
}

// TestOnlineBurstPreemptsItems fills the upstream with items; an entry VM then reports online requests in flight there. The
// items must free their slots within 20 ms and resume after the burst.
func TestOnlineBurstPreemptsItems(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.submit("j", slots)
		time.Sleep(500 * time.Millisecond)
		w.runsNow(t, slots)
		w.hub.Receive("entry", EncodeCounts(Counts{Requests: map[string]int{"up": slots}}))
		time.Sleep(20 * time.Millisecond)
		w.runsNow(t, 0)
		time.Sleep(time.Second)
		w.hub.Receive("entry", EncodeCounts(Counts{}))
		time.Sleep(2 * time.Second)
		for _, i := range w.results("j") {
			require.Equal(t, output(), i.Output)
		}
		require.Len(t, w.results("j"), slots)
		for _, l := range w.engine.history() {
			require.Greater(t, l[len(l)-1].Resume, uint64(5), "the run resumed after its last event")
		}
	})
}

func TestOutcomes(t *testing.T) {
	table := []struct {
		name    string
		status  func(id string, run int) int
		breakAt func(id string, run int) int
		want    docket.Outcome
		runs    int
	}{
		{"is interrupted twice", nil, func(_ string, n int) int { return []int{5, 9, 0}[min(n-1, 2)] }, docket.Complete, 3},
		{"can never succeed", func(string, int) int { return 422 }, nil, docket.Errored, 1},
		{"fails in each run", func(string, int) int { return 500 }, nil, docket.Errored, 3},
		{"fails once", func(_ string, n int) int { return []int{500, 200}[min(n-1, 1)] }, nil, docket.Complete, 2},
		{"gateway timeouts do not count as failures", func(_ string, n int) int { return []int{504, 504, 504, 504, 200}[min(n-1, 4)] }, nil, docket.Complete, 5},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			runFixture(t, &engine{status: c.status, breakAt: c.breakAt}, func(w *fixture) {
				w.submit("j", 1)
				time.Sleep(20 * time.Second)
				l := w.results("j")
				require.Len(t, l, 1)
				require.Equal(t, c.want, l[0].Outcome)
				require.Len(t, w.engine.history()["j0"], c.runs)
				if c.want == docket.Complete {
					require.Equal(t, output(), l[0].Output)
				}
			})
		})
	}
}

// TestResponseWithoutEndIsInterrupted lets the first run of an item get bytes without end: the run must end before it has read
// as much as an output of empty events can take, and the item must complete in the second one.
func TestResponseWithoutEndIsInterrupted(t *testing.T) {
	table := map[string]endless{
		"garbage without a line end":            {text: strings.Repeat("x", 16<<10)},
		"lines of an event without end":         {text: strings.Repeat("data: x\n", 1<<10)},
		"empty events without end":              {text: strings.Repeat("\n", 16<<10), pause: time.Millisecond},
		"comments without end":                  {text: strings.Repeat(": wait\n\n", 1<<10), pause: time.Millisecond},
		"events with data without end":          {text: strings.Repeat("data: x\n\n", 1<<10)},
		"events without data without end":       {text: strings.Repeat("data:\n\n", 1<<10)},
		"slow garbage without a line end":       {text: "x", pause: time.Second},
		"slow lines of an event without end":    {text: "data: x\n", pause: time.Second},
		"slow comments without end":             {text: ": wait\n\n", pause: time.Second},
		"numbered events with data, no end":     {numbered: strings.Repeat("x", 1<<10)},
		"numbered events of many lines, no end": {numbered: strings.Repeat("x\ndata: ", 1<<10)},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			e := &engine{endless: &x}
			var l map[int]docket.Item
			runFixture(t, e, func(w *fixture) {
				w.submit("j", 1)
				time.Sleep(20 * time.Second)
				l = w.results("j")
			})
			require.Less(t, x.sent, len("data:\n\n")*maxOutputBytes+maxNoDataBytes)
			require.LessOrEqual(t, x.ended, 5*time.Second)
			require.Len(t, e.history()["j0"], 2)
			require.Len(t, l, 1)
			require.Equal(t, docket.Complete, l[0].Outcome)
			require.Equal(t, output(), l[0].Output)
		})
	}
}

// endless is a response body that repeats a text, or numbered events with data.
type endless struct {
	text     string
	numbered string
	pause    time.Duration // before each repetition
	sent     int           // bytes
	ended    time.Duration // time until it was closed
	began    time.Time
	ctx      context.Context //nolint:containedctx // its end fails Read, as with a connection
	e        *engine
	n        int
	rest     string
}

// maxEndless is how many bytes an endless response sends before it stalls.
const maxEndless = 64 << 20

func (x *endless) Read(b []byte) (int, error) {
	if x.sent >= maxEndless {
		<-x.ctx.Done()
		return 0, x.ctx.Err()
	}
	select {
	case <-time.After(x.pause):
	case <-x.ctx.Done():
		return 0, x.ctx.Err()
	}
	if x.rest == "" {
		x.rest = x.text
		if x.numbered != "" {
			x.n++
			x.rest = fmt.Sprintf("id: %d\ndata: %s\n\n", x.n, x.numbered)
		}
	}
	n := copy(b, x.rest)
	x.rest = x.rest[n:]
	x.sent += n
	return n, nil
}

func (x *endless) Close() error {
	x.ended = time.Since(x.began)
	x.e.mu.Lock()
	defer x.e.mu.Unlock()
	x.e.running--
	return nil
}

func TestItemsOfAnEndedJobStop(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.submit("j", 20)
		time.Sleep(300 * time.Millisecond)
		w.docket.Apply(0, docket.EncodeCommand(docket.Command{Action: docket.End, Job: docket.Job{ID: "j", Account: "x"}}))
		time.Sleep(50 * time.Millisecond)
		w.runsNow(t, 0)
		n := len(w.engine.history())
		time.Sleep(5 * time.Second)
		require.Len(t, w.engine.history(), n)
	})
}

func TestLosingLeadershipStopsItems(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.submit("j", 20)
		time.Sleep(300 * time.Millisecond)
		w.leads.Store(false)
		time.Sleep(300 * time.Millisecond)
		w.runsNow(t, 0)
	})
}

func TestFinishedJobsAreDeletedAfterRetention(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.submit("j", 1)
		time.Sleep(time.Minute)
		require.Len(t, w.results("j"), 1)
		time.Sleep(clockMargin + time.Second)
		require.False(t, w.docket.Read("j", func(*docket.Job) {}))
	})
}

// TestJobOutlivesALeaderWhoseClockIsAhead guards against results that can't be read any more before their retention ends: a job
// was accepted by a leader whose clock was 5 s behind, and now a VM leads whose clock is 4 s ahead.
func TestJobOutlivesALeaderWhoseClockIsAhead(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.submitAt("j", 1, time.Now().Add(-9*time.Second))
		time.Sleep(time.Minute)
		require.Len(t, w.results("j"), 1)
	})
}

// TestItemWaitsForItsRouteByAnyLeadersClock guards against items that end as errored while the configuration with their route is
// still on its way, because the clocks of two leaders differ.
func TestItemWaitsForItsRouteByAnyLeadersClock(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.submitTo("new.host", "j", 1, time.Now().Add(-9*time.Second))
		time.Sleep(routeGrace - time.Second)
		require.Empty(t, w.results("j"))
		time.Sleep(clockMargin + time.Second)
		require.Equal(t, docket.Errored, w.results("j")[0].Outcome)
	})
}

func TestHintsHoldTheLoadsOfOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub(slog.New(slog.DiscardHandler))
		h.Receive("a", EncodeCounts(Counts{Requests: map[string]int{"up": 2, "down": 1}}))
		h.Receive("b", EncodeCounts(Counts{Requests: map[string]int{"up": 3}}))
		due := h.Due(time.Now(), map[string]int{"up": 4})
		require.Equal(t, map[string]dispatch.Load{"up": {Online: 3, Batch: 4}}, due["a"])
		require.Equal(t, map[string]dispatch.Load{"up": {Online: 2, Batch: 4}, "down": {Online: 1}}, due["b"])
		require.Empty(t, h.Due(time.Now(), map[string]int{"up": 4}), "nothing has changed")
		time.Sleep(reportExpiry + time.Second)
		require.Empty(t, h.Online(time.Now()), "reports of unresponsive entry VMs expire")
	})
}

// TestHintsOfACollectorHoldTheLoadsOfOtherDataCentres gives a hub the loads from elsewhere: they are part of each hint until they expire.
func TestHintsOfACollectorHoldTheLoadsOfOtherDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub(slog.New(slog.DiscardHandler))
		h.Receive("a", EncodeCounts(Counts{Requests: map[string]int{"near": 2}, Hashed: true}))
		h.Receive("b", EncodeCounts(Counts{Requests: map[string]int{"near": 3}}))
		require.True(t, h.Hashed("a"))
		require.False(t, h.Hashed("b"))
		h.SetBase(time.Now(), map[string]dispatch.Load{"near": {Online: 1, Batch: 2}, "far": {Online: 5}})
		due := h.Due(time.Now(), nil)
		require.Equal(t, map[string]dispatch.Load{"near": {Online: 4, Batch: 2}, "far": {Online: 5}}, due["a"])
		require.Equal(t, map[string]int{"near": 5}, h.Online(time.Now()), "the report to the leader holds only this data centre's requests")
		time.Sleep(baseExpiry)
		due = h.Due(time.Now(), nil)
		require.Equal(t, map[string]dispatch.Load{"near": {Online: 3}}, due["a"])
	})
}

func TestLoadsAreReadWithAnotherList(t *testing.T) {
	m := map[string]dispatch.Load{"a": {Online: 300, Batch: 1}, "c": {Batch: 2}}
	l, ok := DecodeLoads(EncodeLoads(m), []string{"b", "c", "d"})
	require.True(t, ok)
	require.Equal(t, map[string]dispatch.Load{"c": {Batch: 2}}, l)
	b := EncodeLoads(map[string]dispatch.Load{"a": {Online: 300, Batch: 1}})
	for n := 1; n < len(b); n++ {
		_, ok = DecodeLoads(b[:n], []string{"a"})
		require.False(t, ok)
	}
}

func TestHintsAreRejectedWithAnotherList(t *testing.T) {
	ids := []string{"a", "b", "c"}
	m := map[string]dispatch.Load{"a": {Online: 300, Batch: 1}, "c": {Batch: 2}}
	b := EncodeHint(7, ids, m)
	l, ok := DecodeHint(b, 7, ids)
	require.True(t, ok)
	require.Equal(t, m, l)
	_, ok = DecodeHint(b, 8, ids)
	require.False(t, ok)
	_, ok = DecodeHint(b[:len(b)-1], 7, ids)
	require.False(t, ok)
}

// TestNewLeaderWaitsForTheOnlineLoad lets a leader take over that has no report of the online load: it starts no item until it has, or until
// it has waited for long enough.
func TestNewLeaderWaitsForTheOnlineLoad(t *testing.T) {
	for name, reported := range map[string]bool{"reported": true, "never reported": false} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, &engine{}, func(w *fixture) {
				w.leads.Store(false)
				time.Sleep(time.Second)
				w.loadUnknown.Store(true)
				w.submit("j", slots)
				w.leads.Store(true)
				time.Sleep(500 * time.Millisecond)
				w.runsNow(t, 0)
				if reported {
					w.hub.Receive("e", EncodeCounts(Counts{Requests: map[string]int{"up": slots - 1}}))
					w.loadUnknown.Store(false)
					time.Sleep(maxPassInterval)
					w.runsNow(t, 1)
					return
				}
				time.Sleep(time.Second)
				w.runsNow(t, slots)
			})
		})
	}
}
