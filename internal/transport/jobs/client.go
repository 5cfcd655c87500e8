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
	attemptTimeout = 900 * time.Millisecond // of one attempt, in addition to the wait that the call requests
	retryDelay     = 60 * time.Millisecond  // between attempts
	nearTimeout    = 150 * time.Millisecond // many round trips within a data centre, in addition to the wait
	nearAvoidance  = 2 * time.Second        // how long the near VM is not called after it failed to respond
)

// ErrUnreached reports a call that had no effect because no batch VM could serve it in time.
var ErrUnreached = errors.New("no batch VM can take the call now")

// ErrUnconfirmed reports a call that a batch VM may have received but did not confirm; a change may be committed.
var ErrUnconfirmed = errors.New("the batch VMs did not confirm the change")

// CallProvider sends requests to VMs; a link.Link is one.
type CallProvider interface {
	Call(ctx context.Context, vm string, k link.Kind, body []byte) ([]byte, error)
}

// LeaderProvider returns the addresses of batch VMs.
type LeaderProvider interface {
	// BatchLeader returns the address of the leader, or "" when it is unknown.
	BatchLeader() string
	// BatchVMs returns the addresses of all batch VMs.
	BatchVMs() []string
	// NearBatchVM returns the address of a batch VM in this data centre, or "" when there is none.
	NearBatchVM() string
}

// Client calls the leader of the batch VMs; it is safe for concurrent use. Each call is retried until its ctx ends and then
// fails with ErrUnreached or ErrUnconfirmed; otherwise the Status is the leader's and never NotLeader or Unconfirmed.
type Client struct {
	calls          CallProvider
	vms            LeaderProvider
	cachedLeader   atomic.Pointer[string]    // address of the VM that served the last call or was named as leader; nil when unknown
	avoidNearUntil atomic.Pointer[time.Time] // the near VM is not called before; nil when it may be called
}

// NewClient returns a Client.
func NewClient(c CallProvider, v LeaderProvider) *Client {
	return &Client{calls: c, vms: v}
}

// Submit submits a job. It is idempotent: an accepted job is accepted again. maxWaiting limits the tokens of the account's
// open items on the route, running ones included; 0 is no limit. With Overloaded and OverLimit it returns when the job could be accepted.
func (c *Client) Submit(ctx context.Context, j docket.Job, maxWaiting int) (s Status, after time.Duration, err error) {
	a, err := c.callLeader(ctx, call{operation: opSubmit, command: commandOf(j, docket.Submit, maxWaiting)})
	if err == nil && a.status == Invalid && j.Account != "" {
		j.Account = "" // a former build has stored it without one
		a, err = c.callLeader(ctx, call{operation: opSubmit, command: commandOf(j, docket.Submit, maxWaiting), accountDropped: true})
	}
	return a.status, a.after, err
}

// Read returns the results of a job from position after on. When there is none yet, it waits for the first one for up to wait
// and then returns an empty page.
//
// Results never change, so those that a VM in this data centre has are read from there, which saves a call to another data
// centre. Only the leader knows whether there are none.
func (c *Client) Read(ctx context.Context, job, account string, after int, wait time.Duration) (Page, Status, error) {
	began := time.Now()
	q := call{operation: opRead, job: job, account: account, after: after, wait: wait}
	if p, ok := c.readNear(ctx, q); ok {
		return p, OK, nil
	}
	q.wait = max(0, wait-time.Since(began))
	a, err := c.callOwned(ctx, q)
	return a.page, a.status, err
}

// readNear reads from a batch VM in this data centre. It returns false when the leader has to be called: the near VM is the
// leader, did not respond recently or has no results.
func (c *Client) readNear(ctx context.Context, q call) (Page, bool) {
	vm := c.vms.NearBatchVM()
	if vm == "" || vm == c.vms.BatchLeader() {
		return Page{}, false
	}
	if t := c.avoidNearUntil.Load(); t != nil && time.Now().Before(*t) {
		return Page{}, false
	}
	q.anyReplica = true
	a, err := c.attempt(ctx, vm, encodeCall(q), nearTimeout+q.wait)
	if err != nil {
		t := time.Now().Add(nearAvoidance)
		c.avoidNearUntil.Store(&t)
		return Page{}, false
	}
	return a.page, a.status == OK
}

// Body returns the body of an item that has no result yet; the Status is NotFound when the account has no such job or open item.
func (c *Client) Body(ctx context.Context, job, account, item string) ([]byte, Status, error) {
	a, err := c.callOwned(ctx, call{operation: opBody, job: job, account: account, item: item})
	return a.body, a.status, err
}

// End ends a job, whose open items are not run any more; it is idempotent.
func (c *Client) End(ctx context.Context, job, account string) (Status, error) {
	a, err := c.callOwned(ctx, call{operation: opEnd, job: job, account: account})
	return a.status, err
}

// callOwned calls the leader for an account. A leader of a former build does not find a job without an account that way, so the call is
// then made without one, too.
func (c *Client) callOwned(ctx context.Context, q call) (response, error) {
	for {
		if q.operation == opEnd {
			q.command = commandOf(docket.Job{ID: q.job, Account: q.account}, docket.End, 0)
		}
		a, err := c.callLeader(ctx, q)
		if err != nil || a.status != NotFound || q.account == "" {
			return a, err
		}
		q.account, q.accountDropped = "", true
	}
}

// callLeader repeats a call until the leader responds or ctx ends. Then it returns ErrUnconfirmed if a VM may have received
// an attempt, and ErrUnreached otherwise.
func (c *Client) callLeader(ctx context.Context, q call) (response, error) {
	b := encodeCall(q)
	unclear := false
	for n := 0; ctx.Err() == nil; n++ {
		vm := c.target(n)
		if vm == "" {
			pause.For(ctx, retryDelay)
			continue
		}
		a, err := c.attempt(ctx, vm, b, attemptTimeout+q.wait)
		switch {
		case err != nil:
			c.cachedLeader.Store(nil)
			var r link.Refused
			unclear = unclear || !errors.As(err, &r)
		case a.status == NotLeader:
			c.cacheLeader(a.leader, vm)
		case a.status == Unconfirmed:
			unclear = true
		case unclear && (a.status == Overloaded || a.status == OverLimit):
			return response{}, ErrUnconfirmed // an earlier attempt may still be committed
		default:
			c.cachedLeader.Store(&vm)
			return a, nil
		}
		pause.For(ctx, retryDelay)
	}
	if unclear {
		return response{}, ErrUnconfirmed
	}
	return response{}, ErrUnreached
}

// cacheLeader stores the leader named by the VM from, or clears the cache if that VM named none or itself.
func (c *Client) cacheLeader(leader, from string) {
	if leader == "" || leader == from {
		c.cachedLeader.Store(nil)
		return
	}
	c.cachedLeader.Store(&leader)
}

// target returns the address to call in attempt n, counted from 0: the cached leader, else the one that
// LeaderProvider reports in attempt 0, else each batch VM in turn. It is "" when no batch VM is known.
func (c *Client) target(n int) string {
	if h := c.cachedLeader.Load(); h != nil {
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

// attempt makes a call to one VM within a time limit.
func (c *Client) attempt(ctx context.Context, vm string, b []byte, limit time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	x, err := c.calls.Call(ctx, vm, link.Job, b)
	if err != nil {
		return response{}, err
	}
	return decodeResponse(x)
}
