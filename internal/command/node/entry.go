package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/fairness"
	"snipetack/internal/coordination/pace"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/share"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/batchrun"
	"snipetack/internal/transport/httpserver"
	"snipetack/internal/transport/jobs"
	"snipetack/internal/transport/link"
	"snipetack/internal/transport/relay"
	"snipetack/internal/transport/telemetry"
)

// Timing of an entry VM.
const (
	loadInterval   = 40 * time.Millisecond  // between checks whether the requests in flight have changed
	loadRefresh    = 500 * time.Millisecond // counts that did not change are sent again after this time
	pruneInterval  = 5 * time.Second
	listStale      = 4 * time.Second         // age of the list at which an entry VM reads it itself
	balancerWait   = 2500 * time.Millisecond // until the load balancer sends no more; it needs two failed checks, a second apart
	listFraction   = 0.5                     // of the list's rate limit, for all entry VMs together; the rest is left to the control VMs
	slackFraction  = 0.4                     // of the quota slack, for the buckets of all entry VMs together; a new owner's ledger has half of it
	answerFraction = 1.0 / 16                // of the grace time: from the end of requests still in flight to that of the stop, to send their responses
)

// entry is the role of an entry VM: it relays callers' requests to upstreams and forwards their jobs to the batch VMs.
type entry struct {
	n         *Node
	pool      *dispatch.Pool
	relay     *relay.Relay
	origins   *origins
	jobs      *jobs.Client
	stopping  atomic.Bool
	preempted chan struct{} // signals that a request has taken a slot from a batch item; capacity 1
	collector collector
	shares    *fairness.Shares // nil while contention handling is off

	sharesPlan *plan.Plan // whose accounts shares has; only used by reportLoads

	server  *http.Server
	drainer *drainer // of server

	requests    context.Context // of all callers' requests
	endRequests context.CancelFunc
}

func newEntry(n *Node) (*entry, error) {
	e := &entry{n: n, preempted: make(chan struct{}, 1)}
	e.requests, e.endRequests = context.WithCancel(context.Background())
	m := n.member
	deps := dispatch.Deps{Zone: n.Settings.Zone, Regions: n.Settings.Zones, Connected: n.conns.Idle, Doubtful: m.restarts.Doubtful, LoadAge: m.loadAge, OnPreemption: func(dispatch.Choice) {
		select {
		case e.preempted <- struct{}{}:
		default:
		}
	}}
	if err := e.startContention(&deps); err != nil {
		return nil, err
	}
	e.pool = dispatch.New(deps)
	m.buckets = share.NewBuckets(slackFraction*n.Settings.QuotaSlack, rand.Float64)
	m.onList = func(l []roster.Upstream) { e.pool.SetUpstreams(time.Now(), l) }
	m.onLimits = func(l map[string]float64) { e.pool.SetLimits(time.Now(), l) }
	t, err := telemetry.NewTraffic(n.Telemetry.Meter())
	if err != nil {
		return nil, err
	}
	var ready <-chan struct{}
	if n.Settings.Contention {
		ready = m.ready
	}
	e.origins = newOrigins(n.link, m)
	e.relay = relay.New(relay.Deps{
		Ready:       ready,
		Upstreams:   n.Adapters.Upstreams(n.conns),
		Pool:        e.pool,
		RetryPolicy: dispatch.NewRetryPolicy(),
		Quota:       newQuota(n.link, m),
		Plan:        m.Plan,
		Traffic:     t,
		Limits:      newLimiter(n.link, m, false),
		Departures:  departures{m},
		Quarantines: m.quarantines,
		Crashes:     m.crashes,
		Origins:     e.origins,
		Restarts:    m.restarts,
		Log:         n.Log,
		Memory:      n.budget,
	})
	e.jobs = jobs.NewClient(n.link, m)
	e.server = httpserver.New(n.Adapters.Callers(e.relay, e.jobs, n.Log), n.Log)
	e.server.BaseContext = func(net.Listener) context.Context { return e.requests }
	e.drainer = newDrainer(e.server)
	n.guard.Attach(e.server)
	n.link.Receive(link.Hint, e.hint)
	n.link.Receive(link.Loads, e.loads)
	n.link.Receive(link.Paces, e.paces)
	return e, n.registerGauges([]gauge{
		{"requests_in_flight", "Callers' requests in progress.", func() float64 { return float64(e.relay.Active()) }},
		{"requests_waiting", "Requests that wait for a place at an upstream.", func() float64 { return float64(e.pool.Waiting()) }},
	})
}

// run serves callers and the load balancer's checks until ctx ends.
func (e *entry) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		l, err := listen(e.n, e.n.Settings.Callers, "callers", fileFraction)
		if err != nil {
			return err
		}
		return serve(ctx, e.drainer.listen(l), e.server)
	})
	g.Go(func() error {
		return serveShare(ctx, e.n, e.n.Settings.Ready, "ready", sideFraction, e.n.Adapters.Ready(e.ready))
	})
	g.Go(func() error { return e.reportLoads(ctx) })
	g.Go(func() error { return e.maintain(ctx) })
	g.Go(func() error { return e.origins.run(ctx) })
	return g.Wait()
}

// ready reports whether the load balancer may send new connections here.
func (e *entry) ready() bool {
	l, _ := e.n.member.Upstreams()
	return !e.stopping.Load() && e.n.member.Plan() != nil && len(l) > 0
}

