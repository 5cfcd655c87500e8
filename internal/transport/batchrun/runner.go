package batchrun

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"snipetack/internal/coordination/filler"
	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/relay"
)

// Timing of a Runner.
const (
	maxPassInterval     = 200 * time.Millisecond // between scheduling passes when nothing changes
	minPassInterval     = 4 * time.Millisecond   // so that one scheduling pass covers many events
	passPause           = 4                      // times the duration of a pass until the next one; consensus and responses need the processor
	commitTimeout       = 3 * time.Second        // of one command, such as an item's result
	refusedPause        = 150 * time.Millisecond // an upstream that did not run an item gets no other one for this long
	brokenPause         = time.Second            // an upstream that sent no complete response gets no item for this long
	itemBackoffBase     = 300 * time.Millisecond // first delay of an item after a failed run; doubles with each one
	itemBackoffMax      = 5 * time.Second
	upstreamBackoffBase = 250 * time.Millisecond // an upstream gets no item for this long times 2 to the power of its consecutive failed runs, from the second run on
	upstreamBackoffMax  = 8 * time.Second
	routeGrace          = 10 * time.Second // age of a job up to which its items wait for a route: it may be newer than the configuration here
	unservedGrace       = 10 * time.Second // time without an upstream of its service after which an item may be given up
	maxEmptyRuns        = 3                // consecutive resumed runs that end without an event, after which an item starts anew
	maxFruitless        = 3                // consecutive runs without an event after which an item may be given up
	unknownRetryAfter   = 2 * time.Second  // Retry-After of a job that has to wait for others while run times are unknown
	hopelessRetryAfter  = time.Minute      // Retry-After of a job that only another configuration could run
	loadLogInterval     = time.Second      // between log lines on the load
	gapTimeout          = 2 * time.Second  // a run whose upstream sends no data for this long is interrupted
	minRushMemory       = 5 * time.Second  // of the highest online load, while no run time of items is known
	clockMargin         = 10 * time.Second // by which the clocks of two leaders may differ: each is at most 5 s off
)

// Deps are the collaborators of a Runner.
type Deps struct {
	Docket    *docket.Docket
	Upstreams relay.UpstreamProvider
	Propose   func(ctx context.Context, command []byte) error
	Leads     func() bool
	Plan      func() *plan.Plan // returns nil before the first configuration
	List      func() []roster.Upstream
	Segments  func(headers map[string]string) []string // ids of the segments of an item's prompt that other requests may share
	Regions   map[string]string                        // region of each data centre; may be nil
	Retention time.Duration                            // time from a job's acceptance for which it is kept at least
	LoadAge   func() time.Duration                     // how old the loads are by which entry VMs choose an upstream
	MaxBodies int                                      // bytes of the bodies of open items, above which no further job is accepted; 0 is no limit
	Waves     bool                                     // whether items leave room for waves of online requests
	LoadKnown func() bool                              // whether all VMs that report online requests in flight have done so
	Log       *slog.Logger

	Limits      LimitProvider
	Departures  relay.DepartureProvider
	Quarantines *quarantine.List
	Crashes     *quarantine.Tracker
	Restarts    *restart.Table
	Memory      relay.MemoryProvider // of incomplete events; nil is one of its own
}

// LimitProvider keeps items within the limits that upstreams name.
type LimitProvider interface {
	relay.LimitProvider
	// Limited reports whether an upstream has a limit.
	Limited(upstream string) bool
}

// Runner runs the items of the docket's jobs while this VM leads; it is safe for concurrent use.
type Runner struct {
	d      Deps
	hub    *Hub
	memory *relay.Memory // of incomplete events
	wake   chan struct{} // capacity 1; starts a scheduling pass

	mu             sync.Mutex
	runs           map[filler.Key]*run
	items          items
	pending        []filler.Pending      // of the last scheduling pass; its memory is reused
	failureStreaks map[string]int        // consecutive failed runs, by upstream
	refusedItems   map[string]filler.Key // by upstream, the last item that it refused since it ran one
	served         served
	leadsSince     time.Time            // the first scheduling pass as leader
	closedUntil    map[string]time.Time // by upstream; no item is started there before
	pace           filler.Pace
	takeover       filler.Takeover
	loadLogged     time.Time
	forecasts      map[string]*filler.Forecast // by service
	rushes         map[string]*filler.Rush     // by service
	probes         *quarantine.Probes[filler.Key]
	wg             sync.WaitGroup
}

