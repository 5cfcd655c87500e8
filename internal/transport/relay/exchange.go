package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpconn"
)

// exchange is the state of one request across its attempts.
type exchange struct {
	r          *Relay
	a          *Admitted
	s          Sink
	exclude    []string // ids of upstreams where an attempt failed
	prefer     string   // id of the upstream that can resume the stream, or ""
	mayHaveRun []string // ids of upstreams that may have run the request
	headerSent bool     // status and header of a streamed or long response have been sent
	lastEvent  uint64   // id of the last event sent to the caller
	attempts   int
	slotTaken  time.Time     // when the current attempt got its slot
	heard      time.Time     // when the caller last got an event, or sent the request
	ran        time.Duration // for which earlier attempts ran whose events the caller has
	reason     string        // of the last failure; part of the error that the caller gets

	tracked  *quarantine.Run // the current attempt
	brokeOff bool            // the upstream closed the connection of the current attempt before the end of the response

	pinned bool          // only upstreams of origin are acceptable: the caller has events from there
	origin origin.Origin // where the stream began
	forget func()        // ends the record of it

	quarantined atomic.Bool // no further attempt is made
	progressed  atomic.Bool // the current attempt has sent events to the caller
}

// verdict is the outcome of an attempt.
type verdict int

const (
	done    verdict = iota // the response is finished, or was aborted midway; no further attempt
	notRun                 // the upstream did not run the request; any request may be sent to another one
	broken                 // the upstream may have run the request; only a repeatable one is sent again
	dropped                // the caller disconnected or the deadline passed
)

// String returns the verdict's name in metrics.
func (v verdict) String() string {
	return [...]string{"done", "not_run", "broken", "dropped"}[v]
}

