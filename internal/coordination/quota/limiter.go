package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// Timing of token requests.
const (
	requestTimeout = 250 * time.Millisecond // after this the next keeper is tried
	errorPause     = 20 * time.Millisecond  // after a failed token request, to avoid a busy loop
)

// RequestProvider sends a token request to a keeper; a keeper that is not the owner returns an error.
type RequestProvider interface {
	RequestTokens(ctx context.Context, keeper string, a TokenRequest) (TokenResponse, error)
}

// LimiterDeps are the collaborators of a Limiter.
type LimiterDeps struct {
	Requests RequestProvider
	Keepers  []string // nearest first
	Policy   Policy
	Log      *slog.Logger
}

// Limiter admits work at one VM with tokens of the fleet's quota owner; it is safe for concurrent use.
type Limiter struct {
	d          LimiterDeps
	mu         sync.Mutex // guards all below
	holder     *Holder
	waiting    map[uint64]chan Refusal // by request id; closed without a value when admitted
	lastID     uint64
	nextKeeper int // index in Keepers of the one that the next token request goes to
	wakeup     chan struct{}
	wait       sync.WaitGroup
}

// New returns a Limiter that admits once Run is called.
func New(d LimiterDeps) *Limiter {
	return &Limiter{
		d:       d,
		holder:  NewHolder(d.Policy),
		waiting: map[uint64]chan Refusal{},
		wakeup:  make(chan struct{}, 1),
	}
}

// Run requests tokens from the owner until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	defer l.wait.Wait()
	for {
		w, ok := l.processDue(ctx)
		if !ok {
			w = time.Hour
		}
		t := time.NewTimer(w)
		select {
		case <-l.wakeup:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// Admit takes a token for an online request, waiting for a grant if need be. Otherwise it
// returns a Failure, which says when to retry unless ctx ended first (DeadlineExceeded).
func (l *Limiter) Admit(ctx context.Context, a catalog.Account) error {
	return l.admit(ctx, a, Online)
}

// AdmitItem takes a token for a batch item as Admit does; it returns immediately if the account's batch work is unlimited.
func (l *Limiter) AdmitItem(ctx context.Context, a catalog.Account) error {
	return l.admit(ctx, a, Batch)
}

func (l *Limiter) admit(ctx context.Context, a catalog.Account, c Class) error {
	m, ok := LimitOf(a, c)
	if !ok {
		return nil
	}
	k := Key{Account: a.Name, Class: c}
	id, w, err := l.arrive(k, m)
	if w == nil {
		return err
	}
	select {
	case r, refused := <-w:
		if !refused {
			return nil
		}
		return failure(r)
	case <-ctx.Done():
		return l.leave(k, id, w)
	}
}

// arrive returns a channel to wait on, or nil when the request was admitted or refused immediately.
func (l *Limiter) arrive(k Key, m Limit) (uint64, chan Refusal, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	n := time.Now()
	d, after := l.holder.Arrive(n, k, m, l.lastID)
	switch d {
	case Admitted:
		if l.holder.NeedsTokens(n, k) {
			l.wake()
		}
		return 0, nil, nil
	case Refused:
		return 0, nil, failure(Refusal{Key: k, OwnerResponded: true, After: after})
	}
	w := make(chan Refusal, 1)
	l.waiting[l.lastID] = w
	l.wake()
	return l.lastID, w, nil
}

// leave gives up the wait of a caller whose context ended, unless the request has just been admitted or refused.
func (l *Limiter) leave(k Key, id uint64, w chan Refusal) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case r, refused := <-w:
		if !refused {
			return nil
		}
		return failure(r)
	default:
	}
	delete(l.waiting, id)
	l.holder.Leave(k, id)
	return result.New(result.DeadlineExceeded, "the caller left or its deadline passed before account %s had a token", k.Account)
}

// processDue refuses requests that have waited too long and sends the token requests that are due. It returns the time
// until more is due, or false when nothing is pending.
func (l *Limiter) processDue(ctx context.Context) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := time.Now()
	for _, r := range l.holder.Expire(n) {
		l.refuse(r)
	}
	for s, ok := l.holder.NextRequest(n); ok; s, ok = l.holder.NextRequest(n) {
		i := l.nextKeeper
		l.wait.Go(func() { l.requestTokens(ctx, s, i) })
	}
	t, ok := l.holder.Wake(n)
	return max(0, t.Sub(n)), ok
}

func (l *Limiter) requestTokens(ctx context.Context, s SentRequest, i int) {
	c, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := l.d.Requests.RequestTokens(c, l.d.Keepers[i], s.Request)
	if err != nil {
		l.d.Log.Debug("token request failed; trying the next keeper", "keeper", l.d.Keepers[i], "error", err)
		pause.For(c, errorPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.wake()
	if err != nil {
		l.holder.Abandon(s)
		if l.nextKeeper == i {
			l.nextKeeper = (i + 1) % len(l.d.Keepers)
		}
		return
	}
	l.nextKeeper = i
	for _, id := range l.holder.HandleResponse(time.Now(), s, r) {
		close(l.waiting[id])
		delete(l.waiting, id)
	}
}

func (l *Limiter) refuse(r Refusal) {
	w := l.waiting[r.ID]
	delete(l.waiting, r.ID)
	w <- r
}

func (l *Limiter) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

func failure(r Refusal) error {
	if !r.OwnerResponded {
		return result.New(result.NoQuorum, "the quota owner of account %s does not answer", r.Key.Account).After(time.Second)
	}
	return result.New(result.RateExceeded, "account %s is above its rate", r.Key.Account).After(r.After)
}
