package batchrun

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"snipetack/internal/coordination/filler"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/relay"
)

// Timing of a Runner.
const (
	idleStep     = 200 * time.Millisecond // between looks when nothing happens
	leastStep    = 4 * time.Millisecond   // so that many events share a look
	commitTime   = 3 * time.Second        // of one result
	refusedPause = 150 * time.Millisecond // an upstream that had no room gets no item
	failedPause  = time.Second            // an upstream that broke off or fell silent gets no item
	failureBase  = 300 * time.Millisecond // an item whose run failed waits, twice as long each time
	failureMax   = 5 * time.Second
	streakBase   = 250 * time.Millisecond // an upstream that fails run after run gets no item, twice as long each time
	streakMost   = 8 * time.Second
	routeGrace   = 10 * time.Second // a route may be newer than the configuration here
	gapLimit     = 2 * time.Second  // a run without events is ended
)

// Deps are the collaborators of a Runner.
type Deps struct {
	Docket    *docket.Docket
	Upstreams relay.UpstreamProvider
	Propose   func(ctx context.Context, command []byte) error
	Leads     func() bool
	Plan      func() *plan.Plan // nil while there is none
	List      func() []roster.Upstream
	Retention time.Duration // for which a finished job is kept
	Log       *slog.Logger
}

// Runner runs items; it is safe for concurrent use.
type Runner struct {
	d    Deps
	hub  *Hub
	wake chan struct{} // has room for one

	mu      sync.Mutex
	runs    map[filler.Key]*run
	items   items
	wants   []filler.Pending     // of the last look; its memory is used again
	streaks map[string]int       // failed runs in a row, by upstream
	closed  map[string]time.Time // no item to an upstream before
	pace    filler.Pace
	wg      sync.WaitGroup
}

// run is an item at an upstream.
type run struct {
	filler.Run
	partial  *partial
	began    time.Time
	tokens   int
	cancel   context.CancelFunc
	stopping bool // was told to give way
}

// partial is what earlier runs of an item have brought.
type partial struct {
	last uint64 // event
	data []string
	ran  time.Duration
}

// New returns a Runner that learns of online requests from a Hub.
func New(d Deps, h *Hub) *Runner {
	r := &Runner{d: d, hub: h, wake: make(chan struct{}, 1)}
	r.reset()
	h.onChange = r.signal
	return r
}

// Run starts and stops items until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wg.Wait()
	t := time.NewTicker(idleStep)
	defer t.Stop()
	for {
		changed := r.d.Docket.Changed()
		r.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-changed:
		case <-r.wake:
		}
		time.Sleep(leastStep)
	}
}

// InFlight returns the items in flight, by upstream.
func (r *Runner) InFlight() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string]int{}
	for _, x := range r.runs {
		m[x.Upstream]++
	}
	return m
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) reset() {
	r.runs = map[filler.Key]*run{}
	r.items = items{}
	r.streaks = map[string]int{}
	r.closed = map[string]time.Time{}
}

// step compares what runs with what should.
func (r *Runner) step(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.d.Plan()
	if !r.d.Leads() || p == nil {
		for _, x := range r.runs {
			x.cancel()
		}
		if len(r.runs) == 0 && !r.d.Leads() {
			r.reset()
		}
		return
	}
	waiting, jobs := r.waiting(ctx, now, p)
	r.stopEnded(jobs)
	var running []filler.Run
	for _, x := range r.runs {
		y := x.Run
		y.Left = r.pace.Left(x.tokens, x.partial.ran+now.Sub(x.began))
		running = append(running, y)
	}
	d := filler.Plan(now, r.rooms(now), running, waiting)
	for _, k := range d.Preempted {
		r.stop(k, "online")
	}
	for _, k := range d.Displaced {
		r.stop(k, "item due")
	}
	for _, s := range d.Starts {
		r.start(ctx, s, p)
	}
}

