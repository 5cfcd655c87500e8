package batches

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/group"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// readTimeout bounds a query to one keeper; after it the next keeper is tried.
const readTimeout = 2 * time.Second

// holdTimeout bounds the wait for VMs to hold a job back before its cancel is committed. A VM that can't be reached
// delays the cancel by no more than this; if it stays disconnected, it loses its leases.
const holdTimeout = 300 * time.Millisecond

// ProposeProvider commits a command to a replicated group.
type ProposeProvider interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
}

// CallProvider sends a request to a VM.
type CallProvider interface {
	Call(ctx context.Context, vm string, k frame.Kind, request []byte) ([]byte, error)
}

// Client commits commands to the replicated state of batch work and queries it. It is safe for concurrent use.
type Client struct {
	commands  ProposeProvider
	calls     CallProvider
	keepers   []string
	preferred atomic.Uint32 // index, modulo the number of keepers, of the keeper to try first
}

var _ batch.LedgerProvider = (*Client)(nil)

// NewClient returns a Client that queries the named keepers.
func NewClient(p ProposeProvider, c CallProvider, keepers []string) *Client {
	return &Client{commands: p, calls: c, keepers: keepers}
}

// Propose commits a command; a refusal by the state machine is a code in the outcome, not an error.
func (c *Client) Propose(ctx context.Context, m ledger.Command) (ledger.Outcome, error) {
	b, err := c.commands.Propose(ctx, group.FirstJobs, ledger.EncodeCommand(m))
	if err != nil {
		return ledger.Outcome{}, err
	}
	return ledger.DecodeOutcome(b)
}

// Commit stamps a command with the current time and commits it; a refusal by the state machine becomes a Failure.
func (c *Client) Commit(ctx context.Context, m ledger.Command) (ledger.Outcome, error) {
	m.At = time.Now()
	o, err := c.Propose(ctx, m)
	if err != nil {
		return o, err
	}
	if o.Code != result.OK {
		return o, result.New(o.Code, "%s", o.Detail)
	}
	return o, nil
}

// Cancel asks the VMs to start no more items of a job and then commits its cancel, even if some did not respond.
func (c *Client) Cancel(ctx context.Context, vms []string, m ledger.Cancel) (ledger.Outcome, error) {
	h, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, v := range vms {
		w.Go(func() { _, _ = c.calls.Call(h, v, frame.Job, append([]byte{holdPrefix}, m.Job...)) })
	}
	w.Wait()
	return c.Commit(ctx, ledger.Command{Cancel: &m})
}

// Read queries any keeper that responds; its state may lag.
func (c *Client) Read(ctx context.Context, q ledger.Query) (ledger.Response, error) {
	return c.read(ctx, ledger.EncodeQuery(q))
}

// ReadLatest is Read with a response that includes everything committed before the call.
func (c *Client) ReadLatest(ctx context.Context, q ledger.Query) (ledger.Response, error) {
	return c.read(ctx, append([]byte{latestPrefix}, ledger.EncodeQuery(q)...))
}

func (c *Client) read(ctx context.Context, q []byte) (ledger.Response, error) {
	var last error
	for range c.keepers {
		i := c.preferred.Load()
		b, err := c.try(ctx, c.keepers[int(i)%len(c.keepers)], q)
		if err == nil {
			return ledger.DecodeResponse(b)
		}
		last = err
		c.preferred.CompareAndSwap(i, i+1)
	}
	return ledger.Response{}, result.New(result.NoQuorum, "no keeper answered: %v", errors.Cause(last)).After(time.Second)
}

func (c *Client) try(ctx context.Context, keeper string, q []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.calls.Call(ctx, keeper, frame.Job, q)
}
