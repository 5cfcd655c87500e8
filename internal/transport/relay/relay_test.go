package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/share"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/relay"
)

// reaction is how an upstream of a test responds to one request.
type reaction struct {
	err    error
	wait   time.Duration // before the header
	status int           // 200 where it is 0
	body   string
	end    error // error after the body; io.EOF where it is nil
	stall  bool  // after the text the body blocks until the request is cancelled
	late   bool  // the header arrives just when the request is cancelled
	notRun bool
	other  bool
	plain  bool // without the upstream's signature

	unframed bool // the response ends with its connection

	endless string        // repeated after the text, up to maxEndless bytes
	pause   time.Duration // before each repetition
}

const maxEndless = 8 << 20

// upstreams apply the reactions to the requests in order; the last one repeats.
type upstreams struct {
	reactions []reaction
	sent      []relay.Sending
	endless   int // bytes of endless responses that were read
}

func (u *upstreams) Send(ctx context.Context, _ *relay.Request, s relay.Sending) (*relay.Response, error) {
	u.sent = append(u.sent, s)
	r := u.reactions[min(len(u.sent), len(u.reactions))-1]
	select {
	case <-time.After(r.wait):
	case <-ctx.Done():
		if !r.late {
			return nil, ctx.Err()
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	a := &relay.Response{Status: 200, Length: -1, NotRun: r.notRun, AddressReassigned: r.other, Signed: !r.plain, Unframed: r.unframed, Header: http.Header{"Up": {s.Upstream}}}
	if r.status != 0 {
		a.Status = r.status
	}
	a.Body = &body{ctx: ctx, text: strings.NewReader(r.body), end: r.end, stall: r.stall}
	if r.endless != "" {
		a.Body = &endlessBody{body: body{ctx: ctx, text: strings.NewReader(r.body), stall: true}, r: r, read: &u.endless}
	}
	return a, nil
}

// body yields a text and then an error, or blocks.
type body struct {
	ctx   context.Context //nolint:containedctx // its end unblocks Read, as with a connection
	text  *strings.Reader
	end   error
	stall bool
}

func (b *body) Read(x []byte) (int, error) {
	n, err := b.text.Read(x)
	if err == nil {
		return n, nil
	}
	if b.stall {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	if b.end != nil {
		return 0, b.end
	}
	return 0, io.EOF
}

func (b *body) Close() error { return nil }

// endlessBody yields a text and then another one again and again.
type endlessBody struct {
	body
	r    reaction
	read *int // bytes of the repetitions
}

func (b *endlessBody) Read(x []byte) (int, error) {
	if b.text.Len() > 0 || *b.read >= maxEndless {
		return b.body.Read(x)
	}
	select {
	case <-time.After(b.r.pause):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := copy(x, b.r.endless)
	*b.read += n
	return n, nil
}

// caller is a Sink that records what a caller receives.
type caller struct {
	status  int
	header  http.Header
	body    strings.Builder
	failure *result.Failure
	aborted bool
	took    time.Duration
	slow    time.Duration // how long each Write blocks
}

func (c *caller) Begin(status int, h http.Header, _ int64) { c.status, c.header = status, h }
func (c *caller) Write(b []byte) (int, error)              { time.Sleep(c.slow); return c.body.Write(b) }
func (c *caller) Flush() error                             { return nil }
func (c *caller) Refuse(f *result.Failure)                 { c.failure = f }
func (c *caller) Abort()                                   { c.aborted = true }

// noMetrics discards metrics.
type noMetrics struct{}

func (noMetrics) Request(string, int)             {}
func (noMetrics) Attempt(string)                  {}
func (noMetrics) FirstByte(string, time.Duration) {}

func (noMetrics) EstimateError(string, time.Duration) {}

func (noMetrics) ReportDiscarded() {}

// limits admits all accounts but "over".
type limits struct{}

func (limits) Take(_ context.Context, account string, _ share.Limit) (bool, time.Duration) {
	return account != "over", time.Second
}

// noLimits admits all requests.
type noLimits struct{}

func (noLimits) Observe(string, float64)                            {}
func (noLimits) ObserveCold(string, time.Duration)                  {}
func (noLimits) Take(context.Context, string) (bool, time.Duration) { return true, 0 }

func newPlan(kind plan.Kind, attempts int, resumable bool) *plan.Plan {
	p := &plan.Plan{
		Routes: []plan.Route{{Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond,
			GapLimit: 300 * time.Millisecond, Attempts: attempts, Resumable: resumable, Targets: []plan.Target{{Service: "s", Weight: 1}}}},
		Services: map[string]plan.Service{"s": {Name: "s", Memory: 1000}},
		Accounts: map[string]plan.Account{"x": {Name: "x", Keys: []string{"k"}}, "over": {Name: "over", Keys: []string{"o"}}},
	}
	p.Index()
	return p
}

// serve sends one request through a relay with three upstreams; change may modify the request before.
func serve(t *testing.T, p *plan.Plan, u *upstreams, change func(q *relay.Request)) *caller {
	c := &caller{}
	serveTo(t, c, p, u, change)
	return c
}

// serveTo is serve for a caller.
func serveTo(t *testing.T, c *caller, p *plan.Plan, u *upstreams, change func(q *relay.Request)) {
	serveBeside(t, c, p, u, change, func(*dispatch.Pool) {})
}

// serveBeside is serveTo while beside runs.
func serveBeside(t *testing.T, c *caller, p *plan.Plan, u *upstreams, change func(q *relay.Request), beside func(*dispatch.Pool)) {
	synctest.Test(t, func(*testing.T) {
		pool := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})
		var l []roster.Upstream
		for i := range 3 {
			l = append(l, roster.Upstream{ID: fmt.Sprint("up-", i), Service: "s", Address: "a", Slots: 1})
		}
		pool.SetUpstreams(time.Now(), l)
		r := relay.New(relay.Deps{Upstreams: u, Pool: pool, RetryPolicy: dispatch.NewRetryPolicy(), Restarts: restart.New(func(time.Time, string) {}), Quota: limits{}, Traffic: noMetrics{},
			Limits: noLimits{}, Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}), Origins: unversioned{},
			Plan: func() *plan.Plan { return p }, Log: slog.New(slog.DiscardHandler)})
		q := &relay.Request{ID: "q", Method: "POST", Host: "h", Path: "/p", Target: "/p", Key: "k", Arrived: time.Now(),
			Deadline: 5 * time.Second}
		if change != nil {
			change(q)
		}
		began := time.Now()
		go beside(pool)
		r.Serve(context.Background(), q, c)
		c.took = time.Since(began)
		require.Empty(t, pool.InFlight(), "every slot is released")
	})
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

var errReset = errors.New("connection reset") //nolint:gochecknoglobals // a constant in all but name

// TestFailuresStateWhetherTheRequestRan lets attempts fail in every way. A request that may have run must not be repeated on a
// route that forbids it, nor be reported as not run.
func TestFailuresStateWhetherTheRequestRan(t *testing.T) {
	unsent := reaction{err: httpconn.NotSent{Cause: errReset}}
	table := []struct {
		name      string
		kind      plan.Kind
		attempts  int
		resumable bool
		reactions []reaction
		sends     int
		status    int // of the upstream's response, or 0
		code      result.Code
		ran       result.Ran
	}{
		{"unsafe and not sent is sent elsewhere", plan.Unsafe, 1, false, []reaction{unsent, {body: "ok"}}, 2, 200, 0, ""},
		{"unsafe and not run runs elsewhere", plan.Unsafe, 1, false, []reaction{{notRun: true}, {other: true}, {body: "ok"}}, 3, 200, 0, ""},
		{"unsafe and broken is not repeated", plan.Unsafe, 3, false, []reaction{{err: errReset}}, 1, 0, result.UpstreamBroken, result.Unknown},
		{"unsafe and truncated is not repeated", plan.Unsafe, 3, false, []reaction{{body: "ha", end: errReset}}, 1, 0, result.UpstreamBroken, result.Unknown},
		{"unsafe and unresponsive waits until the deadline", plan.Unsafe, 3, false, []reaction{{wait: time.Hour}}, 1, 0, result.UpstreamSilent, result.Unknown},
		{"never sent is not run", plan.Unsafe, 1, false, []reaction{unsent}, 3, 0, result.QueueFull, result.NotRun},
		{"safe and broken is repeated", plan.Safe, 2, false, []reaction{{err: errReset}, {body: "ok"}}, 2, 200, 0, ""},
		{"safe and truncated is repeated", plan.Safe, 2, false, []reaction{{body: "o", end: errReset}, {body: "ok"}}, 2, 200, 0, ""},
		{"safe has no more attempts than the route", plan.Safe, 2, false, []reaction{{err: errReset}}, 2, 0, result.UpstreamBroken, result.Unknown},
		{"an upstream's error response is returned", plan.Unsafe, 2, false, []reaction{{status: 500, body: "bad"}}, 1, 500, 0, ""},
		{"safe runs elsewhere after an error response", plan.Safe, 2, false, []reaction{{status: 500, body: "bad"}, {body: "ok"}}, 2, 200, 0, ""},
		{"the last error response is returned", plan.Safe, 2, false, []reaction{{status: 500, body: "bad"}}, 2, 500, 0, ""},
		{"a gateway timeout is not repeated", plan.Safe, 2, false, []reaction{{status: 504, body: "bad"}}, 1, 504, 0, ""},
		{"an unsigned response is a failure", plan.Unsafe, 2, false, []reaction{{body: "ok", plain: true}}, 1, 0, result.UpstreamBroken, result.Unknown},
		{"a stream that can't be resumed is not repeated", plan.Stream, 2, false, []reaction{{err: errReset}}, 1, 0, result.UpstreamBroken, result.Unknown},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			u := &upstreams{reactions: c.reactions}
			got := serve(t, newPlan(c.kind, c.attempts, c.resumable), u, nil)
			require.Len(t, u.sent, c.sends)
			if c.status != 0 {
				require.Nil(t, got.failure)
				require.Equal(t, c.status, got.status)
				return
			}
			require.Equal(t, c.code, got.failure.Code)
			require.Equal(t, c.ran, got.failure.Ran)
		})
	}
}

