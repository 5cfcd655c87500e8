package node

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/share"
	"snipetack/internal/transport/batchrun"
	"snipetack/internal/transport/jobs"
	"snipetack/internal/transport/link"
	"snipetack/internal/transport/relay"
	"snipetack/internal/transport/telemetry"
)

// Timing of an entry VM.
const (
	loadInterval  = 40 * time.Millisecond  // between looks at what is in flight
	loadAnyway    = 500 * time.Millisecond // figures that did not change are sent again
	pruneInterval = 5 * time.Second
	listStale     = 4 * time.Second         // then the VM reads the list of upstreams itself
	leaveWait     = 2500 * time.Millisecond // the balancer needs two failed checks, a second apart
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute // longer than any configuration lets callers reuse a connection
	headerBytes   = 64 << 10
	listPart      = 0.5 // of the list's rate that all entries use together, the rest is the control VMs'
	slackPart     = 0.9 // of the slack that the buckets may use together
)

// entry faces callers.
type entry struct {
	n       *Node
	pool    *dispatch.Pool
	relay   *relay.Relay
	jobs    *jobs.Client
	leaving atomic.Bool
	pressed chan struct{} // has room for one
	server  *http.Server
}

func newEntry(n *Node) (*entry, error) {
	e := &entry{n: n, pressed: make(chan struct{}, 1)}
	e.pool = dispatch.New(dispatch.Deps{Zone: n.Settings.Zone, Connected: n.conns.Idle, OnPreemption: func(dispatch.Choice) {
		select {
		case e.pressed <- struct{}{}:
		default:
		}
	}})
	m := n.member
	m.buckets = share.NewBuckets(slackPart * n.Settings.QuotaSlack)
	m.onList = func(l []roster.Upstream) { e.pool.SetUpstreams(time.Now(), l) }
	t, err := telemetry.NewTraffic(n.Telemetry.Meter())
	if err != nil {
		return nil, err
	}
	e.relay = relay.New(relay.Deps{
		Upstreams: n.Surroundings.Upstreams(n.conns),
		Pool:      e.pool,
		Patience:  dispatch.NewRetryPolicy(),
		Quota:     newQuota(n.link, m),
		Plan:      m.Plan,
		Traffic:   t,
		Log:       n.Log,
	})
	e.jobs = jobs.NewClient(n.link, m)
	e.server = newServer(n, n.Surroundings.Callers(e.relay, e.jobs))
	n.link.Receive(link.Hint, e.hint)
	return e, n.gauges([]gauge{
		{"requests_in_flight", "Callers' requests in progress.", func() float64 { return float64(e.relay.Active()) }},
		{"requests_waiting", "Requests that wait for a place at an upstream.", func() float64 { return float64(e.pool.Waiting()) }},
	})
}

func (e *entry) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx, e.n, e.n.Settings.Callers, e.server) })
	g.Go(func() error {
		return serveHTTP(ctx, e.n, e.n.Settings.Ready, e.n.Surroundings.Ready(e.ready))
	})
	g.Go(func() error { return e.tellLoads(ctx) })
	g.Go(func() error { return e.maintain(ctx) })
	return g.Wait()
}

func (e *entry) ready() bool {
	l, _ := e.n.member.Upstreams()
	return !e.leaving.Load() && e.n.member.Plan() != nil && len(l) > 0
}

// hint takes what is in flight from other VMs.
func (e *entry) hint(_ string, b []byte) {
	ids, tag := e.n.member.order()
	if l, ok := batchrun.DecodeHint(b, tag, ids); ok { // else one side has a newer list, for a moment
		e.pool.SetLoads(time.Now(), l)
	}
}

// tellLoads tells the batch VM that leads what is in flight from here; at once when a batch item has to give way.
func (e *entry) tellLoads(ctx context.Context) error {
	var last map[string]int
	var sent time.Time
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-e.pressed:
		}
		now := time.Now()
		f := e.pool.InFlight()
		if maps.Equal(f, last) && now.Sub(sent) < loadAnyway {
			continue
		}
		if vm := e.n.member.BatchLeader(); vm != "" {
			e.n.link.Send(vm, link.Load, batchrun.EncodeCounts(f))
			last, sent = f, now
		}
	}
}

// maintain closes connections out of use, and reads the list of upstreams when the control VMs do not.
func (e *entry) maintain(ctx context.Context) error {
	pruned := time.Now()
	next := pruned
	for pause.For(ctx, time.Second) {
		l, read := e.n.member.Upstreams()
		if now := time.Now(); now.Sub(read) > listStale && !now.Before(next) {
			e.readList(ctx)
			d := listPause(len(e.n.member.addresses(roster.Entry)), e.n.list.Calls(), e.n.Settings.ListRate)
			next = now.Add(d/2 + rand.N(d)) // entries that lost the control VMs together do not read together
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

// listPause returns the time between an entry's own reads of the list, which takes so many calls a second from all.
func listPause(entries, calls int, rate float64) time.Duration {
	return time.Duration(float64(max(1, entries)*calls) / (listPart * max(1, rate)) * float64(time.Second))
}

func (e *entry) readList(ctx context.Context) {
	at := time.Now()
	l, err := e.n.list.Read(ctx)
	if err != nil {
		e.n.Log.Warn("list of upstreams not read", "error", err)
		return
	}
	e.n.member.adoptList(l, at)
}

// stop leaves the balancer, finishes what is in flight and closes the connections.
func (e *entry) stop(ctx context.Context) {
	e.leaving.Store(true)
	if !pause.For(ctx, leaveWait) {
		return
	}
	if err := e.server.Shutdown(ctx); err != nil {
		e.n.Log.Warn("requests cut off by the stop", "requests", e.relay.Active(), "error", err)
	}
}

func newServer(n *Node, h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(n.Log.Handler(), slog.LevelDebug),
	}
}

// serveHTTP serves a handler at an address until ctx ends.
func serveHTTP(ctx context.Context, n *Node, address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	return serve(ctx, n, address, newServer(n, h))
}

func serve(ctx context.Context, n *Node, address string, s *http.Server) error {
	l, err := n.Network.Listen(address)
	if err != nil {
		return err
	}
	s.BaseContext = func(net.Listener) context.Context { return context.WithoutCancel(ctx) }
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	err = s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return errors.Wrapf(err, "serving %s", address)
}