// run makes attempts until the caller has a response or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	x.lastEvent, x.heard = x.a.Resume, x.a.Arrived
	if f := x.pinTakeUp(ctx); f != nil {
		x.r.refuse(x.a.Request, x.a.Route.Kind.String(), x.s, f)
		return
	}
	for {
		c, ok := x.acquire(ctx)
		if ok && x.quarantined.Load() {
			x.r.d.Pool.End(time.Now(), c)
			ok = false
		}
		if ok && !x.headerSent && len(x.mayHaveRun) == 0 {
			if f := x.refusedAfterWait(); f != nil {
				x.r.d.Pool.End(time.Now(), c)
				x.r.refuse(x.a.Request, x.a.Route.Kind.String(), x.s, f)
				return
			}
		}
		if !ok {
			x.fail(ctx)
			return
		}
		x.attempts++
		x.slotTaken = time.Now()
		x.logAttempt(c)
		v := x.attempt(ctx, c)
		if x.progressed.Load() {
			x.ran += time.Since(x.slotTaken)
		}
		x.r.d.Pool.End(time.Now(), c)
		x.r.d.Traffic.Attempt(v.String())
		switch {
		case v == done:
			x.r.runTimes.Observe(x.a.Route.Name, time.Since(x.slotTaken))
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

// refusedAfterWait returns why a request that has not run and has a slot now is refused, or nil: meanwhile the VM stops, or the key was withdrawn.
func (x *exchange) refusedAfterWait() *result.Failure {
	if x.r.cutsOff(x.a) {
		return stopping()
	}
	p := x.r.d.Plan()
	if x.a.Account.Name == "" || p == nil || p.Version == x.a.Version {
		return nil
	}
	if a, ok := p.AccountOf(x.a.Key); !ok || a.Name != x.a.Account.Name {
		return keyUnknown()
	}
	return nil
}

// pinTakeUp pins a stream that the caller takes up to the version that began it, or returns why it can't go on.
func (x *exchange) pinTakeUp(ctx context.Context) *result.Failure {
	if x.a.Resume == 0 || x.a.Route.Kind != plan.Stream || !x.a.Route.Resumable {
		return nil
	}
	o, ok := x.r.d.Origins.Find(ctx, x.a.Account.Name, x.a.TakesUp, x.a.Service)
	switch {
	case !ok:
		return originLost("the software version that began the stream is not known")
	case !slices.ContainsFunc(x.a.Route.Targets, func(t plan.Target) bool { return t.Service == o.Service }):
		return originLost("the route has left the service that began the stream")
	}
	x.pinned, x.origin, x.a.Service = true, o, o.Service
	if !x.servable("") {
		return originLost(versionGone)
	}
	x.forget = x.r.d.Origins.Record(x.a.Account.Name, x.a.TakesUp, o) // its caller may have to take it up once more
	return nil
}

// servable reports whether an upstream other than one may serve the request some time: in its homes, and of the version that it is pinned to.
func (x *exchange) servable(other string) bool {
	return x.r.d.Pool.Servable(x.choice(), other)
}

// choice returns which upstreams may serve the request.
func (x *exchange) choice() dispatch.Request {
	return dispatch.Request{Service: x.a.Service, Homes: x.a.Homes, Pinned: x.pinned, Version: x.origin.Version}
}

// versionGone is why a stream can't go on.
const versionGone = "no upstream of the software version that began the stream is left"

// pin pins the stream to an upstream's version once the caller has events from there, and remembers where it began.
func (x *exchange) pin(c dispatch.Choice) {
	if x.pinned {
		return
	}
	x.pinned, x.origin = true, origin.Origin{Service: x.a.Service, Version: c.Version}
	if c.Doubtful || x.doubtful(c) {
		x.origin.Version = origin.Unknown
	}
	if x.a.Resume == 0 && x.a.Route.Resumable {
		x.forget = x.r.d.Origins.Record(x.a.Account.Name, x.a.ID, x.origin)
	}
}

// quarantine ends the request when its prompt was quarantined. A response that has gone on is finished, as it shows that this
// run does not crash the upstream.
func (x *exchange) quarantine(cancel context.CancelCauseFunc) {
	x.quarantined.Store(true)
	if !x.progressed.Load() {
		cancel(errQuarantined)
	}
}

// errQuarantined is the cause of cancelling a request whose prompt was quarantined.
var errQuarantined = errors.New("the prompt was quarantined")

// logAttempt logs the upstream of an attempt with the values that determined it.
func (x *exchange) logAttempt(c dispatch.Choice) {
	x.r.d.Log.Info("request placed", append([]any{"request", x.a.ID, "account", x.a.Account.Name, "route", x.a.Route.Name, "configuration", x.a.Version,
		"attempt", x.attempts, "upstream", c.ID, "software", c.Version, "load", c.Load, "slots", c.Slots, "event", x.lastEvent, "takes_up", x.a.TakesUp, "waited", x.slotTaken.Sub(x.a.Arrived)}, x.decision(c)...)...)
}

// doubtful reports whether an upstream may have started again, with another version of its software, since the list was read.
func (x *exchange) doubtful(c dispatch.Choice) bool {
	return c.Version != "" && x.r.d.Restarts.Doubtful(c.ID)
}

// repeatable reports whether the request may be sent again after an upstream may have run it.
func (x *exchange) repeatable() bool {
	switch x.a.Route.Kind {
	case plan.Safe:
		return !x.headerSent
	case plan.Stream:
		return x.a.Route.Resumable
	}
	return false
}

// upstreamsExhausted reports whether as many upstreams may have run the request as its route allows.
func (x *exchange) upstreamsExhausted() bool {
	return len(x.mayHaveRun) >= max(1, x.a.Route.Attempts)
}

// acquire takes a slot at an upstream that may get a request now, and waits until latestStart for one.
func (x *exchange) acquire(ctx context.Context) (dispatch.Choice, bool) {
	ticket := uint64(0)
	for {
		c, ok := x.acquireSlot(ctx, ticket)
		if !ok {
			return c, false
		}
		ok, wait := x.r.d.Limits.Take(ctx, c.ID)
		if ok {
			x.r.d.Pool.Admitted(time.Now(), c)
			return c, true
		}
		x.r.d.Pool.Limited(time.Now(), c, wait)
		ticket = c.Ticket
		x.reason = "the upstreams are at the limits that they name"
	}
}

// acquireSlot takes a slot at an upstream and waits until latestStart for one. A request that is expected to wait for longer does not wait.
//
// Once the upstreams are exhausted, only the one that can resume the stream is acceptable.
func (x *exchange) acquireSlot(ctx context.Context, ticket uint64) (dispatch.Choice, bool) {
	latest := x.latestStart()
	q := dispatch.Request{
		Service:  x.a.Service,
		Session:  x.a.Session,
		Exclude:  x.exclude,
		Prefer:   x.prefer,
		Priority: x.priority(),
		Pinned:   x.pinned,
		Version:  x.origin.Version,
		Homes:    x.a.Homes,
		Latest:   latest,
		MaxWait:  time.Until(latest),
		Ticket:   ticket,
		Account:  x.a.Account.Name,
		Size:     x.r.runTimes.Mean(x.a.Route.Name),
	}
	q.Objective, q.FirstBy = x.objective()
	if x.attempts >= maxAttempts {
		return dispatch.Choice{}, false
	}
	if x.pinned && !x.servable("") {
		x.reason = versionGone
		return dispatch.Choice{}, false
	}
	if x.upstreamsExhausted() {
		if x.prefer == "" {
			return dispatch.Choice{}, false
		}
		q.Exclude, q.Only = nil, x.prefer
	}
	c, wait, ok := x.r.d.Pool.Take(time.Now(), q)
	if ok || wait == nil {
		if !ok && x.reason == "" {
			x.reason = "there will be no room in time"
		}
		return c, ok
	}
	return x.awaitSlot(ctx, wait)
}

// awaitSlot waits for a slot in the queue until latestStart, which a stop of this VM may move.
func (x *exchange) awaitSlot(ctx context.Context, wait <-chan dispatch.Choice) (dispatch.Choice, bool) {
	stops := x.r.stops
	for {
		t := time.NewTimer(time.Until(x.latestStart()))
		select {
		case c, ok := <-wait:
			t.Stop()
			if !ok {
				x.reason = "there will be no room in time"
			}
			if !ok && x.pinned && !x.servable("") {
				x.reason = versionGone
			}
			if ok && time.Now().After(x.latestStart()) { // which is earlier now than it was when the wait began, as run times are better known
				x.r.d.Pool.Admitted(time.Now(), c)
				x.r.d.Pool.End(time.Now(), c)
				x.reason = "the slot came too late"
				return dispatch.Choice{}, false
			}
			return c, ok
		case <-stops:
			t.Stop()
			stops = nil
			continue
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		x.r.d.Pool.Leave(time.Now(), x.a.Service, wait)
		x.reason = "no upstream had room"
		return dispatch.Choice{}, false
	}
}

func (x *exchange) priority() int {
	if x.a.Account.Name != "" {
		return x.a.Account.Priority
	}
	return x.a.Route.Priority
}

// latestStart returns when an attempt must begin to be of use to the caller: its response has to be complete by the deadline, and by the
// stop of this VM. The caller of a stream must get the next event before it loses patience.
func (x *exchange) latestStart() time.Time {
	work := max(minAttemptTime, x.r.runTimes.Allowance(x.a.Route.Name)-x.ran)
	t := x.a.Until.Add(-work - responseMargin)
	if e := x.r.endsAt.Load(); e != nil && !x.headerSent {
		t = earlier(t, e.Add(-work))
	}
	if p := x.a.Route.Patience; p > 0 {
		t = earlier(t, x.heard.Add(p-max(minAttemptTime, x.r.d.RetryPolicy.FirstByte(x.a.Service))-responseMargin))
	}
	return t
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// attempt sends the request to one upstream and forwards its response.
func (x *exchange) attempt(ctx context.Context, c dispatch.Choice) verdict {
	left := time.Until(x.a.Until) - responseMargin
	if left < minAttemptTime {
		return dropped
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.progressed.Store(false)
	x.brokeOff, x.tracked = false, x.r.d.Crashes.Start(c.ID, x.a.subject())
	defer func() { x.tracked.End(x.brokeOff) }()
	began := time.Now()
	w := x.watchFirstByte(cancel, c)
	w.start()
	a, err := x.r.d.Upstreams.Send(attemptCtx, x.a.Request, Sending{
		Upstream: c.ID, Address: c.Address, Account: x.a.Account.Name, Left: left, Resume: x.lastEvent,
		Stream: x.a.Route.Kind == plan.Stream})
	silent := w.stop()
	if err == nil && silent { // the header arrived while the attempt was cancelled
		x.r.d.Pool.Responded(time.Now(), c.ID)
		_ = a.Body.Close()
		err = attemptCtx.Err()
	}
	if err != nil {
		return x.noResponse(ctx, c, err, silent, time.Since(began))
	}
	defer a.Body.Close()
	x.r.d.Pool.Responded(time.Now(), c.ID)
	if !a.AddressReassigned { // another upstream has responded
		x.r.d.Restarts.Responded(time.Now(), c.ID, began)
		x.r.d.Limits.Observe(c.ID, a.Limit)
		if a.NamesCold {
			x.r.d.Limits.ObserveCold(c.ID, a.Cold)
		}
		if a.Leaving {
			x.r.d.Departures.Observe(c.ID)
		}
		x.reported(c, a, time.Since(began))
	}
	if a.AddressReassigned {
		x.r.d.Pool.AddressReassigned(time.Now(), c.ID)
		x.exclude = append(x.exclude, c.ID)
		x.reason = "the upstream's address has passed on"
		return notRun
	}
	if a.NotRun {
		x.exclude = append(x.exclude, c.ID)
		x.reason = "the upstream did not run it"
		return notRun
	}
	x.addMayHaveRun(c.ID)
	x.tracked.Begun()
	if a.Status >= http.StatusInternalServerError {
		x.r.d.Pool.RecordErrorResponse(time.Now(), c.ID)
		if x.repeatable() && !x.headerSent && !x.upstreamsExhausted() && a.Status != http.StatusGatewayTimeout { // after a 504 no time is left
			x.exclude = append(x.exclude, c.ID)
			x.reason = "the upstream failed"
			return broken
		}
	}
	if x.pinned && x.doubtful(c) {
		x.exclude, x.prefer = append(x.exclude, c.ID), ""
		x.reason = "the upstream may have started again with another version"
		return broken
	}
	if x.headerSent && a.Status != http.StatusOK {
		x.exclude, x.prefer = append(x.exclude, c.ID), ""
		x.reason = "the stream could not be resumed"
		return broken // the caller has part of a stream; another response can't follow it
	}
	x.r.d.RetryPolicy.Observe(x.a.Service, x.usualTime(c, time.Since(began)))
	x.r.d.Traffic.FirstByte(x.a.Route.Kind.String(), time.Since(x.a.Arrived))
	if x.a.Route.Kind == plan.Stream && a.Status == http.StatusOK {
		return x.relayStream(ctx, cancel, c, a)
	}
	return x.relayResponse(c, a)
}

// addMayHaveRun records that an upstream may have run the request.
func (x *exchange) addMayHaveRun(id string) {
	for _, s := range x.mayHaveRun {
		if s == id {
			return
		}
	}
	x.mayHaveRun = append(x.mayHaveRun, id)
}

// watchFirstByte returns a watchdog that cancels an attempt whose response header does not arrive within the first-byte timeout,
// provided that another upstream may repeat it and the retry budget allows that.
//
// An attempt at an upstream whose slots are all taken is not cancelled, since a late first byte is expected there.
func (x *exchange) watchFirstByte(cancel context.CancelFunc, c dispatch.Choice) *watchdog {
	if !x.repeatable() || len(x.mayHaveRun)+1 >= max(1, x.a.Route.Attempts) || c.Load > c.Slots {
		return &watchdog{}
	}
	d, ok := x.firstByteTimeout(c)
	if !ok {
		return &watchdog{}
	}
	began := time.Now()
	return &watchdog{limit: d, again: firstByteRecheck, cancel: cancel, expire: func() bool {
		now := time.Now()
		if now.After(x.latestStart()) {
			return false
		}
		// A busy upstream has the request in its queue; elsewhere it would have to wait again unless there is a free slot.
		queued := x.r.d.Pool.RespondedSince(c.ID, began)
		return (!queued || x.r.d.Pool.HasRoom(now, x.choice(), c.ID)) && x.r.d.RetryPolicy.TakeRetry()
	}}
}

// noResponse returns the verdict on an attempt that ended with an error before the response header; silent is set when it was
// cancelled after the first-byte timeout.
func (x *exchange) noResponse(ctx context.Context, c dispatch.Choice, err error, silent bool, took time.Duration) verdict {
	var n httpconn.NotSent
	x.reason = err.Error()
	x.r.d.Log.Info("attempt failed", "request", x.a.ID, "upstream", c.ID, "load", c.Load, "took", took, "silent", silent, "segments", x.a.Segments,
		"fingerprint", x.a.Fingerprint, "error", err)
	if errors.As(err, &n) {
		if ctx.Err() != nil {
			return dropped
		}
		if errors.Is(err, syscall.ECONNREFUSED) { // no process listens there; another error may be due to the network
			x.r.d.Restarts.Broke(time.Now(), c.ID)
		}
		x.r.d.Pool.RecordUnreachable(time.Now(), c.ID)
		x.exclude = append(x.exclude, c.ID)
		return notRun
	}
	x.addMayHaveRun(c.ID)
	if ctx.Err() != nil {
		return dropped
	}
	x.exclude = append(x.exclude, c.ID)
	badResponse := errors.As(err, new(httpconn.BadResponse))
	if badResponse {
		x.r.d.Pool.RecordErrorResponse(time.Now(), c.ID)
	}
	if x.brokeOff = !silent && !badResponse; x.brokeOff {
		x.r.d.Restarts.Broke(time.Now(), c.ID)
	}
	if silent && !x.r.d.Pool.RespondedSince(c.ID, time.Now().Add(-took)) {
		x.r.d.Pool.RecordUnreachable(time.Now(), c.ID)
	}
	return broken
}

// relayResponse sends a response to the caller that is not an event stream. A signed response of at most maxBufferedBytes is
// read completely before its first byte is sent, so that a truncated one can be repeated, unless the memory for that is used up.
func (x *exchange) relayResponse(c dispatch.Choice, a *Response) verdict {
	if !a.Signed || a.Length > maxBufferedBytes {
		return x.copyResponse(a, a.Body)
	}
	room := x.r.memory.Reserve()
	defer room.Release()
	b, whole, err := readWhole(a.Body, room)
	if err == nil && !whole {
		return x.copyResponse(a, io.MultiReader(bytes.NewReader(b), a.Body))
	}
	if err != nil {
		x.brokeOff = true
		x.r.d.Restarts.Broke(time.Now(), c.ID)
		x.r.d.Log.Info("response broke off", "request", x.a.ID, "upstream", c.ID, "fingerprint", x.a.Fingerprint, "error", err)
		x.reason = "the answer broke off"
		x.exclude = append(x.exclude, c.ID)
		return broken
	}
	x.tracked.Complete()
	x.s.Begin(a.Status, a.Header, int64(len(b)))
	if _, err := x.s.Write(b); err != nil {
		return dropped
	}
	return done
}

// readWhole reads a body to its end. It stops, and whole is false, above maxBufferedBytes or when there is no room for more.
func readWhole(body io.Reader, room *Reservation) (b []byte, whole bool, err error) {
	var w bytes.Buffer
	for w.Len() <= maxBufferedBytes && room.Resize(w.Len()+chunkBytes) {
		_, err := io.CopyN(&w, body, chunkBytes)
		if errors.Is(err, io.EOF) {
			return w.Bytes(), true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return w.Bytes(), false, nil
}

// copyResponse sends a long response to the caller while it arrives; if it is truncated, the caller's connection is aborted.
// An unsigned response is not sent.
func (x *exchange) copyResponse(a *Response, body io.Reader) verdict {
	if !a.Signed {
		x.reason = "the answer has no signature"
		return broken
	}
	x.headerSent = true
	x.s.Begin(a.Status, a.Header, a.Length)
	if _, err := io.CopyBuffer(onlyWriter{x.s}, body, make([]byte, chunkBytes)); err != nil {
		x.s.Abort()
		return done
	}
	x.tracked.Complete()
	return done
}

// onlyWriter hides the other methods of a Sink from io.CopyBuffer.
type onlyWriter struct{ io.Writer }

// fail ends a request that could not be served: with an error response, or with an abort if the header has been sent.
func (x *exchange) fail(ctx context.Context) {
	if x.headerSent {
		x.r.d.Traffic.Request(x.a.Route.Kind.String(), int(result.UpstreamBroken))
		x.r.d.Log.Info("stream aborted", "request", x.a.ID, "event", x.lastEvent, "reason", x.reason)
		x.s.Abort()
		return
	}
	x.r.refuse(x.a.Request, x.a.Route.Kind.String(), x.s, x.failure(ctx), x.refusedStanding()...)
}

// failure returns the error for the caller. It states that the request has not run unless an upstream may have run it.
func (x *exchange) failure(ctx context.Context) *result.Failure {
	quarantined := x.quarantined.Load()
	over := ctx.Err() != nil && !quarantined || time.Until(x.a.Until) < minAttemptTime+responseMargin
	switch {
	case quarantined && len(x.mayHaveRun) == 0:
		return promptQuarantined()
	case quarantined:
		return result.New(result.UpstreamBroken, crashedUpstreams).WithRan(result.Unknown)
	case len(x.mayHaveRun) > 0 && over:
		return result.New(result.UpstreamSilent, "no answer in time: %s", x.reason).WithRan(result.Unknown)
	case len(x.mayHaveRun) > 0:
		return result.New(result.UpstreamBroken, "%s", x.reason).WithRan(result.Unknown)
	case x.reason == versionGone:
		return originLost(versionGone)
	case !x.r.d.Pool.HasUpstream(x.a.Service):
		return result.New(result.UpstreamNone, "service has no upstream").After(spread(upstreamsRetryAfter))
	case !x.servable(""):
		return result.New(result.UpstreamNone, "service has no upstream in the home regions").After(spread(upstreamsRetryAfter))
	case x.r.cutsOff(x.a):
		return stopping()
	default:
		return result.New(result.QueueFull, "%s", x.reason).After(spread(max(minRetryAfter, x.r.d.Pool.ForecastFor(time.Now(), x.forecastRequest()))))
	}
}