func TestRequestsThatAreNotAllowed(t *testing.T) {
	table := []struct {
		name   string
		change func(q *relay.Request)
		code   result.Code
	}{
		{"another host", func(q *relay.Request) { q.Host = "g" }, result.UnknownRoute},
		{"no key", func(q *relay.Request) { q.Key = "" }, result.KeyUnknown},
		{"another key", func(q *relay.Request) { q.Key = "z" }, result.KeyUnknown},
		{"larger than the memory of every upstream", func(q *relay.Request) { q.Tokens = 1001 }, result.UpstreamMemory},
		{"over the rate", func(q *relay.Request) { q.Key = "o" }, result.RateExceeded},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			u := &upstreams{reactions: []reaction{{body: "ok"}}}
			got := serve(t, newPlan(plan.Safe, 2, false), u, c.change)
			require.Empty(t, u.sent)
			require.Equal(t, c.code, got.failure.Code)
			require.Equal(t, result.NotRun, got.failure.Ran)
		})
	}
}

func TestWithoutConfigurationRequestsGetNotReady(t *testing.T) {
	got := serve(t, nil, &upstreams{}, nil)
	require.Equal(t, result.NotReady, got.failure.Code)
	require.Positive(t, got.failure.RetryAfter)
}

// TestStreamsAreResumedWithoutGap interrupts streams in many ways; the caller gets each event once, or an aborted connection.
func TestStreamsAreResumedWithoutGap(t *testing.T) {
	table := []struct {
		name      string
		reactions []reaction
		resumes   []uint64 // of the attempts
		complete  bool
	}{
		{"complete without a break", []reaction{{body: events(1, 5)}}, []uint64{0}, true},
		{"reset between events", []reaction{{body: events(1, 2), end: errReset}, {body: events(3, 5)}}, []uint64{0, 2}, true},
		{"reset within an event", []reaction{{body: events(1, 2) + "id: 3\nda", end: errReset}, {body: events(3, 5)}}, []uint64{0, 2}, true},
		{"end within an event", []reaction{{body: events(1, 2) + "id: 3\nda"}, {body: events(3, 5)}}, []uint64{0, 2}, true},
		{"end with the connection", []reaction{{body: events(1, 5), unframed: true}}, []uint64{0}, true},
		{"end with the connection within an event", []reaction{{body: events(1, 2) + "id: 3\nda", unframed: true}, {body: events(3, 5)}}, []uint64{0, 2}, true},
		{"end with the connection before the first event", []reaction{{unframed: true}, {body: events(1, 5)}}, []uint64{0, 0}, true},
		{"an event is missing", []reaction{{body: events(1, 2) + events(4, 5)}, {body: events(3, 5)}}, []uint64{0, 2}, true},
		{"idle in the middle", []reaction{{body: events(1, 2), stall: true}, {body: events(3, 5)}}, []uint64{0, 2}, true},
		{"unresponsive from the start", []reaction{{wait: time.Hour}, {body: events(1, 5)}}, []uint64{0, 0}, true},
		{"the resuming upstream fails", []reaction{{body: events(1, 2), end: errReset}, {status: 500, body: "bad"}}, []uint64{0, 2}, false},
		{"idle, and the resuming upstream fails", []reaction{{body: events(1, 2), stall: true}, {status: 500, body: "bad"}, {status: 500}}, []uint64{0, 2}, false},
		{"never complete", []reaction{{body: events(1, 2), end: errReset}, {err: errReset}}, []uint64{0, 2, 2}, false},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			u := &upstreams{reactions: c.reactions}
			got := serve(t, newPlan(plan.Stream, 2, true), u, nil)
			var resumes []uint64
			for _, s := range u.sent {
				resumes = append(resumes, s.Resume)
			}
			require.Equal(t, c.resumes, resumes[:len(c.resumes)])
			if !c.complete {
				require.True(t, got.aborted)
				require.Equal(t, events(1, 2), got.body.String())
				return
			}
			require.False(t, got.aborted)
			require.Equal(t, events(1, 5), got.body.String())
			require.Less(t, got.took, 700*time.Millisecond)
		})
	}
}

