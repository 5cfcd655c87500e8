package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/share"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
)

// Timing and size limits of requests.
const (
	minAttemptTime      = 20 * time.Millisecond  // with less time left no attempt is made; it could not complete
	minRetryAfter       = 100 * time.Millisecond // of requests for which there was no room; by then the loads of other VMs are known here
	maxReadyWait        = time.Second            // of a request at a VM that has just started; usually it can serve within half of it
	electionRetryAfter  = 600 * time.Millisecond // while there is no configuration: about the time of an election
	upstreamsRetryAfter = time.Second            // of a service without upstreams: about the age of the list of upstreams
	retryAfterSpread    = 0.5                    // random addition to each Retry-After, as a fraction, so that callers do not return simultaneously
	firstByteRecheck    = 100 * time.Millisecond // after a first-byte timeout at which the attempt went on
	maxAttempts         = 6                      // of one request, including attempts that no upstream ran
	chunkBytes          = 16 << 10               // of the read buffer
	maxBufferedBytes    = 256 << 10              // a response up to this size is sent only once it is complete, if there is room for it
	responseMemory      = 24 << 20               // bytes of all responses, without a shared memory
	responseMargin      = 25 * time.Millisecond  // kept free before the deadline to return a response to the caller
)

// Deps are the collaborators of a Relay.
type Deps struct {
	Upstreams   UpstreamProvider
	Pool        *dispatch.Pool
	RetryPolicy *dispatch.RetryPolicy
	Quota       QuotaProvider
	Plan        func() *plan.Plan // returns nil before the first configuration
	Traffic     TrafficProvider
	Limits      LimitProvider
	Departures  DepartureProvider
	Quarantines *quarantine.List
	Crashes     *quarantine.Tracker
	Origins     OriginProvider
	Restarts    *restart.Table
	Log         *slog.Logger
	Memory      MemoryProvider  // of responses that are kept; nil is one of its own
	Ready       <-chan struct{} // closed once there is a configuration and a list of upstreams; nil if requests don't wait for that
}

// OriginProvider knows at which version of its service's software each stream began, on any VM.
type OriginProvider interface {
	// Record remembers where a stream began whose first event the caller gets, or got, by a request. ended is called when the stream does not
	// run any more on this VM.
	Record(account, request string, o origin.Origin) (ended func())
	// Find returns where the stream began whose first event the caller got by a request; it is false when nobody knows. Without an answer from
	// other VMs it returns after a tenth of a second. service is where the stream must have begun if only one version of it has served.
	Find(ctx context.Context, account, request, service string) (origin.Origin, bool)
}

// TrafficProvider records metrics of requests.
type TrafficProvider interface {
	// Request counts a finished request; code is 0 for a response of an upstream and the result.Code of the failure otherwise,
	// also if a stream was aborted or the caller disconnected.
	Request(kind string, code int)
	// Attempt counts an attempt at an upstream; outcome is "done", "not_run", "broken" or "dropped".
	Attempt(outcome string)
	// FirstByte records the time from a request's arrival to the header of its response.
	FirstByte(kind string, d time.Duration)
	// EstimateError records by how much the first byte of a response came later than expected when its upstream was chosen.
	EstimateError(kind string, d time.Duration)
	// ReportDiscarded counts a report of an upstream's load that was nonsense.
	ReportDiscarded()
}

// QuotaProvider enforces the rate limits of accounts.
type QuotaProvider interface {
	// Take admits a request, or returns the time until the account's next request can be admitted; that is 0 when ctx
	// ended before a decision.
	Take(ctx context.Context, account string, l share.Limit) (ok bool, retryAfter time.Duration)
}

// LimitProvider keeps requests within the limits that upstreams name.
type LimitProvider interface {
	// Observe records the limit that a response named in requests per second; 0 is none.
	Observe(upstream string, rate float64)
	// ObserveCold records the remaining warm-up time that a response named; 0 is warm.
	ObserveCold(upstream string, left time.Duration)
	// Take admits a request to an upstream, or returns how long to wait until one may be admitted there.
	Take(ctx context.Context, upstream string) (ok bool, wait time.Duration)
}

// DepartureProvider keeps requests off upstreams that leave.
type DepartureProvider interface {
	// Observe records that a response announced that the upstream leaves; no request is assigned to it from then on.
	Observe(upstream string)
}

// Relay serves callers' requests; it is safe for concurrent use.
type Relay struct {
	d        Deps
	active   atomic.Int64
	memory   *Memory // of responses
	runTimes dispatch.RunTimes
	endsAt   atomic.Pointer[time.Time] // nil unless this VM stops
	stops    chan struct{}             // closed once endsAt is set

	discardLogged atomic.Int64 // when a discarded report of an upstream was last logged, as Unix time in ns
}

