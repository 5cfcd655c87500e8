package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpconn"
)

// exchange is one request on its way.
type exchange struct {
	r        *Relay
	a        *Admitted
	s        Sink
	exclude  []string // upstreams that failed it
	prefer   string   // upstream that has its state
	sent     []string // upstreams that may have run it
	begun    bool     // the caller has got the header
	last     uint64   // last event passed on
	attempts int
	placed   time.Time // when the attempt in progress got its place
	reason   string    // of the last failure
}

// verdict is how an attempt ended.
type verdict int

const (
	done    verdict = iota // the caller has its answer
	again                  // not run; another upstream may be asked
	broken                 // may have run
	dropped                // the caller left or the time is over
)

// String returns the verdict's name in metrics.
func (v verdict) String() string {
	return [...]string{"done", "not_run", "broken", "dropped"}[v]
}

// run makes attempts until there is an answer or nothing may be tried any more.
func (x *exchange) run(ctx context.Context) {
	x.last = x.a.Resume
	for {
		c, ok := x.acquire(ctx)
		if !ok {
			x.fail(ctx)
			return
		}
		x.attempts++
		x.placed = time.Now()
		x.logPlace(c)
		v := x.attempt(ctx, c)
		x.r.d.Pool.End(time.Now(), c)
		x.r.d.Traffic.Attempt(v.String())
		switch {
		case v == done:
			x.r.d.Traffic.Request(x.a.Route.Kind.String(), 0)
			return
		case v == dropped:
			x.fail(ctx)
			return
		case v == broken && !x.repeatable():
			x.fail(ctx)
			return
		}
	}
}

// logPlace tells where an attempt goes and what decided that.
func (x *exchange) logPlace(c dispatch.Choice) {
	x.r.d.Log.Info("request placed", "request", x.a.ID, "account", x.a.Account.Name, "route", x.a.Route.Name, "configuration", x.a.Version,
		"attempt", x.attempts, "upstream", c.ID, "load", c.Load, "slots", c.Slots, "event", x.last, "waited", x.placed.Sub(x.a.Arrived))
}

// repeatable reports whether the request may run once more.
func (x *exchange) repeatable() bool {
	switch x.a.Route.Kind {
	case plan.Safe:
		return !x.begun
	case plan.Stream:
		return x.a.Route.Resumable
	}
	return false
}

// spent reports whether no further upstream may run the request.
func (x *exchange) spent() bool {
	return len(x.sent) >= max(1, x.a.Route.Attempts)
}

// acquire takes a place at an upstream, and waits for one as long as that is of use to the caller.
func (x *exchange) acquire(ctx context.Context) (dispatch.Choice, bool) {
	q := dispatch.Request{
		Service:  x.a.Service,
		Session:  x.a.Session,
		Exclude:  x.exclude,
		Prefer:   x.prefer,
		Priority: x.priority(),
		Retried:  x.a.Back || x.attempts > 0,
	}
	if x.attempts >= maxAttempts {
		return dispatch.Choice{}, false
	}
	if x.spent() {
		if x.prefer == "" {
			return dispatch.Choice{}, false
		}
		q.Exclude, q.Only = nil, x.prefer
	}
	c, wait, ok := x.r.d.Pool.Take(time.Now(), q)
	if ok || wait == nil {
		return c, ok
	}
	t := time.NewTimer(x.patience())
	defer t.Stop()
	select {
	case c := <-wait:
		return c, true
	case <-t.C:
	case <-ctx.Done():
	}
	x.r.d.Pool.Leave(time.Now(), x.a.Service, wait)
	x.reason = "no upstream had room"
	return dispatch.Choice{}, false
}

func (x *exchange) priority() int {
	if x.a.Account.Name != "" {
		return x.a.Account.Priority
	}
	return x.a.Route.Priority
}

// patience returns for how long a place is waited for.
func (x *exchange) patience() time.Duration {
	left := time.Until(x.a.Until)
	if x.a.Back || x.attempts > 0 {
		return max(0, left-returnMargin)
	}
	return max(0, min(left, x.a.Route.Objective/waitPart-time.Since(x.a.Arrived)))
}