// TestEventWithoutEndIsNotBuffered checks that a stream whose event never ends is resumed at another upstream, as soon as one
// that is idle, and that the event takes a bounded amount of memory.
func TestEventWithoutEndIsNotBuffered(t *testing.T) {
	table := map[string]reaction{
		"garbage without a line end": {endless: strings.Repeat("x", 16<<10)},
		"line without end":           {body: "id: 3\ndata: ", endless: strings.Repeat("x", 16<<10)},
		"lines without end":          {body: "id: 3\n", endless: strings.Repeat("data: x\n", 1<<10)},
		"slow line without end":      {body: "id: 3\ndata: ", endless: "x", pause: 50 * time.Millisecond},
	}
	for name, r := range table {
		t.Run(name, func(t *testing.T) {
			r.body = events(1, 2) + r.body
			u := &upstreams{reactions: []reaction{r, {body: events(3, 5)}}}
			got := serve(t, newPlan(plan.Stream, 2, true), u, nil)
			require.Less(t, u.endless, 1<<20)
			require.Less(t, got.took, 700*time.Millisecond)
			require.Len(t, u.sent, 2)
			require.NotEqual(t, u.sent[0].Upstream, u.sent[1].Upstream)
			require.Equal(t, events(1, 5), got.body.String())
		})
	}
}