// New returns a Relay.
func New(d Deps) *Relay {
	return &Relay{d: d, memory: SharedMemory(d.Memory, responseMemory), stops: make(chan struct{})}
}

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// EndAt announces that requests still in progress at a time will be ended, because this VM stops. From now on requests that would not be
// served by then are refused, queued ones too, so that their callers go to another VM.
func (r *Relay) EndAt(t time.Time) {
	if r.endsAt.Swap(&t) == nil {
		close(r.stops)
	}
}

// cutsOff reports whether a request that is sent now would be ended by the stop of this VM. One whose deadline is earlier is not.
func (r *Relay) cutsOff(a *Admitted) bool {
	t := r.endsAt.Load()
	return t != nil && t.Before(a.Until) && time.Until(*t) < max(minAttemptTime, r.runTimes.Allowance(a.Route.Name))
}

func stopping() *result.Failure {
	return result.New(result.Draining, "the VM stops before the request would be served")
}

// AwaitReady waits until a VM that has just started can serve a request. It ends after a third of the caller's time, so that a caller that is
// refused can still reach another VM.
//
// It responds to callers that come back all at once after all VMs were down: a refused one loses its next attempt, although this VM has the
// configuration within about half a second.
func (r *Relay) AwaitReady(ctx context.Context, q *Request) {
	if r.d.Ready == nil {
		return
	}
	limit := maxReadyWait
	if q.Deadline > 0 {
		limit = min(limit, q.Deadline/3)
	}
	select {
	case <-r.d.Ready:
		return
	default:
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-r.d.Ready:
		r.d.Log.Info("request waited for the start", "request", q.ID, "waited", time.Since(q.Arrived))
	case <-t.C:
	case <-ctx.Done():
	}
}

// Admitted is a request with what the configuration determines for it.
type Admitted struct {
	*Request
	Route   *plan.Route
	Account plan.Account // whose limits and priority apply; zero on public routes and while no accounts are configured
	Owner   string       // account that holds the request's key, also on public routes; "" if none does
	Until   time.Time    // deadline of the final response
	Service string
	Homes   plan.Homes // of the route and of the owner of the key
	Version uint64     // of the configuration that was applied

	Fingerprint string // the same for equal requests of the account; set by Serve
}

// Admit determines route, account, deadline and service of a request, or why the request is refused. It does not count
// against a rate limit.
func (r *Relay) Admit(q *Request) (*Admitted, *result.Failure) {
	p := r.d.Plan()
	if p == nil {
		return nil, notReady()
	}
	u := p.Route(q.Host, q.Path)
	if u == nil {
		return nil, result.New(result.UnknownRoute, "no route for this host and path")
	}
	a := &Admitted{Request: q, Route: u, Version: p.Version}
	c, ok := p.AccountOf(q.Key)
	a.Owner, a.Homes = c.Name, u.Homes.Meet(c.Homes)
	if !u.Public && len(p.Accounts) > 0 {
		if !ok {
			return nil, keyUnknown()
		}
		a.Account = c
	}
	if p.Limits.BodyBytes > 0 && len(q.Body) > p.Limits.BodyBytes {
		return nil, result.New(result.BodyTooLarge, "the body is longer than %d bytes", p.Limits.BodyBytes)
	}
	limit := u.Timeout
	if q.Deadline > 0 {
		limit = min(limit, q.Deadline)
	}
	a.Until = q.Arrived.Add(limit)
	t := p.Holding(u, q.Tokens)
	if len(t) == 0 {
		return nil, tooLarge("the request", q.Tokens)
	}
	a.Service = Choose(t)
	return a, nil
}

// Owner returns the name of the account that holds a key, or "" if none does. unknown is then why a call that needs an account is
// refused; it is nil while no accounts are configured.
func (r *Relay) Owner(key string) (name string, unknown, f *result.Failure) {
	p := r.d.Plan()
	if p == nil {
		return "", nil, notReady()
	}
	a, ok := p.AccountOf(key)
	if !ok && len(p.Accounts) > 0 {
		return "", keyUnknown(), nil
	}
	return a.Name, nil, nil
}

