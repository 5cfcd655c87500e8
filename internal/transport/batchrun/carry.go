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

const readBytes = 16 << 10

// newRequest returns the request of an item.
func newRequest(host string, i docket.Item) *relay.Request {
	h := http.Header{}
	for k, v := range i.Headers {
		h.Set(k, v)
	}
	return &relay.Request{ID: i.ID, Method: http.MethodPost, Host: host, Path: i.Path, Target: i.Path, Header: h, Body: i.Body}
}

// carry sends an item to an upstream and collects its events behind those of earlier runs.
func (r *Runner) carry(ctx context.Context, q *relay.Request, s relay.Sending, t *partial) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(gapLimit, func() { cancel(errSilent) })
	defer silence.Stop()
	a, err := r.d.Upstreams.Send(ctx, q, s)
	if err != nil {
		return r.unanswered(ctx, q, s, err)
	}
	defer a.Body.Close()
	switch {
	case a.NotRun || a.Other:
		return refused
	case !a.Signed:
		return broken
	case a.Status == http.StatusUnprocessableEntity:
		return hopeless
	case a.Status == http.StatusInternalServerError:
		return failed
	case a.Status != http.StatusOK:
		return broken
	}
	e := relay.NewEvents(t.last)
	b := make([]byte, readBytes)
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			silence.Reset(gapLimit)
		}
		whole, disorder := e.Add(b[:n])
		r.collect(t, e.Last(), relay.EventData(whole))
		switch {
		case disorder != nil:
			return broken
		case err == io.EOF && e.Rest() == 0:
			return complete
		case err != nil:
			return r.unanswered(ctx, q, s, err)
		}
	}
}

// errSilent is the cause of ending a run without events.
var errSilent = errors.New("no events came")

func (r *Runner) unanswered(ctx context.Context, q *relay.Request, s relay.Sending, err error) outcome {
	silent := errors.Is(context.Cause(ctx), errSilent)
	if ctx.Err() != nil && !silent {
		return stopped
	}
	var n httpconn.NotSent
	r.d.Log.Info("item run broken", "request", q.ID, "upstream", s.Upstream, "silent", silent,
		"sent", !errors.As(err, &n), "error", err)
	return broken
}

func (r *Runner) collect(t *partial, last uint64, data []string) {
	if len(data) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t.last = last
	t.data = append(t.data, data...)
}
