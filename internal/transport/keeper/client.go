package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/group"
	"snipetack/internal/state/result"
)

// Timing of requests to keepers.
const (
	attemptTimeout = 2 * time.Second  // for one keeper; then the next is tried
	commitTimeout  = 10 * time.Second // for a request with all its retries
	retryDelay     = 100 * time.Millisecond
)

// CallProvider sends a request to a VM.
type CallProvider interface {
	Call(ctx context.Context, vm string, k frame.Kind, request []byte) ([]byte, error)
}

// Client sends requests for the groups to any keeper that responds. It is safe for concurrent use.
type Client struct {
	calls     CallProvider
	keepers   []string
	preferred atomic.Uint32 // index, modulo the number of keepers, of the keeper to try first
}

// NewClient returns a Client that uses the named keepers.
func NewClient(c CallProvider, keepers []string) *Client {
	return &Client{calls: c, keepers: keepers}
}

// Propose commits a command and returns its outcome. It retries until ctx ends or commitTimeout has passed, so a command
// must carry an id by which the group detects a repetition. After an error the command may be committed all the same.
func (c *Client) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	q := encodeRequest(request{Group: group, Command: command})
	var last error
	for ctx.Err() == nil {
		i := c.preferred.Load()
		b, err := c.try(ctx, c.keepers[int(i)%len(c.keepers)], q)
		if err == nil {
			return b, nil
		}
		last = err
		c.preferred.CompareAndSwap(i, i+1)
		pause.For(ctx, retryDelay)
	}
	return nil, result.New(result.ChangeUncommitted, "no keeper confirmed the command: %v", last).WithRan(result.Unknown)
}

// Commit commits a configuration change; a refusal is part of the outcome.
func (c *Client) Commit(ctx context.Context, h catalog.Change) (catalog.Outcome, error) {
	b, err := c.Propose(ctx, group.Control, catalog.EncodeChange(h))
	if err != nil {
		return catalog.Outcome{}, err
	}
	return catalog.DecodeOutcome(b)
}

func (c *Client) try(ctx context.Context, keeper string, q []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.calls.Call(ctx, keeper, frame.Propose, q)
}