// run is an item that is running at an upstream.
type run struct {
	filler.Run
	partial  *partial
	began    time.Time
	from     uint64 // last event of the runs before
	tokens   int
	cancel   context.CancelFunc
	stopping bool     // preempted or displaced; its cancellation is logged once
	probes   []string // keys of the quarantines that the item probes
}

// partial is the output of an item's runs so far; the next run resumes after it.
type partial struct {
	lastEvent uint64        // id of the last complete event; 0 when there is none
	version   string        // of the upstreams' software that wrote the events
	output    []byte        // data of the events, with a line feed after each
	ran       time.Duration // run time of all ended runs
}

// text returns the data of all events, separated by line feeds.
func (t *partial) text() string { return strings.TrimSuffix(string(t.output), "\n") }

// New returns a Runner that gets the online requests from a Hub; the caller lets a change there start a scheduling pass.
func New(d Deps, h *Hub) *Runner {
	r := &Runner{d: d, hub: h, memory: relay.SharedMemory(d.Memory, eventMemory), wake: make(chan struct{}, 1)}
	r.reset()
	return r
}

// Run schedules items until ctx ends, and returns when all runs have ended. The error is always nil.
func (r *Runner) Run(ctx context.Context) error {
	defer r.wg.Wait()
	t := time.NewTicker(maxPassInterval)
	defer t.Stop()
	for {
		changed := r.d.Docket.Changed()
		began := time.Now()
		r.schedule(ctx, began)
		pause := max(minPassInterval, passPause*time.Since(began))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-changed:
		case <-r.wake:
		}
		time.Sleep(pause)
	}
}

// InFlight returns the number of running items by upstream id.
func (r *Runner) InFlight() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := map[string]int{}
	for _, x := range r.runs {
		m[x.Upstream]++
	}
	return m
}

// Wake starts a scheduling pass unless one is due already.
func (r *Runner) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reset discards all state, since another leader may run the items meanwhile.
func (r *Runner) reset() {
	r.runs = map[filler.Key]*run{}
	r.items = items{}
	r.takeover = filler.Takeover{}
	r.forecasts = map[string]*filler.Forecast{}
	r.rushes = map[string]*filler.Rush{}
	r.failureStreaks = map[string]int{}
	r.refusedItems = map[string]filler.Key{}
	r.served = served{}
	r.leadsSince = time.Time{}
	r.closedUntil = map[string]time.Time{}
	r.probes = quarantine.NewProbes[filler.Key]()
}

// schedule is one scheduling pass: it starts, preempts and displaces items as filler.Plan decides. When this VM does not lead
// or has no configuration, it stops all runs instead.
func (r *Runner) schedule(ctx context.Context, now time.Time) {
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
	if r.leadsSince.IsZero() {
		r.leadsSince = now
	}
	r.served.add(now, r.d.List(), r.d.Regions)
	r.pace.Seed(r.d.Docket.TimePerToken())
	pending, jobs := r.pendingItems(ctx, now, p)
	r.stopEnded(jobs)
	var running []filler.Run
	for _, x := range r.runs {
		y := x.Run
		ran := x.partial.ran + now.Sub(x.began)
		y.Left = r.pace.Left(x.tokens, ran)
		r.pace.Bound(x.tokens, ran)
		running = append(running, y)
	}
	c := r.capacities(now)
	if !r.takeover.Ready(now, r.d.LoadKnown()) {
		for i := range c {
			c[i].Closed = true
		}
	}
	r.updateForecasts(now, c, pending)
	r.setHeadroom(c)
	d := filler.Plan(now, c, running, pending)
	for _, k := range d.Preempted {
		r.stop(k, "online")
	}
	for _, k := range d.Displaced {
		r.stop(k, "item due")
	}
	for _, s := range d.Starts {
		r.start(ctx, s, p)
	}
	r.logLoad(now, c, pending)
}