// stop ends a run that gives way.
func (r *Runner) stop(k filler.Key, to string) {
	x := r.runs[k]
	if x.stopping {
		return
	}
	x.stopping = true
	r.d.Log.Info("item gives way", "job", k.Job, "item", k.Item, "upstream", x.Upstream, "to", to)
	x.cancel()
}

// waiting returns the items that may start, and the jobs that have open items.
func (r *Runner) waiting(ctx context.Context, now time.Time, p *plan.Plan) ([]filler.Pending, map[string]bool) {
	l := r.wants[:0]
	open := map[string]bool{}
	r.d.Docket.View(func(j *docket.Job) bool {
		if j.Done() {
			if j.Age(now) > r.d.Retention {
				go r.commit(ctx, docket.Command{Action: docket.Forget, Job: docket.Job{ID: j.ID}})
			}
			return true
		}
		open[j.ID] = true
		states := r.items.of(j)
		for i := range j.Items {
			if j.Items[i].Outcome != docket.Open {
				states[i] = item{run: states[i].run}
				continue
			}
			if w, ok := r.want(ctx, now, p, j, filler.Key{Job: j.ID, Item: i}, &states[i]); ok {
				l = append(l, w)
			}
		}
		return true
	})
	r.wants = l
	return l, open
}

// want tells whether an item may start now, and where to.
func (r *Runner) want(ctx context.Context, now time.Time, p *plan.Plan, j *docket.Job, k filler.Key, x *item) (filler.Pending, bool) {
	if x.run != nil || x.ending || now.Before(x.pause) {
		return filler.Pending{}, false
	}
	u := x.routeOf(p, j.Host, j.Items[k.Item].Path)
	if u == nil {
		if j.Age(now) > routeGrace {
			r.list(ctx, k, docket.Errored, "")
		}
		return filler.Pending{}, false
	}
	ran := time.Duration(0)
	if x.partial != nil {
		ran = x.partial.ran
	}
	t := filler.Task{Key: k, Due: j.Accepted.Add(u.Due), Left: r.pace.Left(j.Items[k.Item].Tokens, ran)}
	return filler.Pending{Task: t, Service: relay.Choose(u.Targets), Avoid: x.avoid}, true
}

// stopEnded ends the runs of jobs that are ended.
func (r *Runner) stopEnded(open map[string]bool) {
	for k, x := range r.runs {
		if !open[k.Job] {
			x.cancel()
		}
	}
	r.items.keep(open)
}

func (r *Runner) rooms(now time.Time) []filler.Capacity {
	online := r.hub.Online(now)
	var l []filler.Capacity
	for _, u := range r.d.List() {
		l = append(l, filler.Capacity{
			ID:      u.ID,
			Service: u.Service,
			Slots:   u.Slots,
			Online:  online[u.ID],
			Closed:  u.Draining || now.Before(r.closed[u.ID]),
		})
	}
	return l
}

// start runs an item at an upstream.
func (r *Runner) start(ctx context.Context, s filler.Start, p *plan.Plan) {
	var q *relay.Request
	var due time.Time
	account, attempts, size := "", 1, 0
	r.d.Docket.Read(s.Key.Job, func(j *docket.Job) {
		i := j.Items[s.Key.Item]
		if u := p.Route(j.Host, i.Path); u != nil {
			due, attempts = j.Accepted.Add(u.Due), u.Attempts
		}
		account, size = j.Account, i.Tokens
		q = newRequest(j.Host, i)
	})
	address := ""
	for _, u := range r.d.List() {
		if u.ID == s.Upstream {
			address = u.Address
		}
	}
	if q == nil || address == "" || r.items.get(s.Key) == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	i := r.items.get(s.Key)
	if i.partial == nil {
		i.partial = &partial{}
	}
	t := i.partial
	x := &run{Run: filler.Run{Task: filler.Task{Key: s.Key, Due: due}, Upstream: s.Upstream}, partial: t, cancel: cancel,
		began: time.Now(), tokens: size}
	r.runs[s.Key], i.run = x, x
	r.wg.Go(func() {
		defer cancel()
		o := r.carry(ctx, q, relay.Sending{Upstream: s.Upstream, Address: address, Account: account, Resume: t.last}, t)
		r.finished(x, o, attempts)
	})
}