// attempt sends the request to one upstream.
func (x *exchange) attempt(ctx context.Context, c dispatch.Choice) verdict {
	left := time.Until(x.a.Until) - handBack
	if left < leastTime {
		return dropped
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	watch := x.watchFirst(cancel, c)
	a, err := x.r.d.Upstreams.Send(ctx, x.a.Request, Sending{
		Upstream: c.ID, Address: c.Address, Account: x.a.Account.Name, Left: left, Resume: x.last})
	silent := !watch()
	if err != nil {
		return x.notAnswered(ctx, c, err, silent, time.Since(began))
	}
	defer a.Body.Close()
	x.r.d.Pool.Responded(time.Now(), c.ID)
	if a.Other {
		x.r.d.Pool.AddressReassigned(time.Now(), c.ID)
		x.exclude = append(x.exclude, c.ID)
		x.reason = "the upstream's address has passed on"
		return again
	}
	if a.NotRun {
		x.exclude = append(x.exclude, c.ID)
		x.reason = "the upstream did not run it"
		return again
	}
	x.ran(c.ID)
	if a.Status >= http.StatusInternalServerError {
		x.r.d.Pool.Faulty(time.Now(), c.ID)
		if x.repeatable() && !x.begun && !x.spent() && a.Status != http.StatusGatewayTimeout {
			x.exclude = append(x.exclude, c.ID)
			x.reason = "the upstream failed"
			return broken
		}
	}
	if x.begun && a.Status != http.StatusOK {
		x.exclude, x.prefer = append(x.exclude, c.ID), ""
		x.reason = "the stream could not be resumed"
		return broken // nothing but its next events may follow in a stream
	}
	x.r.d.Patience.Observe(x.a.Service, time.Since(began))
	x.r.d.Traffic.FirstByte(x.a.Route.Kind.String(), time.Since(x.a.Arrived))
	if x.a.Route.Kind == plan.Stream && a.Status == http.StatusOK {
		return x.stream(ctx, cancel, c, a)
	}
	return x.whole(c, a)
}

// ran notes that an upstream may have run the request.
func (x *exchange) ran(id string) {
	for _, s := range x.sent {
		if s == id {
			return
		}
	}
	x.sent = append(x.sent, id)
}

// watchFirst ends an attempt that another upstream could make, when no byte comes; the function it returns ends the
// watch and reports whether the attempt went on.
func (x *exchange) watchFirst(cancel context.CancelFunc, c dispatch.Choice) func() bool {
	if !x.repeatable() || len(x.sent)+1 >= max(1, x.a.Route.Attempts) || c.Load > c.Slots {
		return func() bool { return true }
	}
	d, ok := x.r.d.Patience.FirstByteTimeout(x.a.Service, x.a.Route.Objective-time.Since(x.a.Arrived))
	if !ok {
		d = lateFirst
	}
	t := time.AfterFunc(d, func() {
		if x.r.d.Patience.TakeRetry() {
			cancel()
		}
	})
	return t.Stop
}

// notAnswered judges an attempt that brought no answer.
func (x *exchange) notAnswered(ctx context.Context, c dispatch.Choice, err error, silent bool, took time.Duration) verdict {
	var n httpconn.NotSent
	x.reason = err.Error()
	x.r.d.Log.Info("attempt failed", "request", x.a.ID, "upstream", c.ID, "load", c.Load, "took", took, "silent", silent, "error", err)
	if errors.As(err, &n) {
		if ctx.Err() != nil && !silent {
			return dropped
		}
		x.r.d.Pool.Failed(time.Now(), c.ID)
		x.exclude = append(x.exclude, c.ID)
		return again
	}
	x.ran(c.ID)
	if ctx.Err() != nil && !silent {
		return dropped
	}
	x.exclude = append(x.exclude, c.ID)
	if silent && !x.r.d.Pool.RespondedSince(c.ID, time.Now().Add(-took)) {
		x.r.d.Pool.Failed(time.Now(), c.ID)
	}
	return broken
}

// whole passes an answer on that is not a series of events.
func (x *exchange) whole(c dispatch.Choice, a *Answer) verdict {
	if !a.Signed || a.Length > wholeBytes {
		return x.copied(a)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes+1))
	if err != nil || len(b) > wholeBytes {
		x.reason = "the answer broke off"
		x.exclude = append(x.exclude, c.ID)
		return broken
	}
	x.s.Begin(a.Status, a.Header, int64(len(b)))
	if _, err := x.s.Write(b); err != nil {
		return dropped
	}
	return done
}

// copied passes a long answer on as it comes; one that breaks off does not look whole.
func (x *exchange) copied(a *Answer) verdict {
	if !a.Signed {
		x.reason = "the answer has no signature"
		return broken
	}
	x.begun = true
	x.s.Begin(a.Status, a.Header, a.Length)
	if _, err := io.CopyBuffer(onlyWriter{x.s}, a.Body, make([]byte, chunkBytes)); err != nil {
		x.s.Abort()
	}
	return done
}

// onlyWriter hides the other methods of a Sink.
type onlyWriter struct{ io.Writer }

// fail gives the caller the final answer of a request that could not be served.
func (x *exchange) fail(ctx context.Context) {
	if x.begun {
		x.r.d.Traffic.Request(x.a.Route.Kind.String(), int(result.UpstreamBroken))
		x.r.d.Log.Info("stream broken off", "request", x.a.ID, "event", x.last, "reason", x.reason)
		x.s.Abort()
		return
	}
	x.r.refuse(x.a.Request, x.a.Route.Kind.String(), x.s, x.failure(ctx))
}

func (x *exchange) failure(ctx context.Context) *result.Failure {
	over := ctx.Err() != nil || time.Until(x.a.Until) < leastTime+handBack
	switch {
	case len(x.sent) > 0 && over:
		return result.New(result.UpstreamSilent, "no answer in time: %s", x.reason).WithRan(result.Unknown)
	case len(x.sent) > 0:
		return result.New(result.UpstreamBroken, "%s", x.reason).WithRan(result.Unknown)
	case !x.r.d.Pool.Known(x.a.Service):
		return result.New(result.UpstreamNone, "service has no upstream").After(retryAfter())
	default:
		return result.New(result.QueueFull, "%s", x.reason).After(retryAfter())
	}
}