// Serve forwards a request and returns once its final response is written to s.
func (r *Relay) Serve(ctx context.Context, q *Request, s Sink) {
	r.active.Add(1)
	defer r.active.Add(-1)
	a, f := r.Admit(q)
	if f != nil {
		r.refuse(q, "none", s, f)
		return
	}
	if r.cutsOff(a) { // before the rate limit, which the caller's next attempt needs
		r.refuse(q, a.Route.Kind.String(), s, stopping())
		return
	}
	a.Fingerprint = quarantine.Fingerprint(a.Account.Name, q.Method, q.Host, q.Target, q.Body)
	x := &exchange{r: r, a: a, s: s, forget: func() {}}
	defer func() { x.forget() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop, ok := r.d.Quarantines.Watch(a.subject(), func() { x.quarantine(cancel) })
	defer stop()
	if !ok { // before the rate limit, which its account's other requests need
		r.refuse(q, a.Route.Kind.String(), s, promptQuarantined())
		return
	}
	if ok, after := r.d.Quota.Take(ctx, a.Account.Name, share.Limit{Rate: a.Account.Rate, Burst: a.Account.Burst}); !ok {
		r.refuse(q, a.Route.Kind.String(), s, result.New(result.RateExceeded, "account %s is over its rate", a.Account.Name).After(after))
		return
	}
	ctx, cancelDeadline := context.WithDeadline(ctx, a.Until)
	defer cancelDeadline()
	x.run(ctx)
}

func (r *Relay) refuse(q *Request, kind string, s Sink, f *result.Failure, more ...any) {
	r.d.Traffic.Request(kind, int(f.Code))
	r.d.Log.Info("request refused", append([]any{"request", q.ID, "code", int(f.Code), "ran", string(f.Ran), "reason", f.Detail,
		"waited", time.Since(q.Arrived)}, more...)...)
	s.Refuse(f)
}

// subject returns what quarantines know the request by.
func (a *Admitted) subject() quarantine.Subject {
	return quarantine.Subject{Segments: a.Segments, Fingerprint: a.Fingerprint}
}

// crashedUpstreams is why a quarantined request fails.
const crashedUpstreams = "upstreams crashed under this request, or on prompts with a segment of it"

// originLost refuses a take-up that can't go on. It has no Retry-After: the caller may start the stream anew at once, and a take-up would fail
// again at any time.
func originLost(why string) *result.Failure {
	return result.New(result.OriginLost, "%s; start the stream anew, without a last event id", why)
}

func promptQuarantined() *result.Failure {
	return result.New(result.PromptQuarantined, crashedUpstreams).After(quarantine.Retention)
}

// largeRetryAfter is the Retry-After of requests that only another configuration could serve.
const largeRetryAfter = time.Minute

func tooLarge(what string, tokens int) *result.Failure {
	return result.New(result.UpstreamMemory, "%s needs %d tokens of memory, more than any upstream of its service has", what, tokens).After(largeRetryAfter)
}

// TooLarge returns why no item of a job can be run on a route, or nil if an upstream can hold one of them; items is not empty.
func (r *Relay) TooLarge(u *plan.Route, items []docket.Item) *result.Failure {
	p := r.d.Plan()
	if p == nil {
		return nil
	}
	least := items[0].Tokens
	for _, i := range items {
		least = min(least, i.Tokens)
	}
	if len(p.Holding(u, least)) > 0 {
		return nil
	}
	return tooLarge("each item of the job", least)
}

// CheckItems returns why a job is refused for the paths of its items, or nil: a job may hold only items that its client may submit by
// themselves. A path without a route is no reason, as the VM's configuration may be older than the client's.
func (r *Relay) CheckItems(a *Admitted, items []docket.Item) *result.Failure {
	p := r.d.Plan()
	if p == nil {
		return notReady()
	}
	for _, i := range items {
		u := p.Route(a.Host, i.Path)
		switch {
		case u == nil:
		case u.Kind != plan.Batch:
			return result.New(result.MalformedRequest, "the path of item %.40q is not one of a batch route", i.ID)
		case !u.Public && a.Owner == "" && len(p.Accounts) > 0:
			return keyUnknown()
		}
	}
	return nil
}

func keyUnknown() *result.Failure {
	return result.New(result.KeyUnknown, "the key is unknown")
}

func notReady() *result.Failure {
	return result.New(result.NotReady, "there is no configuration yet").After(spread(electionRetryAfter))
}

// Choose returns the service of a random target, drawn by weight; l must not be empty.
func Choose(l []plan.Target) string {
	if len(l) == 1 {
		return l[0].Service
	}
	sum := 0.0
	for _, t := range l {
		sum += t.Weight
	}
	x := rand.Float64() * sum
	for _, t := range l {
		if x -= t.Weight; x < 0 {
			return t.Service
		}
	}
	return l[len(l)-1].Service
}

// spread returns a random Retry-After that is not below d.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(retryAfterSpread*rand.Float64()*float64(d))
}