// logLoad logs the load of the upstreams and the items that wait for them, once in loadLogInterval while there is any.
func (r *Runner) logLoad(now time.Time, l []filler.Capacity, pending []filler.Pending) {
	if now.Sub(r.loadLogged) < loadLogInterval {
		return
	}
	slots, online, closed, headroom, keeping := 0, 0, 0, 0, 0
	for _, c := range l {
		if c.Closed {
			closed++
			continue
		}
		slots, online, headroom = slots+c.Slots, online+c.Online, headroom+c.Headroom
		if c.KeepRuns {
			keeping++
		}
	}
	if online+len(pending)+len(r.runs) == 0 {
		return
	}
	r.loadLogged = now
	late := 0
	for _, w := range pending {
		if w.Late(now) {
			late++
		}
	}
	r.d.Log.Info("batch load", "running", len(r.runs), "pending", len(pending), "pending_late", late, "slots", slots, "online", online,
		"headroom", headroom, "keeping_runs", keeping, "closed_upstreams", closed, "time_per_token", r.d.Docket.TimePerToken())
}

// updateForecasts updates the forecast of each service that has items or upstreams for them.
func (r *Runner) updateForecasts(now time.Time, capacities []filler.Capacity, pending []filler.Pending) {
	type sum struct {
		slots, online int
		work, total   time.Duration // remaining, and of whole runs
		items         int
	}
	sums := map[string]sum{}
	services := map[string]string{} // by upstream
	for _, c := range capacities {
		services[c.ID] = c.Service
		if c.Closed {
			continue
		}
		s := sums[c.Service]
		s.slots, s.online = s.slots+c.Slots, s.online+min(c.Slots, c.Online)
		sums[c.Service] = s
	}
	left := func(tokens int, ran time.Duration) time.Duration { return max(0, r.pace.Total(tokens)-ran) }
	for _, p := range pending {
		s := sums[p.Service]
		ran := time.Duration(0)
		i := r.items.get(p.Key)
		if i.partial != nil {
			ran = i.partial.ran
		}
		s.work += left(p.Tokens, ran)
		s.total, s.items = s.total+r.pace.Total(p.Tokens), s.items+1
		sums[p.Service] = s
	}
	for _, x := range r.runs {
		s := sums[services[x.Upstream]]
		s.work += left(x.tokens, x.partial.ran+now.Sub(x.began))
		s.total, s.items = s.total+r.pace.Total(x.tokens), s.items+1
		sums[services[x.Upstream]] = s
	}
	for service, s := range sums {
		f := r.forecasts[service]
		if f == nil {
			f = &filler.Forecast{}
			r.forecasts[service] = f
		}
		f.Update(now, s.slots, s.online, s.work)
		if r.rushes[service] == nil {
			r.rushes[service] = &filler.Rush{}
		}
		r.rushes[service].Observe(now, s.online, max(minRushMemory, 2*s.total/time.Duration(max(1, s.items))))
	}
}

// setHeadroom lets each upstream leave slots free for online requests, as many as its service needs, and tells the items there
// when they would have their turn again.
func (r *Runner) setHeadroom(l []filler.Capacity) {
	upstreams, slots := map[string]int{}, map[string]int{}
	for _, c := range l {
		if !c.Closed {
			upstreams[c.Service]++
			slots[c.Service] += c.Slots
		}
	}
	age := r.d.LoadAge()
	for i := range l {
		if f := r.forecasts[l[i].Service]; f != nil {
			l[i].Headroom, l[i].Turn = f.Headroom(upstreams[l[i].Service], age), f.Turn()
		}
		if rush, n := r.rushes[l[i].Service], upstreams[l[i].Service]; r.d.Waves && rush != nil && n > 0 {
			if headroom, keep := rush.Headroom(n, slots[l[i].Service]/n); keep {
				l[i].Headroom, l[i].KeepRuns = headroom, true
			}
		}
	}
}

// TokensFree returns after how long a job whose account would have too many tokens waiting on its route can be accepted.
func (r *Runner) TokensFree(j docket.Job, maxWaiting int) time.Duration {
	held, n := r.d.Docket.Waiting(j.Account, j.Route), 0
	for _, i := range j.Items {
		n += i.Tokens
	}
	return r.untilFree(held+n-maxWaiting, held)
}

