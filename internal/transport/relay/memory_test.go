package relay_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/relay"
)

const (
	faultyRequests = 400       // in flight at once
	faultyBytes    = 250 << 10 // of each response before it stalls; below the bounds of a single response
	smallestVM     = 160 << 20 // bytes, of the sheets' entry VMs; responses may take a third of it
)

// stalling is an upstream whose responses stall in the middle. Requests with an id that begins with "sound" get a complete response.
type stalling struct {
	prefix string // of the bodies

	mu   sync.Mutex
	held int // bytes read of the responses that are open
}

func (u *stalling) Send(ctx context.Context, q *relay.Request, _ relay.Sending) (*relay.Response, error) {
	a := &relay.Response{Status: http.StatusOK, Length: -1, Signed: true, Header: http.Header{}}
	if strings.HasPrefix(q.ID, "sound") {
		a.Body = io.NopCloser(strings.NewReader(events(1, 3)))
		return a, nil
	}
	a.Body = &stallingBody{ctx: ctx, u: u, left: u.prefix + strings.Repeat("x", faultyBytes-len(u.prefix))}
	return a, nil
}

// heldBytes returns the bytes read of the responses that are open.
func (u *stalling) heldBytes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.held
}

type stallingBody struct {
	ctx  context.Context //nolint:containedctx // its end unblocks Read, as with a connection
	u    *stalling
	left string
	read int
}

func (b *stallingBody) Read(x []byte) (int, error) {
	if b.left == "" {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := copy(x, b.left)
	b.left = b.left[n:]
	b.u.mu.Lock()
	defer b.u.mu.Unlock()
	b.read += n
	b.u.held += n
	return n, nil
}

func (b *stallingBody) Close() error {
	b.u.mu.Lock()
	defer b.u.mu.Unlock()
	b.u.held -= b.read
	b.read = 0
	return nil
}

// TestFaultyResponsesOfManyRequestsShareABound guards against an entry VM that runs out of memory because upstreams send responses that do
// not go on: each is below the bound of a single response, and all together are more than the VM has. Other callers' requests are served.
func TestFaultyResponsesOfManyRequestsShareABound(t *testing.T) {
	table := map[string]struct {
		kind   plan.Kind
		prefix string
	}{
		"an event that does not end":    {plan.Stream, "id: 1\ndata: "},
		"bytes that are no event":       {plan.Stream, ""},
		"a response that is not whole":  {plan.Safe, ""},
		"one that may run only once":    {plan.Unsafe, ""},
		"many events, then one without": {plan.Stream, events(1, 100) + "id: 101\ndata: "},
	}
	for name, c := range table {
		t.Run(name, func(t *testing.T) {
			u := &stalling{prefix: c.prefix}
			held, sound := 0, 0
			var mu sync.Mutex
			var callers []*caller
			synctest.Test(t, func(*testing.T) {
				pool := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})
				pool.SetUpstreams(time.Now(), []roster.Upstream{{ID: "up", Service: "s", Address: "a", Slots: 2 * faultyRequests}})
				p := newPlan(c.kind, 1, false)
				r := relay.New(relay.Deps{Upstreams: u, Pool: pool, RetryPolicy: dispatch.NewRetryPolicy(), Restarts: restart.New(func(time.Time, string) {}), Quota: limits{}, Traffic: noMetrics{},
					Limits: noLimits{}, Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}), Origins: unversioned{},
					Plan: func() *plan.Plan { return p }, Log: slog.New(slog.DiscardHandler)})
				serve := func(id string) *caller {
					k := &caller{}
					mu.Lock()
					callers = append(callers, k)
					mu.Unlock()
					r.Serve(context.Background(), &relay.Request{ID: id, Method: "POST", Host: "h", Path: "/p", Target: "/p", Key: "k",
						Arrived: time.Now(), Deadline: 5 * time.Second}, k)
					return k
				}
				var wg sync.WaitGroup
				for i := range faultyRequests {
					wg.Go(func() { serve(fmt.Sprint("faulty-", i)) })
				}
				time.Sleep(time.Second)
				synctest.Wait()
				held = u.heldBytes()
				for _, k := range callers {
					held -= k.body.Len() // passed on
				}
				for i := range 10 {
					if k := serve(fmt.Sprint("sound-", i)); k.body.String() == events(1, 3) {
						sound++
					}
				}
				wg.Wait()
			})
			require.Less(t, held, smallestVM/3)
			require.Equal(t, 10, sound, "other requests are served")
			require.Zero(t, u.heldBytes())
		})
	}
}
