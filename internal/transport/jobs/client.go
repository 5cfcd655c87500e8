package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/state/docket"
	"snipetack/internal/transport/link"
)

// Timing of calls.
const (
	attemptTimeout = 900 * time.Millisecond // without the wait that a call asks for
	retryDelay     = 60 * time.Millisecond
	nearTimeout    = 150 * time.Millisecond // many round trips within a data centre, without the wait
	nearShun       = 2 * time.Second        // after the near VM gave no answer
)

// ErrUnreached reports a call that no batch VM has carried out.
var ErrUnreached = errors.New("no batch VM can take the call now")

// ErrUnclear reports a change that may or may not be kept.
var ErrUnclear = errors.New("the batch VMs did not confirm the change")

// CallProvider sends a request to a VM.
type CallProvider interface {
	Call(ctx context.Context, vm string, k link.Kind, body []byte) ([]byte, error)
}

// LeaderProvider knows the batch VMs.
type LeaderProvider interface {
	// BatchLeader returns the address of the VM that leads, or "".
	BatchLeader() string
	// BatchVMs returns the addresses of all batch VMs.
	BatchVMs() []string
	// NearBatchVM returns the address of a batch VM in this data centre, or "".
	NearBatchVM() string
}

// Client reaches the batch VM that leads.
type Client struct {
	calls CallProvider
	vms   LeaderProvider
	hint  atomic.Pointer[string]
	shun  atomic.Pointer[time.Time] // the near VM is not asked before
}

// NewClient returns a Client.
func NewClient(c CallProvider, v LeaderProvider) *Client {
	return &Client{calls: c, vms: v}
}

// Submit hands a job in; a repeat of an accepted job is accepted again.
func (c *Client) Submit(ctx context.Context, j docket.Job, maxWaiting int) (Status, error) {
	a, err := c.do(ctx, call{operation: submit, command: commandOf(j, docket.Submit, maxWaiting)})
	return a.status, err
}

// Read returns results from a position on; it waits for the first one when there is none yet.
//
// Results never change, so those that a near VM has need not come from another data centre; only the VM that leads
// knows that there are none.
func (c *Client) Read(ctx context.Context, job, account string, after int, wait time.Duration) (Page, Status, error) {
	began := time.Now()
	q := call{operation: read, job: job, account: account, after: after, wait: wait}
	if p, ok := c.readNear(ctx, q); ok {
		return p, OK, nil
	}
	q.wait = max(0, wait-time.Since(began))
	a, err := c.do(ctx, q)
	return a.page, a.status, err
}

// readNear returns the results that a batch VM in this data centre has.
func (c *Client) readNear(ctx context.Context, q call) (Page, bool) {
	vm := c.vms.NearBatchVM()
	if vm == "" || vm == c.vms.BatchLeader() {
		return Page{}, false
	}
	if t := c.shun.Load(); t != nil && time.Now().Before(*t) {
		return Page{}, false
	}
	q.copied = true
	a, err := c.try(ctx, vm, encodeCall(q), nearTimeout+q.wait)
	if err != nil {
		t := time.Now().Add(nearShun)
		c.shun.Store(&t)
		return Page{}, false
	}
	return a.page, a.status == OK
}

// Body returns the body of an item that has no result yet.
func (c *Client) Body(ctx context.Context, job, account, item string) ([]byte, Status, error) {
	a, err := c.do(ctx, call{operation: body, job: job, account: account, item: item})
	return a.body, a.status, err
}

// End ends a job; a repeat is accepted again.
func (c *Client) End(ctx context.Context, job, account string) (Status, error) {
	j := docket.Job{ID: job, Account: account}
	a, err := c.do(ctx, call{operation: end, command: commandOf(j, docket.End, 0)})
	return a.status, err
}

// do makes a call until a batch VM that leads answers or ctx ends.
func (c *Client) do(ctx context.Context, q call) (answer, error) {
	b := encodeCall(q)
	unclear := false
	for n := 0; ctx.Err() == nil; n++ {
		vm := c.target(n)
		if vm == "" {
			pause.For(ctx, retryDelay)
			continue
		}
		a, err := c.try(ctx, vm, b, attemptTimeout+q.wait)
		switch {
		case err != nil:
			c.hint.Store(nil)
			var r link.Refused
			unclear = unclear || !errors.As(err, &r)
		case a.status == Moved:
			c.follow(a.leader, vm)
		case a.status == Unclear:
			unclear = true
		default:
			c.hint.Store(&vm)
			return a, nil
		}
		pause.For(ctx, retryDelay)
	}
	if unclear {
		return answer{}, ErrUnclear
	}
	return answer{}, ErrUnreached
}

// follow takes the leader that another VM named.
func (c *Client) follow(leader, from string) {
	if leader == "" || leader == from {
		c.hint.Store(nil)
		return
	}
	c.hint.Store(&leader)
}

// target returns the VM to ask in the nth attempt.
func (c *Client) target(n int) string {
	if h := c.hint.Load(); h != nil {
		return *h
	}
	if l := c.vms.BatchLeader(); l != "" && n == 0 {
		return l
	}
	l := c.vms.BatchVMs()
	if len(l) == 0 {
		return ""
	}
	return l[n%len(l)]
}

func (c *Client) try(ctx context.Context, vm string, b []byte, limit time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	x, err := c.calls.Call(ctx, vm, link.Job, b)
	if err != nil {
		return answer{}, err
	}
	return decodeAnswer(x)
}
