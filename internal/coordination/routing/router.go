package routing

import (
	"log/slog"
	"sync"
	"time"

	"snipetack/internal/state/catalog"
)

// Router chooses upstreams for one VM. It is safe for concurrent use.
type Router struct {
	log   *slog.Logger
	mu    sync.Mutex
	table *Table[Weighted]
}

// New returns a Router for a VM in a data centre that logs each choice; seed drives the random choices.
func New(l *slog.Logger, dataCentre string, seed uint64) *Router {
	return &Router{log: l, table: NewTable(Weighted{}, dataCentre, seed)}
}

// Choose returns an upstream of the service, or a result.Failure with the code UpstreamNone when none is usable.
func (r *Router) Choose(c *catalog.Configuration, q Request) (Choice, error) {
	q.Blocks = Blocks(q.Prompt)
	u, reason, n, err := r.choose(c.UpstreamsOf(q.Service), q)
	if err != nil {
		r.log.Info("not routed", "request", q.ID, "service", q.Service, "account", q.Account, "reason", err.Error())
		return Choice{}, err
	}
	r.log.Info("routed", "request", q.ID, "service", q.Service, "account", q.Account, "upstream", u.Name,
		"reason", reason, "in_flight", n, "attempt", len(q.Tried)+1)
	return Choice{Upstream: u, Done: func(p Report) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.table.Done(time.Now(), u.Name, p)
	}}, nil
}

// Retry reports whether a request to a service may be retried, and if so takes the retry from the service's budget.
func (r *Router) Retry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Retry(time.Now(), service)
}

// Load takes an upstream's load report.
func (r *Router) Load(upstream string, l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Load(time.Now(), upstream, l)
}

// Unreachable records that an upstream's load report could not be fetched; the next report clears it.
func (r *Router) Unreachable(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Unreachable(time.Now(), upstream)
}

// Cache takes cache events of an upstream, in ascending order of their numbers.
func (r *Router) Cache(upstream string, l []CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Cache(time.Now(), upstream, l)
}

// LastCacheEvent returns the number of the last cache event taken from an upstream, or 0.
func (r *Router) LastCacheEvent(upstream string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.LastCacheEvent(time.Now(), upstream)
}

// SetOthersInFlight takes what another VM has in flight at each upstream; it replaces that VM's earlier report.
func (r *Router) SetOthersInFlight(vm string, inFlight map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetOthersInFlight(time.Now(), vm, inFlight)
}

// InFlight returns what this VM has in flight at each upstream, without those that have nothing.
func (r *Router) InFlight() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.InFlight()
}

// Forget drops the state of upstreams that are no longer configured and have nothing in flight.
func (r *Router) Forget(c *catalog.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Forget(func(n string) bool { _, ok := c.Upstreams[n]; return ok })
}

func (r *Router) choose(l []catalog.Upstream, q Request) (catalog.Upstream, string, int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u, reason, err := r.table.Choose(time.Now(), l, q)
	if err != nil {
		return u, "", 0, err
	}
	return u, reason, r.table.states[u.Name].inFlight, nil
}
