package gateway

import (
	"context"
	"net/http"
	"time"

	"snipetack/internal/coordination/access"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// Timing of the checks that requests in flight still have a valid key.
const (
	// keyCheckInterval is the time between checks of the keys' expiry and of the age of the configuration copy; a new
	// revision is checked immediately.
	keyCheckInterval = 250 * time.Millisecond

	// maxCopyAgeInFlight is the age of the configuration copy above which requests in flight are stopped. It lies two
	// check intervals below the lease, so that they are stopped before the copy stops being fresh.
	maxCopyAgeInFlight = feed.FreshnessLease - 2*keyCheckInterval
)

// admission is a request in flight; ctx is cancelled with a Failure as its cause when the request must stop.
type admission struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	account catalog.Account // zero on an open route
	key     string          // key id; empty on an open route
}

// Authenticate returns the key that came with the request and its account, or a Failure. While the configuration copy
// is not fresh it refuses every key with NotReady, since the copy could lack the key's withdrawal.
func (g *Gateway) Authenticate(r *http.Request) (catalog.Account, catalog.Key, error) {
	if !g.d.Copy.Fresh() {
		return catalog.Account{}, catalog.Key{}, result.New(result.NotReady, "the configuration copy is not fresh").After(time.Second)
	}
	c := g.d.Copy.Current()
	k, err := access.Authenticate(c, access.Bearer(r.Header.Get("Authorization")), time.Now())
	if err != nil {
		return catalog.Account{}, catalog.Key{}, err
	}
	a, ok := c.Accounts[k.Account]
	if !ok {
		return catalog.Account{}, catalog.Key{}, result.New(result.KeyUnknown, "the key belongs to no account")
	}
	g.setAccount(r, a.Name)
	return a, k, nil
}

// Watch returns a context that is cancelled, with a Failure as its cause, when the key is withdrawn or expires or when
// the configuration copy is too old to tell.
//
// It is for handlers of long responses; they must call the returned function once when they end.
func (g *Gateway) Watch(ctx context.Context, k catalog.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &admission{ctx: ctx, cancel: cancel, key: k.ID}
	g.mu.Lock()
	g.admitted[a] = struct{}{}
	g.mu.Unlock()
	g.checkKey(a)
	return ctx, func() {
		g.mu.Lock()
		delete(g.admitted, a)
		g.mu.Unlock()
		cancel(nil)
	}
}

// Run cancels requests in flight whose key is withdrawn or expires, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	t := time.NewTicker(keyCheckInterval)
	defer t.Stop()
	for {
		changed := g.d.Copy.Changed()
		g.checkKeys()
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// admit authenticates a request for a route and watches its key; an open route needs none. The returned function must
// be called once when the request ends.
func (g *Gateway) admit(r *http.Request, t catalog.Route) (*admission, func(), error) {
	if t.Open {
		ctx, cancel := context.WithCancelCause(r.Context())
		return &admission{ctx: ctx, cancel: cancel}, func() { cancel(nil) }, nil
	}
	a, k, err := g.Authenticate(r)
	if err != nil {
		return nil, nil, err
	}
	if err := access.Admit(t, a.Name); err != nil {
		return nil, nil, err
	}
	ctx, leave := g.Watch(r.Context(), k)
	return &admission{ctx: ctx, account: a, key: k.ID}, leave, nil
}

// checkKeys checks the keys of all requests in flight.
func (g *Gateway) checkKeys() {
	g.mu.Lock()
	l := make([]*admission, 0, len(g.admitted))
	for a := range g.admitted {
		l = append(l, a)
	}
	g.mu.Unlock()
	for _, a := range l {
		g.checkKey(a)
	}
}

// checkKey cancels a request whose key is withdrawn or expired, or could be: a configuration copy that is too old may
// lack the withdrawal.
func (g *Gateway) checkKey(a *admission) {
	if g.d.Copy.Age() > maxCopyAgeInFlight {
		a.cancel(result.New(result.NotReady, "key %s may have been withdrawn: the configuration copy is too old", a.key))
		return
	}
	k, ok := g.d.Copy.Current().Keys[a.key]
	if ok && access.Live(k, time.Now()) {
		return
	}
	a.cancel(result.New(result.KeyWithdrawn, "key %s no longer works", a.key))
}

// stopCause returns the Failure with which ctx was cancelled, with the state of execution that err reports. It returns
// err itself if err is nil, or if ctx has not ended or has ended without a Failure.
func stopCause(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	f := result.Of(context.Cause(ctx))
	if f.Code == result.Internal {
		return err
	}
	return f.WithRan(result.Of(err).Ran)
}

// withDeadline bounds a request by the deadline of its service; zero means no deadline.
func withDeadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, d, result.New(result.DeadlineExceeded, "the deadline of %s has passed", d))
}
