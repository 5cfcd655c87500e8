package batchrun

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/state/docket"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/relay"
)

const (
	readBytes      = 16 << 10 // of the read buffer
	maxOutputBytes = 1 << 20  // of an item
	maxNoDataBytes = 1 << 20  // of a response, between the data of two events

	eventMemory     = 16 << 20 // of incomplete events of all runs
	maxOutputsBytes = 48 << 20 // of the outputs of all items that are not complete; above, large ones are discarded
	freeOutputBytes = 64 << 10 // of an output that is kept in any case
)

// newRequest returns the request that runs an item. Of several names that differ in case only, the first in byte order counts, so that all runs
// have the same headers.
func newRequest(host string, i docket.Item) *relay.Request {
	h := http.Header{}
	for _, k := range slices.Backward(slices.Sorted(maps.Keys(i.Headers))) {
		h.Set(k, i.Headers[k])
	}
	return &relay.Request{Item: true, ID: i.ID, Method: http.MethodPost, Host: host, Path: i.Path, Target: i.Path, Header: h, Body: i.Body}
}

// observe records what a response says of its upstream.
func (r *Runner) observe(upstream string, a *relay.Response) {
	if a.AddressReassigned { // another upstream has responded
		return
	}
	r.d.Limits.Observe(upstream, a.Limit)
	if a.NamesCold {
		r.d.Limits.ObserveCold(upstream, a.Cold)
	}
	if a.Leaving {
		r.d.Departures.Observe(upstream)
	}
}

// runItem sends an item to an upstream and appends the events of its response to those of earlier runs in t. A run whose
// upstream sends no data for gapTimeout, or within maxNoDataBytes, is cancelled. An output that exceeds maxOutputBytes, or
// finds no room beside the others, is discarded: the next run starts from the first event.
//
// It calls wentOn, maybe more than once, when the response has gone on so far that the item does not crash its upstream.
func (r *Runner) runItem(ctx context.Context, q *relay.Request, s relay.Sending, t *partial, wentOn func()) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	gapTimer := time.AfterFunc(gapTimeout, func() { cancel(errNoData) })
	defer gapTimer.Stop()
	tracked := r.d.Crashes.Start(s.Upstream, quarantine.Subject{Segments: q.Segments})
	brokeOff := false
	defer func() {
		tracked.End(brokeOff)
		if brokeOff {
			r.d.Restarts.Broke(time.Now(), s.Upstream)
		}
	}()
	began := time.Now()
	a, err := r.d.Upstreams.Send(ctx, q, s)
	if err != nil {
		if ctx.Err() == nil && errors.Is(err, syscall.ECONNREFUSED) {
			r.d.Restarts.Broke(time.Now(), s.Upstream)
		}
		brokeOff = ctx.Err() == nil && !errors.As(err, new(httpconn.NotSent)) && !errors.As(err, new(httpconn.BadResponse))
		return r.interrupted(ctx, q, s, err)
	}
	defer a.Body.Close()
	r.observe(s.Upstream, a)
	if !a.AddressReassigned {
		r.reported(s.Upstream, a)
	}
	if o, ok := unsuccessful(a); ok {
		return o
	}
	tracked.Begun()
	if !r.versionHolds(s.Upstream, t) {
		return broken
	}
	room := r.memory.Reserve()
	defer room.Release()
	e := relay.NewEvents(t.lastEvent, room)
	b := make([]byte, readBytes)
	noData := 0
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			r.d.Restarts.Responded(time.Now(), s.Upstream, began)
		}
		newEvents, eventErr := e.Add(b[:n])
		data := relay.EventData(newEvents)
		noData += n
		tracked.Events(len(data))
		tellWentOn(tracked, wentOn)
		if len(data) > 0 {
			gapTimer.Reset(gapTimeout)
			noData = 0
		}
		switch {
		case !r.collect(t, e.Last(), data):
			r.d.Log.Warn("item output discarded", "request", q.ID, "upstream", s.Upstream, "limit", maxOutputBytes, "limit_of_all", maxOutputsBytes)
			return broken
		case eventErr != nil || noData > maxNoDataBytes:
			return broken
		case err == io.EOF && e.Complete(a):
			tracked.Complete()
			tellWentOn(tracked, wentOn)
			return complete
		case err != nil:
			brokeOff = ctx.Err() == nil
			o := r.interrupted(ctx, q, s, err)
			if o == broken && err == io.EOF && e.Empty() && t.lastEvent > 0 {
				return empty
			}
			return o
		}
	}
}

// tellWentOn calls wentOn when the response of a run has gone on.
func tellWentOn(tracked *quarantine.Run, wentOn func()) {
	if tracked.WentOn() {
		wentOn()
	}
}

// unsuccessful returns the outcome of a run by the head of its response; it is false if the output follows.
func unsuccessful(a *relay.Response) (outcome, bool) {
	switch {
	case a.NotRun || a.AddressReassigned:
		return refused, true
	case !a.Signed:
		return broken, true
	case a.Status == http.StatusUnprocessableEntity:
		return unprocessable, true
	case a.Status == http.StatusInternalServerError:
		return failed, true
	case a.Status != http.StatusOK:
		return broken, true
	}
	return 0, false
}

// versionHolds reports whether a run may go on at an upstream: not with events of earlier runs if the upstream may have started again. A first run
// may, but no upstream is known to have its version.
func (r *Runner) versionHolds(upstream string, t *partial) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.version == "" || t.version == origin.Unknown || !r.d.Restarts.Doubtful(upstream) {
		return true
	}
	if t.lastEvent > 0 {
		return false
	}
	t.version = origin.Unknown
	return true
}

// errNoData is the cause of cancelling a run whose upstream sends no data for gapTimeout.
var errNoData = errors.New("no data from the upstream within the timeout")

// interrupted returns the outcome of a run that ended with an error: stopped when this VM cancelled it for other reasons than
// a timeout.
func (r *Runner) interrupted(ctx context.Context, q *relay.Request, s relay.Sending, err error) outcome {
	timedOut := errors.Is(context.Cause(ctx), errNoData)
	if ctx.Err() != nil && !timedOut {
		return stopped
	}
	var n httpconn.NotSent
	r.d.Log.Info("item run interrupted", "request", q.ID, "upstream", s.Upstream, "silent", timedOut,
		"sent", !errors.As(err, &n), "error", err)
	return broken
}

// collect appends the data of events to an item's output. It returns false when the output exceeds maxOutputBytes, or when it is large and
// those of all items exceed maxOutputsBytes, and discards it.
func (r *Runner) collect(t *partial, last uint64, data []string) bool {
	if len(data) == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t.lastEvent = last
	before := len(t.output)
	for _, d := range data {
		t.output = append(append(t.output, d...), '\n')
	}
	large := len(t.output)/freeOutputBytes > before/freeOutputBytes // so that outputs are summed up once for each step
	if len(t.output) <= maxOutputBytes && (!large || r.items.outputBytes() <= maxOutputsBytes) {
		return true
	}
	t.lastEvent, t.output = 0, nil
	return false
}