// TestHeaderAtTheFirstByteTimeoutDoesNotAbortTheResponse guards against responses that were cut off, or not repeated, because the
// header arrived at the moment at which the first-byte timeout cancelled the attempt.
func TestHeaderAtTheFirstByteTimeoutDoesNotAbortTheResponse(t *testing.T) {
	for _, c := range []struct {
		name string
		kind plan.Kind
		late string // body of the attempt that is cancelled
		rest string
	}{
		{"stream before its first event", plan.Stream, "", events(1, 3)},
		{"stream with an event", plan.Stream, events(1, 1), events(1, 3)},
		{"response of a safe route", plan.Safe, "", "ok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := &upstreams{reactions: []reaction{{wait: time.Hour, late: true, body: c.late, stall: true}, {body: c.rest}}}
			got := serve(t, newPlan(c.kind, 2, true), u, nil)
			require.Nil(t, got.failure)
			require.False(t, got.aborted)
			require.Equal(t, c.rest, got.body.String())
			require.Len(t, u.sent, 2)
		})
	}
}

// TestRequestInTheQueueOfABusyUpstreamStaysThere sends a request to an upstream that is late because it serves others first. Another
// attempt helps only where there is a free slot; elsewhere the request would wait again, and run twice.
func TestRequestInTheQueueOfABusyUpstreamStaysThere(t *testing.T) {
	for _, c := range []struct {
		name     string
		free     bool // another upstream has a free slot
		busy     bool // the upstream responds to others
		wait     time.Duration
		attempts int
	}{
		{"busy, others full", false, true, 600 * time.Millisecond, 1},
		{"busy, another has room", true, true, 600 * time.Millisecond, 2},
		{"busy, others full, the answer is lost", false, true, time.Hour, 2},
		{"silent, others full of items", false, false, time.Hour, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := &upstreams{reactions: []reaction{{wait: c.wait, body: events(1, 3)}, {body: events(1, 3)}}}
			got := &caller{}
			serveBeside(t, got, newPlan(plan.Stream, 2, true), u, nil, func(p *dispatch.Pool) {
				time.Sleep(100 * time.Millisecond)
				if !c.free {
					p.SetLoads(time.Now(), map[string]dispatch.Load{"up-0": {Batch: 1}, "up-1": {Batch: 1}, "up-2": {Batch: 1}})
				}
				if c.busy {
					p.Responded(time.Now(), u.sent[0].Upstream)
				}
			})
			require.Nil(t, got.failure)
			require.Equal(t, events(1, 3), got.body.String())
			require.Len(t, u.sent, c.attempts)
		})
	}
}