// outcome is how a run ended.
type outcome int

const (
	complete outcome = iota
	stopped          // it gave way or its job ended
	refused          // the upstream did not run it
	failed           // the upstream says that the run failed
	hopeless         // the upstream says that no run can do it
	broken           // no whole answer came
)

// String returns the outcome's name in logs.
func (o outcome) String() string {
	return [...]string{"complete", "stopped", "refused", "failed", "hopeless", "broken"}[o]
}

// finished records the end of a run.
func (r *Runner) finished(x *run, o outcome, attempts int) {
	ctx := context.Background()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signal()
	delete(r.runs, x.Key)
	i := r.items.get(x.Key)
	if i == nil {
		i = &item{} // its job has ended
	}
	i.run = nil
	x.partial.ran += now.Sub(x.began)
	r.d.Log.Info("item run ended", "job", x.Key.Job, "item", x.Key.Item, "upstream", x.Upstream, "outcome", o.String(),
		"event", x.partial.last, "ran", now.Sub(x.began), "due_in", x.Due.Sub(now))
	switch o {
	case complete:
		delete(r.streaks, x.Upstream)
		r.pace.Learn(x.tokens, x.partial.ran)
		r.list(ctx, x.Key, docket.Complete, strings.Join(x.partial.data, "\n"))
	case hopeless:
		r.list(ctx, x.Key, docket.Errored, "")
	case failed:
		r.failed(ctx, now, x, i, attempts)
	case refused:
		r.closed[x.Upstream] = now.Add(refusedPause)
		i.pause = now.Add(rand.N(refusedPause))
	case broken:
		r.closed[x.Upstream] = now.Add(failedPause)
	case stopped:
	}
}

// failed counts a failed run and gives the item up when it has had its attempts.
func (r *Runner) failed(ctx context.Context, now time.Time, x *run, i *item, attempts int) {
	i.avoid = append(i.avoid, x.Upstream)
	r.streaks[x.Upstream]++
	if s := r.streaks[x.Upstream]; s > 1 { // one failure may be the item's own fault
		r.closed[x.Upstream] = now.Add(min(streakMost, streakBase<<min(s, 8)))
	}
	n := 0
	r.d.Docket.Read(x.Key.Job, func(j *docket.Job) { n = j.Items[x.Key.Item].Failures })
	i.partial = nil
	if n+1 >= max(1, attempts) {
		r.list(ctx, x.Key, docket.Errored, "")
		return
	}
	i.pause = now.Add(min(failureMax, failureBase<<min(n, 8)))
	go r.commit(ctx, docket.Command{Action: docket.Fail, Job: docket.Job{ID: x.Key.Job}, Item: x.Key.Item})
}

// list commits an item's result.
func (r *Runner) list(ctx context.Context, k filler.Key, o docket.Outcome, text string) {
	if x := r.items.get(k); x != nil {
		x.ending = true
	}
	go func() {
		c := docket.Command{Action: docket.RecordResult, Job: docket.Job{ID: k.Job}, Item: k.Item, Outcome: o, Output: text}
		if !r.commit(ctx, c) {
			r.mu.Lock()
			if x := r.items.get(k); x != nil {
				x.ending = false
			}
			r.mu.Unlock()
		}
	}()
}

func (r *Runner) commit(ctx context.Context, c docket.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTime)
	defer cancel()
	if err := r.d.Propose(ctx, docket.EncodeCommand(c)); err != nil {
		r.d.Log.Warn("batch command not committed", "job", c.Job.ID, "action", int(c.Action), "item", c.Item, "error", err)
		return false
	}
	return true
}
