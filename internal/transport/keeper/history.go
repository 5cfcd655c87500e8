package keeper

import (
	"context"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/group"
	"snipetack/internal/state/result"
	"snipetack/internal/state/wire"
	"snipetack/internal/transport/mesh"
)

// HistoryProvider returns the configuration changes that a keeper has applied.
type HistoryProvider interface {
	// Since returns the changes after a revision, or false if some of them are no longer stored.
	Since(revision uint64) ([]catalog.Applied, bool)
}

// ServeHistory handles other VMs' requests for the configuration changes after a revision. The response includes all
// changes committed before the request.
func ServeHistory(m *mesh.Mesh, g GroupProvider, h HistoryProvider) {
	m.Handle(frame.Keeper, func(ctx context.Context, _ string, b []byte) ([]byte, error) {
		n, err := decodeRevision(b)
		if err != nil {
			return nil, err
		}
		if err := g.Barrier(ctx, group.Control); err != nil {
			return nil, err
		}
		l, ok := h.Since(n)
		if !ok {
			return nil, result.New(result.ChangeInvalid, "the changes after revision %d are not all kept", n)
		}
		e := wire.NewEncoder()
		for _, a := range l {
			e.Bytes(1, catalog.EncodeApplied(a))
		}
		return e.Encoded(), nil
	})
}

// History returns the configuration changes after a revision from the first keeper that responds. It fails with
// ChangeInvalid if a keeper no longer stores all of them, and with NoQuorum if none responds within commitTimeout.
func (c *Client) History(ctx context.Context, after uint64) ([]catalog.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	e := wire.NewEncoder()
	e.Uint(1, after)
	var last error
	for i := c.preferred.Load(); ctx.Err() == nil; i++ {
		b, err := c.requestHistory(ctx, c.keepers[int(i)%len(c.keepers)], e.Encoded())
		if err == nil {
			return decodeHistory(b)
		}
		var f *result.Failure
		if errors.As(err, &f) && f.Code == result.ChangeInvalid {
			return nil, err
		}
		last = err
		pause.For(ctx, retryDelay)
	}
	return nil, result.New(result.NoQuorum, "no keeper answered: %v", last)
}

func (c *Client) requestHistory(ctx context.Context, keeper string, q []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return c.calls.Call(ctx, keeper, frame.Keeper, q)
}

func decodeRevision(b []byte) (uint64, error) {
	var n uint64
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f == 1 {
			n = d.Uint()
		}
	}
	return n, errors.Wrap(d.Err(), "decoding a request for history")
}

func decodeHistory(b []byte) ([]catalog.Applied, error) {
	var l []catalog.Applied
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		a, err := catalog.DecodeApplied(d.Bytes())
		d.Fail(err)
		l = append(l, a)
	}
	return l, errors.Wrap(d.Err(), "decoding the history")
}