// TestLongEventIsRelayed sends an event that comes in many reads.
func TestLongEventIsRelayed(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 200<<10) + "\n\n"
	got := serve(t, newPlan(plan.Stream, 2, true), &upstreams{reactions: []reaction{{body: text}}}, nil)
	require.Equal(t, text, got.body.String())
}

// TestLongResponseOfUnknownLengthIsComplete sends a body that is too long to be read completely before its first byte is sent.
func TestLongResponseOfUnknownLengthIsComplete(t *testing.T) {
	text := strings.Repeat("x", 1<<20)
	for _, k := range []plan.Kind{plan.Safe, plan.Unsafe} {
		u := &upstreams{reactions: []reaction{{body: text}}}
		got := serve(t, newPlan(k, 2, false), u, nil)
		require.Nil(t, got.failure)
		require.Len(t, got.body.String(), len(text))
		require.Len(t, u.sent, 1)
		require.False(t, got.aborted)
		u = &upstreams{reactions: []reaction{{body: text, end: errReset}}}
		got = serve(t, newPlan(k, 2, false), u, nil)
		require.True(t, got.aborted, "the caller must not take a truncated response for complete")
		require.Len(t, u.sent, 1)
	}
}

// TestUpstreamThatSendsGarbageAttractsNoLoad lets the upstream that got the first request fail all its requests immediately
// with bytes that are no response.
func TestUpstreamThatSendsGarbageAttractsNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})
		pool.SetUpstreams(time.Now(), []roster.Upstream{{ID: "up-0", Service: "s", Slots: 1}, {ID: "up-1", Service: "s", Slots: 1}, {ID: "up-2", Service: "s", Slots: 1}})
		p := newPlan(plan.Safe, 2, false)
		u := &garbage{}
		r := relay.New(relay.Deps{Upstreams: u, Pool: pool, RetryPolicy: dispatch.NewRetryPolicy(), Restarts: restart.New(func(time.Time, string) {}), Quota: limits{}, Traffic: noMetrics{},
			Limits: noLimits{}, Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}), Origins: unversioned{},
			Plan: func() *plan.Plan { return p }, Log: slog.New(slog.DiscardHandler)})
		for range 100 {
			c := &caller{}
			r.Serve(t.Context(), &relay.Request{Host: "h", Path: "/p", Key: "k", Arrived: time.Now(), Deadline: 5 * time.Second}, c)
			require.Equal(t, 200, c.status)
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, u.failed, 5)
	})
}