// untilFree returns the time after which the accepted items have freed so much of what they hold, if that goes evenly until they are all done. It is
// hopelessRetryAfter when they don't hold as much.
func (r *Runner) untilFree(excess, held int) time.Duration {
	if excess > held {
		return hopelessRetryAfter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := time.Duration(0)
	for _, f := range r.forecasts {
		longest = max(longest, f.Turn())
	}
	if longest <= 0 {
		return unknownRetryAfter
	}
	return max(time.Second, time.Duration(float64(longest)*float64(excess)/float64(held)))
}

// Admit decides on a new job: it returns false, and after how long the job could be accepted, when the upstreams can't do all of it before
// it would be given up, or there is no room for its bodies, beside the jobs that are accepted already. One that will be late is accepted: its results are still of use.
// Items that no upstream can hold, or that take too long even by themselves, don't count, so that the others don't pay for them; a job with
// only items of the first kind is refused.
func (r *Runner) Admit(j docket.Job) (ok bool, after time.Duration) {
	p := r.d.Plan()
	if p == nil || len(j.Items) == 0 {
		return true, 0
	}
	if n := r.d.Docket.BodyBytes() + j.BodyBytes(); r.d.MaxBodies > 0 && n > r.d.MaxBodies {
		r.d.Log.Info("job refused", "job", j.ID, "items", len(j.Items), "reason", "no room for its bodies", "bytes", n)
		return false, r.untilFree(n-r.d.MaxBodies, n-j.BodyBytes())
	}
	u := p.Route(j.Host, j.Items[0].Path)
	if u == nil || len(u.Targets) == 0 || u.GiveUp <= 0 {
		return true, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.forecasts[u.Targets[0].Service]
	if f == nil {
		return true, 0
	}
	limit := max(u.Due, u.GiveUp)
	var work, longest time.Duration
	fitting := 0
	for _, i := range j.Items {
		if len(p.Holding(u, i.Tokens)) == 0 {
			continue
		}
		fitting++
		if d := r.pace.Total(i.Tokens); d <= limit {
			work, longest = work+d, max(longest, d)
		}
	}
	if fitting == 0 {
		r.d.Log.Info("job refused", "job", j.ID, "items", len(j.Items), "reason", "no upstream has the memory for any item")
		return false, hopelessRetryAfter
	}
	if late := f.Late(work, longest, limit); late > 0 {
		r.d.Log.Info("job refused", "job", j.ID, "items", len(j.Items), "work", work, "late", late)
		return false, late
	}
	f.Add(work)
	return true, 0
}

// stop cancels a run whose slot is needed; to is logged as what needs it. The item is pending again when the run has ended.
func (r *Runner) stop(k filler.Key, to string) {
	x := r.runs[k]
	if x.stopping {
		return
	}
	x.stopping = true
	r.d.Log.Info("item preempted", "job", k.Job, "item", k.Item, "upstream", x.Upstream, "to", to)
	x.cancel()
}

// pendingItems returns the items that may start now, and the ids of the jobs that have open items. It also deletes finished
// jobs that were accepted longer than Retention and clockMargin ago.
func (r *Runner) pendingItems(ctx context.Context, now time.Time, p *plan.Plan) ([]filler.Pending, map[string]bool) {
	l := r.pending[:0]
	open := map[string]bool{}
	r.probes.BeginPass(r.d.Quarantines.Keys())
	r.d.Docket.View(func(j *docket.Job) bool {
		if j.Done() {
			if j.Age(now) > r.d.Retention+clockMargin {
				go r.commit(ctx, docket.Command{Action: docket.Forget, Job: docket.Job{ID: j.ID}})
			}
			return true
		}
		open[j.ID] = true
		states := r.items.ofJob(j)
		for i := range j.Items {
			if j.Items[i].Outcome != docket.Open {
				states[i] = item{run: states[i].run}
				continue
			}
			if w, ok := r.pendingItem(ctx, now, p, j, filler.Key{Job: j.ID, Item: i}, &states[i]); ok {
				l = append(l, w)
			}
		}
		return true
	})
	r.pending = l
	return l, open
}

// pendingItem returns an item with the service to run it, or false when it can't start now. An item that has no route even
// after routeGrace and clockMargin ends as errored, and so does one that can't be run now when its route allows to give it up.
func (r *Runner) pendingItem(ctx context.Context, now time.Time, p *plan.Plan, j *docket.Job, k filler.Key, x *item) (filler.Pending, bool) {
	if x.run != nil || x.committing || now.Before(x.notBefore) {
		return filler.Pending{}, false
	}
	x.lookUp(p, j.Host, j.Account, &j.Items[k.Item])
	u := x.route
	if u == nil {
		if j.Age(now) > routeGrace+clockMargin {
			r.commitResult(ctx, k, docket.Errored, "", 0)
		}
		return filler.Pending{}, false
	}
	held := r.d.Quarantines.Holding(quarantine.Subject{Segments: x.promptSegments(r.d.Segments, j.Items[k.Item].Headers)})
	if len(held) > 0 && (r.giveUp(ctx, now, j, k, u, "quarantined") || !r.probes.Choose(now, held, k)) {
		return filler.Pending{}, false
	}
	if len(x.targets) == 0 {
		r.giveUp(ctx, now, j, k, u, "larger than the memory of every upstream")
		return filler.Pending{}, false
	}
	if x.fruitless >= maxFruitless && r.giveUp(ctx, now, j, k, u, "no run brings an event") {
		return filler.Pending{}, false
	}
	if r.served.without(now, r.leadsSince, unservedGrace, x.targets, x.homes) && r.giveUp(ctx, now, j, k, u, "no upstream of the service") {
		return filler.Pending{}, false
	}
	ran := time.Duration(0)
	if x.partial != nil {
		ran = x.partial.ran
	}
	t := filler.Task{Key: k, Due: j.Accepted.Add(u.Due), Left: r.pace.Left(j.Items[k.Item].Tokens, ran), Tokens: j.Items[k.Item].Tokens}
	w := filler.Pending{Task: t, Service: relay.Choose(x.targets), Avoid: x.avoid, Homes: x.homes}
	if x.partial != nil && x.partial.lastEvent > 0 {
		w.Pinned, w.Version = true, x.partial.version
	}
	return w, true
}

// giveUp ends an item as errored if its route allows it now, and reports whether it does. The time counts from the job's acceptance, which is
// stored and came after the caller first sent the job.
func (r *Runner) giveUp(ctx context.Context, now time.Time, j *docket.Job, k filler.Key, u *plan.Route, reason string) bool {
	if u.GiveUp <= 0 || j.Age(now) <= u.GiveUp+clockMargin {
		return false
	}
	r.d.Log.Warn("item given up", "job", k.Job, "item", k.Item, "tokens", j.Items[k.Item].Tokens, "reason", reason)
	r.commitResult(ctx, k, docket.Errored, "", 0)
	return true
}

// stopEnded cancels the runs of jobs that are not open and discards the state of their items.
func (r *Runner) stopEnded(open map[string]bool) {
	for k, x := range r.runs {
		if !open[k.Job] {
			x.cancel()
		}
	}
	r.items.retain(open)
}

// capacities returns the slots of all upstreams and what occupies them.
func (r *Runner) capacities(now time.Time) []filler.Capacity {
	online := r.hub.Online(now)
	running := map[string]int{}
	for _, x := range r.runs {
		running[x.Upstream]++
	}
	var l []filler.Capacity
	for _, u := range r.d.List() {
		slots, version := u.Slots, r.versionOf(u)
		if r.d.Limits.Limited(u.ID) { // one item at a time asks for admission
			slots = min(slots, online[u.ID]+running[u.ID]+1)
		}
		l = append(l, filler.Capacity{
			Version: version,
			Region:  r.d.Regions[u.Zone],
			ID:      u.ID,
			Service: u.Service,
			Slots:   slots,
			Online:  online[u.ID],
			Closed:  u.Draining || now.Before(r.closedUntil[u.ID]),
			Settled: u.Evacuated,
		})
	}
	return l
}

// versionOf returns the version of an upstream's software, or origin.Unknown if the upstream may have started again with another one.
func (r *Runner) versionOf(u roster.Upstream) string {
	if u.Version != "" && r.d.Restarts.Doubtful(u.ID) {
		return origin.Unknown
	}
	return u.Version
}

// start starts a run of an item at an upstream; it does nothing when the job or the upstream has been removed.
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
	address, version := "", ""
	for _, u := range r.d.List() {
		if u.ID == s.Upstream && !u.Evacuated { // which may be newer than the plan of this pass
			address, version = u.Address, r.versionOf(u)
		}
	}
	if q == nil || address == "" || r.items.get(s.Key) == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	i := r.items.get(s.Key)
	q.Segments = i.segments
	subject := quarantine.Subject{Segments: q.Segments}
	var sound atomic.Bool
	wentOn := func() { sound.Store(true) }
	release, ok := r.d.Quarantines.Watch(subject, func() {
		if !sound.Load() { // one that has gone on does not crash its upstream
			cancel()
		}
	})
	var probes []string
	if !ok {
		probes = r.d.Quarantines.Holding(subject)
		if !r.probes.Start(time.Now(), probes, s.Key) {
			cancel()
			return
		}
		r.d.Log.Info("item probes a quarantine", "job", s.Key.Job, "item", s.Key.Item, "upstream", s.Upstream, "quarantines", probes)
		wentOn = func() { r.d.Quarantines.Refute(subject) }
	}
	if i.partial != nil && i.partial.lastEvent > 0 && (i.partial.version != version || version == origin.Unknown) {
		r.d.Log.Info("item starts anew", "job", s.Key.Job, "item", s.Key.Item, "event", i.partial.lastEvent, "version", i.partial.version, "next", version)
		i.partial = nil
	}
	if i.partial == nil {
		i.partial = &partial{}
	}
	i.partial.version = version
	t := i.partial
	x := &run{Run: filler.Run{Task: filler.Task{Key: s.Key, Due: due}, Upstream: s.Upstream}, partial: t, cancel: cancel,
		from: t.lastEvent, began: time.Now(), tokens: size, probes: probes}
	r.runs[s.Key], i.run = x, x
	r.wg.Go(func() {
		defer cancel()
		defer release()
		if ok, wait := r.d.Limits.Take(ctx, s.Upstream); !ok {
			r.limit(s.Upstream, wait)
			r.runEnded(x, limited, attempts)
			return
		}
		o := r.runItem(ctx, q, relay.Sending{Upstream: s.Upstream, Address: address, Account: account, Resume: t.lastEvent, Stream: true}, t, wentOn)
		r.runEnded(x, o, attempts)
	})
}

// outcome is how a run of an item ended.
type outcome int

const (
	complete      outcome = iota
	stopped               // cancelled: preempted, displaced, its job ended, or this VM does not lead
	limited               // the upstream's limit admits no item now
	refused               // the upstream did not run the item
	failed                // the upstream reports that the run failed; the item may be run again
	unprocessable         // the upstream reports that no run of the item can succeed
	broken                // no complete response arrived; the item is resumed
	empty                 // broken: the response to a resumed run ended without an event, and whether it is complete can't be told
)

// String returns the outcome's name in logs.
func (o outcome) String() string {
	return [...]string{"complete", "stopped", "limited", "refused", "failed", "hopeless", "broken", "empty"}[o]
}

// runEnded records the end of a run and what follows from its outcome; attempts is how many failed runs the item may have.
func (r *Runner) runEnded(x *run, o outcome, attempts int) {
	ctx := context.Background()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.Wake()
	delete(r.runs, x.Key)
	i := r.items.get(x.Key)
	if i == nil {
		i = &item{} // its job is not open any more
	}
	i.run = nil
	x.partial.ran += now.Sub(x.began)
	switch {
	case x.partial.lastEvent > x.from || o == failed:
		i.fruitless = 0
	case o == broken || o == empty:
		i.fruitless++
	}
	if o == empty {
		i.emptyRuns++
	} else {
		i.emptyRuns = 0
	}
	r.d.Log.Info("item run ended", "job", x.Key.Job, "item", x.Key.Item, "upstream", x.Upstream, "outcome", o.String(),
		"event", x.partial.lastEvent, "ran", now.Sub(x.began), "due_in", x.Due.Sub(now))
	if o != refused {
		delete(r.refusedItems, x.Upstream)
	}
	switch o {
	case complete:
		delete(r.failureStreaks, x.Upstream)
		r.pace.Learn(x.tokens, x.partial.ran)
		r.commitResult(ctx, x.Key, docket.Complete, x.partial.text(), x.partial.ran)
	case unprocessable:
		r.commitResult(ctx, x.Key, docket.Errored, "", 0)
	case failed:
		r.itemFailed(ctx, now, x, i, attempts)
	case refused:
		r.itemRefused(now, x, i)
	case broken, empty:
		r.probes.Broke(now, x.probes)
		r.closedUntil[x.Upstream] = now.Add(brokenPause)
		if i.emptyRuns >= maxEmptyRuns {
			r.d.Log.Info("item starts anew", "job", x.Key.Job, "item", x.Key.Item, "event", x.partial.lastEvent, "empty_runs", i.emptyRuns)
			i.partial, i.emptyRuns = nil, 0
		}
	case stopped, limited:
	}
}

// itemRefused delays an item that an upstream did not run. A full upstream gets no other item for a while. One that has free slots, as far
// as is known here, may refuse only this item: the item tries others first, less and less often.
func (r *Runner) itemRefused(now time.Time, x *run, i *item) {
	i.notBefore = now.Add(rand.N(refusedPause))
	other, ok := r.refusedItems[x.Upstream]
	r.refusedItems[x.Upstream] = x.Key
	free := r.hasFreeSlots(now, x.Upstream)
	if !free || ok && other != x.Key {
		r.closedUntil[x.Upstream] = now.Add(refusedPause)
	}
	if free {
		i.fruitless++
		i.avoidUpstream(x.Upstream)
		i.notBefore = i.notBefore.Add(min(itemBackoffMax, refusedPause<<min(i.fruitless, 8)))
	}
}

// hasFreeSlots reports whether an upstream is under half full.
func (r *Runner) hasFreeSlots(now time.Time, upstream string) bool {
	n := r.hub.Online(now)[upstream]
	for _, x := range r.runs {
		if x.Upstream == upstream {
			n++
		}
	}
	for _, u := range r.d.List() {
		if u.ID == upstream {
			return 2*n < u.Slots
		}
	}
	return false
}

// limit starts no item at an upstream whose limit admits none for wait.
func (r *Runner) limit(upstream string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closedUntil[upstream] = time.Now().Add(wait)
}

// itemFailed counts a failed run, after which the item restarts from its first event. After the last allowed attempt the item
// ends as errored.
func (r *Runner) itemFailed(ctx context.Context, now time.Time, x *run, i *item, attempts int) {
	i.avoidUpstream(x.Upstream)
	r.failureStreaks[x.Upstream]++
	if s := r.failureStreaks[x.Upstream]; s > 1 { // a single failure may be caused by the item
		r.closedUntil[x.Upstream] = now.Add(min(upstreamBackoffMax, upstreamBackoffBase<<min(s, 8)))
	}
	n := 0
	r.d.Docket.Read(x.Key.Job, func(j *docket.Job) { n = j.Items[x.Key.Item].Failures })
	i.partial = nil
	if n+1 >= max(1, attempts) {
		r.commitResult(ctx, x.Key, docket.Errored, "", 0)
		return
	}
	i.notBefore = now.Add(min(itemBackoffMax, itemBackoffBase<<min(n, 8)))
	go r.commit(ctx, docket.Command{Action: docket.Fail, Job: docket.Job{ID: x.Key.Job}, Item: x.Key.Item})
}

// commitResult commits an item's result and its run time in the background; the item is pending again if that fails.
func (r *Runner) commitResult(ctx context.Context, k filler.Key, o docket.Outcome, text string, ran time.Duration) {
	if x := r.items.get(k); x != nil {
		x.committing = true
	}
	go func() {
		c := docket.Command{Action: docket.RecordResult, Job: docket.Job{ID: k.Job}, Item: k.Item, Outcome: o, Output: text, Ran: ran}
		if !r.commit(ctx, c) {
			r.mu.Lock()
			if x := r.items.get(k); x != nil {
				x.committing = false
			}
			r.mu.Unlock()
		}
	}()
}

// commit proposes a command and reports whether it was committed.
func (r *Runner) commit(ctx context.Context, c docket.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := r.d.Propose(ctx, docket.EncodeCommand(c)); err != nil {
		r.d.Log.Warn("committing a batch command failed", "job", c.Job.ID, "action", int(c.Action), "item", c.Item, "error", err)
		return false
	}
	return true
}