// hint adopts the loads that other VMs put on the upstreams. A hint for another version of the list is ignored, since its
// upstreams can't be identified; the next one replaces it.
func (e *entry) hint(from string, b []byte) {
	ids, tag := e.n.member.upstreamIDs()
	if l, ok := batchrun.DecodeHint(b, tag, ids); ok && e.collector.heard(time.Now(), from) { // false while one side has a newer list
		e.pool.SetLoads(time.Now(), l)
	}
}

// loads adopts the loads that other VMs put on the upstreams, as the collector of this data centre sends them.
func (e *entry) loads(from string, b []byte) {
	ids, _ := e.n.member.upstreamIDs()
	if l, ok := batchrun.DecodeLoads(b, ids); ok && e.collector.heard(time.Now(), from) {
		e.adoptUse(batchrun.DecodeUse(b))
		e.pool.SetLoads(time.Now(), l)
	}
}

// reportLoads sends this VM's requests in flight to the leading batch VM, or in a large fleet to the collector of this data centre, when
// they change, and immediately when a batch item is preempted.
func (e *entry) reportLoads(ctx context.Context) error {
	var last map[string]int
	var sent, usedAt time.Time
	receiver := ""
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		c := batchrun.Counts{Hashed: true, Paced: true}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-e.preempted:
			c.Urgent = true
		}
		now := time.Now()
		c.Requests = e.pool.InFlight()
		vm := e.n.member.BatchLeader()
		if e.n.member.mirrored() {
			if x := e.collector.choose(now, e.n.member.collectors()); x != "" {
				vm = x
			}
		}
		c.Use = e.dueUse(now, usedAt)
		c.Paces = pace.SamplesOf(e.pool.TakePaces(now))
		if vm == receiver && c.Use == nil && len(c.Paces) == 0 && maps.Equal(c.Requests, last) && now.Sub(sent) < loadRefresh {
			continue
		}
		if vm != receiver && receiver != "" { // otherwise both would count the requests
			e.n.link.Send(receiver, link.Load, batchrun.EncodeCounts(batchrun.Counts{Moved: true}))
		}
		receiver = vm
		if vm != "" {
			e.n.link.Send(vm, link.Load, batchrun.EncodeCounts(c))
			last, sent = c.Requests, now
			if c.Use != nil {
				usedAt = now
			}
		}
	}
}

// maintain closes connections to addresses that left the list of upstreams. It also reads the list itself when the one from
// the control VMs is older than listStale.
func (e *entry) maintain(ctx context.Context) error {
	pruned := time.Now()
	next := pruned
	for pause.For(ctx, time.Second) {
		e.n.budget.CloseSlowReaders(time.Now(), e.pool.Waiting())
		l, read := e.n.member.Upstreams()
		if now := time.Now(); now.Sub(read) > listStale && !now.Before(next) {
			e.readList(ctx)
			d := ownListInterval(e.n.member.entryVMs(), e.n.list.Calls(), e.n.Settings.ListRate)
			next = now.Add(d/2 + rand.N(d)) // jitter: entry VMs that lost the control VMs together do not read together
		}
		if time.Since(pruned) < pruneInterval {
			continue
		}
		pruned = time.Now()
		used := map[string]bool{}
		for _, u := range l {
			used[u.Address] = true
		}
		e.n.conns.Prune(pruned, func(a string) bool { return used[a] })
	}
	return nil
}

// ownListInterval returns the time between an entry VM's own reads of the list. The entry VMs together then use listFraction
// of the list's rate, in calls per second, when each read takes so many calls.
func ownListInterval(entries, calls int, rate float64) time.Duration {
	return time.Duration(float64(max(1, entries)*calls) / (listFraction * max(1, rate)) * float64(time.Second))
}

// readList reads the list of upstreams; after a failure the previous list stays in use.
func (e *entry) readList(ctx context.Context) {
	at := time.Now()
	l, err := e.n.list.Read(ctx)
	if err != nil {
		e.n.Log.Warn("list of upstreams not read", "error", err)
		return
	}
	e.n.member.adoptList(l, at)
}

// stop reports not ready until the load balancer sends no more requests, then finishes those in flight and closes the
// connections. Shortly before ctx ends, requests that are still in flight end with an error response; those whose response
// has begun are cut off.
func (e *entry) stop(ctx context.Context) {
	e.stopping.Store(true)
	if until, ok := ctx.Deadline(); ok {
		end := until.Add(-time.Duration(answerFraction * float64(e.n.Settings.Grace)))
		e.relay.EndAt(end)
		defer time.AfterFunc(time.Until(end), func() {
			e.n.Log.Warn("requests ended by the stop", "requests", e.relay.Active())
			e.endRequests()
		}).Stop()
	}
	if !pause.For(ctx, balancerWait) {
		return
	}
	if err := e.drainer.drain(ctx); err != nil {
		e.n.Log.Warn("requests cut off by the stop", "requests", e.relay.Active(), "error", err)
	}
}

// serve runs a server until ctx ends, also when its listener ends with http.ErrServerClosed before, so that the other parts of
// the VM go on until then. Requests keep their context when ctx ends, but lose their connections. Without a BaseContext of the
// server, theirs is ctx without its end.
func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	if s.BaseContext == nil {
		s.BaseContext = func(net.Listener) context.Context { return context.WithoutCancel(ctx) }
	}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return errors.Wrapf(err, "serving %s", l.Addr())
}
