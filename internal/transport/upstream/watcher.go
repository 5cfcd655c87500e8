package upstream

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/coordination/routing"
	"snipetack/internal/protocol/chat"
	"snipetack/internal/state/catalog"
)

// Timing and limits of requests for upstreams' reports.
const (
	watchInterval        = time.Second
	watchTimeout         = time.Second
	maxConcurrentWatches = 16
	maxReport            = 1 << 20 // bytes
	skippedRounds        = 30      // an upstream that serves no load report is tried again after so many rounds
)

// CopyProvider returns the VM's copy of the configuration.
type CopyProvider interface {
	Current() *catalog.Configuration
}

// RouterProvider records what upstreams report.
type RouterProvider interface {
	Load(upstream string, l routing.Load)
	// Unreachable records that the load report could not be fetched; the next report clears it.
	Unreachable(upstream string)
	Cache(upstream string, l []routing.CacheEvent)
	// LastCacheEvent returns the number of the last cache event recorded, or 0; later ones are requested.
	LastCacheEvent(upstream string) uint64
	// Forget drops the state of upstreams that are no longer configured.
	Forget(c *catalog.Configuration)
}

// Watcher polls all upstreams for load reports and engines also for cache events.
type Watcher struct {
	client    *Client
	copy      CopyProvider
	router    RouterProvider
	log       *slog.Logger
	round     int
	skipUntil map[string]int // round in which an upstream without load reports is tried again, by address
}

// NewWatcher returns a Watcher that passes reports to r.
func NewWatcher(c *Client, p CopyProvider, r RouterProvider, l *slog.Logger) *Watcher {
	return &Watcher{client: c, copy: p, router: r, log: l, skipUntil: map[string]int{}}
}

// Run polls the upstreams in rounds until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for pause.For(ctx, watchInterval) {
		c := w.copy.Current()
		w.round++
		var g errgroup.Group
		g.SetLimit(maxConcurrentWatches)
		withoutReport := make(chan string, len(c.Upstreams))
		for _, u := range c.Upstreams {
			if w.skipUntil[u.Address] > w.round {
				continue
			}
			g.Go(func() error {
				w.fetchReports(ctx, u, c.Services[u.Service].Kind, withoutReport)
				return nil
			})
		}
		_ = g.Wait()
		close(withoutReport)
		for a := range withoutReport {
			w.skipUntil[a] = w.round + skippedRounds
		}
		w.router.Forget(c)
	}
	return nil
}

func (w *Watcher) fetchReports(ctx context.Context, u catalog.Upstream, k catalog.ServiceKind, withoutReport chan<- string) {
	var l chat.Load
	status, err := w.get(ctx, u, "/load", &l)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		w.log.Debug("load report could not be fetched; upstream counts as unreachable until the next report", "upstream", u.Name, "error", err)
		w.router.Unreachable(u.Name)
		return
	case status != http.StatusOK:
		withoutReport <- u.Address
		return
	}
	w.router.Load(u.Name, routing.Load{
		Running: l.Running,
		Waiting: l.Waiting,
		Slots:   l.Slots,
		Age:     time.Duration(l.AgeMillis) * time.Millisecond,
		Leaving: l.Leaving,
	})
	if k == catalog.Engine {
		w.fetchCacheEvents(ctx, u)
	}
}

func (w *Watcher) fetchCacheEvents(ctx context.Context, u catalog.Upstream) {
	var l []chat.CacheEvent
	n := w.router.LastCacheEvent(u.Name)
	status, err := w.get(ctx, u, "/cache_events?after="+strconv.FormatUint(n, 10), &l)
	if err != nil || status != http.StatusOK {
		return
	}
	v := make([]routing.CacheEvent, 0, len(l))
	for _, e := range l {
		b, err := strconv.ParseUint(e.Block, 16, 64)
		if err == nil {
			v = append(v, routing.CacheEvent{Number: e.Number, Block: b, Stored: e.Stored})
		}
	}
	w.router.Cache(u.Name, v)
}

func (w *Watcher) get(ctx context.Context, u catalog.Upstream, path string, v any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	r, err := w.client.Do(ctx, Call{Upstream: u, Method: http.MethodGet, Path: path, ProgressTimeout: watchTimeout})
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return r.StatusCode, nil
	}
	return r.StatusCode, json.NewDecoder(io.LimitReader(r.Body, maxReport)).Decode(v)
}