// garbage are upstreams of which the first one used sends no responses.
type garbage struct {
	upstreams
	bad    string
	failed int
}

func (g *garbage) Send(ctx context.Context, q *relay.Request, s relay.Sending) (*relay.Response, error) {
	if g.bad == "" {
		g.bad = s.Upstream
	}
	if s.Upstream == g.bad {
		g.failed++
		return nil, httpconn.BadResponse{Cause: errReset}
	}
	g.reactions = []reaction{{body: "ok"}}
	return g.upstreams.Send(ctx, q, s)
}

// TestSlowCallerIsNoGapOfTheUpstream guards against a panic, which ends the VM, when a caller reads more slowly than the gap
// timeout: the time in which a write blocks counted as a gap, and one stream could have several.
func TestSlowCallerIsNoGapOfTheUpstream(t *testing.T) {
	c := &caller{slow: 400 * time.Millisecond}
	u := &upstreams{reactions: []reaction{{body: events(1, 4000)}}}
	serveTo(t, c, newPlan(plan.Stream, 2, true), u, nil)
	require.False(t, c.aborted)
	require.Equal(t, events(1, 4000), c.body.String())
	require.Len(t, u.sent, 1)
}

func TestResumedStreamKeepsTheFirstHeader(t *testing.T) {
	u := &upstreams{reactions: []reaction{{body: events(1, 2), stall: true}, {body: events(3, 5)}}}
	got := serve(t, newPlan(plan.Stream, 2, true), u, nil)
	require.Equal(t, u.sent[0].Upstream, got.header.Get("Up"))
	require.NotEqual(t, u.sent[0].Upstream, u.sent[1].Upstream)
}

func TestCallerResumesAfterItsLastEvent(t *testing.T) {
	u := &upstreams{reactions: []reaction{{body: events(8, 9)}}}
	got := serve(t, newPlan(plan.Stream, 2, true), u, func(q *relay.Request) { q.Resume = 7 })
	require.Equal(t, uint64(7), u.sent[0].Resume)
	require.Equal(t, events(8, 9), got.body.String())
}

// TestUpstreamsGetTheRemainingTime checks that an upstream gets the shorter of the caller's deadline and the route's timeout,
// minus the time already spent.
func TestUpstreamsGetTheRemainingTime(t *testing.T) {
	u := &upstreams{reactions: []reaction{{wait: 100 * time.Millisecond, err: errReset}, {body: "ok"}}}
	serve(t, newPlan(plan.Safe, 2, false), u, func(q *relay.Request) { q.Deadline = time.Second })
	require.LessOrEqual(t, u.sent[0].Left, time.Second)
	require.Equal(t, 100*time.Millisecond, u.sent[0].Left-u.sent[1].Left)
}
