package batchrun

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"snipetack/internal/state/docket"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/relay"
)

const readBytes = 16 << 10 // of the read buffer

// newRequest returns the request that runs an item.
func newRequest(host string, i docket.Item) *relay.Request {
	h := http.Header{}
	for k, v := range i.Headers {
		h.Set(k, v)
	}
	return &relay.Request{ID: i.ID, Method: http.MethodPost, Host: host, Path: i.Path, Target: i.Path, Header: h, Body: i.Body}
}

// runItem sends an item to an upstream and appends the events of its response to those of earlier runs in t. A run whose
// upstream sends no bytes for gapTimeout is cancelled.
func (r *Runner) runItem(ctx context.Context, q *relay.Request, s relay.Sending, t *partial) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	gapTimer := time.AfterFunc(gapTimeout, func() { cancel(errNoBytes) })
	defer gapTimer.Stop()
	a, err := r.d.Upstreams.Send(ctx, q, s)
	if err != nil {
		return r.interrupted(ctx, q, s, err)
	}
	defer a.Body.Close()
	switch {
	case a.NotRun || a.AddressReassigned:
		return refused
	case !a.Signed:
		return broken
	case a.Status == http.StatusUnprocessableEntity:
		return unprocessable
	case a.Status == http.StatusInternalServerError:
		return failed
	case a.Status != http.StatusOK:
		return broken
	}
	e := relay.NewEvents(t.lastEvent)
	b := make([]byte, readBytes)
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			gapTimer.Reset(gapTimeout)
		}
		newEvents, orderErr := e.Add(b[:n])
		r.collect(t, e.Last(), relay.EventData(newEvents))
		switch {
		case orderErr != nil:
			return broken
		case err == io.EOF && e.Rest() == 0:
			return complete
		case err != nil:
			return r.interrupted(ctx, q, s, err)
		}
	}
}

// errNoBytes is the cause of cancelling a run whose upstream sends no bytes for gapTimeout.
var errNoBytes = errors.New("no bytes from the upstream within the timeout")

// interrupted returns the outcome of a run that ended with an error: stopped when this VM cancelled it for other reasons than
// a timeout.
func (r *Runner) interrupted(ctx context.Context, q *relay.Request, s relay.Sending, err error) outcome {
	timedOut := errors.Is(context.Cause(ctx), errNoBytes)
	if ctx.Err() != nil && !timedOut {
		return stopped
	}
	var n httpconn.NotSent
	r.d.Log.Info("item run interrupted", "request", q.ID, "upstream", s.Upstream, "silent", timedOut,
		"sent", !errors.As(err, &n), "error", err)
	return broken
}

// collect appends the data of events to an item's output.
func (r *Runner) collect(t *partial, last uint64, data []string) {
	if len(data) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t.lastEvent = last
	t.data = append(t.data, data...)
}
