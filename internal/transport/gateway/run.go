package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/routing"
	"snipetack/internal/protocol/chat"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/upstream"
)

// Bounds of the attempts for one request.
const (
	maxEngines              = 4 // attempts at engines, one after the other
	maxConnsWithoutProgress = 2 // successive connections to one engine that yield no further chunk
	maxUnresponsive         = 2 // connections to an engine that became unresponsive, also if they yielded chunks
	cancelTimeout           = 2 * time.Second
	maxRefusalBytes         = 64 << 10 // bytes of an engine's own error response that are forwarded
	maxChunks               = 1 << 20  // chunks of a response
	maxHeldBytes            = 4 << 20  // bytes of chunks that are kept because an earlier one is missing
)

// engineRun is one engine request; its response may come over several connections and from several engines.
type engineRun struct {
	g            *Gateway
	id           string // a new one for each engine
	account      string
	service      catalog.Service
	prompt       string // for routing by cached prefix
	tokens       int
	path         string
	body         []byte // requests a stream, also for a caller that does not
	response     *assembler
	sink         sink
	ran          result.Ran      // over all attempts
	tried        map[string]bool // by name of the upstream
	unrepeatable bool            // its route is not repeatable: no attempt follows one that may have reached an engine
}

// errTryElsewhere marks an error after which another engine may run the request.
type errTryElsewhere struct{ error }

func (e errTryElsewhere) Unwrap() error { return e.error }

// errForwarded reports that the engine's own response was sent to the caller unchanged.
type errForwarded struct{ error }

// serve sends the complete response or a failure to the sink.
func (r *engineRun) serve(ctx context.Context) {
	err := r.tryEngines(ctx)
	var p errForwarded
	var c errCallerLost
	if err == nil || errors.As(err, &p) {
		return
	}
	if errors.As(err, &c) {
		r.g.d.Log.Info("caller disconnected or reads too slowly; its response is dropped", "request", r.id, "account", r.account)
		return
	}
	f := result.Of(stopCause(ctx, err)).WithRan(r.ran)
	r.g.d.Log.Info("request failed", "request", r.id, "account", r.account, "result", int(f.Code), "ran", f.Ran)
	r.sink.fail(f)
}

// tryEngines runs the request at one engine after the other until one completes it.
func (r *engineRun) tryEngines(ctx context.Context) error {
	r.tried = map[string]bool{}
	var last error
	for range maxEngines {
		x, err := r.choose()
		if err != nil && last != nil {
			clear(r.tried) // no other engine is left: retry one that was tried before
			x, err = r.choose()
		}
		if err != nil && last != nil {
			return last
		}
		if err != nil {
			return err
		}
		last = r.tryEngine(ctx, x)
		var e errTryElsewhere
		if last == nil || ctx.Err() != nil || !errors.As(last, &e) || r.mustNotRepeat() {
			return last
		}
		if r.ran != result.NotRun && !r.g.d.Router.Retry(r.service.Name) {
			return last
		}
		r.tried[x.Upstream.Name] = true
		r.response.restart()
		r.id = newRequestID()
	}
	return last
}

// mustNotRepeat reports whether the request may have run and may not run again. Even a resume is ruled out then: an
// engine that no longer knows the request would run it again.
func (r *engineRun) mustNotRepeat() bool {
	return r.unrepeatable && r.ran != result.NotRun
}

func (r *engineRun) choose() (routing.Choice, error) {
	return r.g.d.Router.Choose(r.g.d.Copy.Current(), routing.Request{
		ID:      r.id,
		Account: r.account,
		Service: r.service.Name,
		Prompt:  r.prompt,
		Tried:   r.tried,
	})
}

// tryEngine runs the request at one engine and reports the attempt to the router. After a failure it cancels what may
// still run there.
func (r *engineRun) tryEngine(ctx context.Context, x routing.Choice) error {
	var p routing.Report
	start := time.Now()
	err := r.tryConnections(ctx, x.Upstream, &p)
	p.Took = time.Since(start)
	p.Tokens = r.response.last()
	x.Done(p)
	var e errForwarded
	if err != nil && !p.Refused && r.ran != result.NotRun && !errors.As(err, &e) {
		r.cancelAt(ctx, x.Upstream)
	}
	return err
}

// tryConnections opens connections to an engine, the later ones to resume the response, until it is complete or they
// make no more progress.
func (r *engineRun) tryConnections(ctx context.Context, u catalog.Upstream, p *routing.Report) error {
	unresponsiveConns := 0
	for withoutProgress := 0; ; withoutProgress++ {
		before := r.response.last()
		err := r.tryConnection(ctx, u, withoutProgress > 0 || before > 0, p)
		if err == nil || ctx.Err() != nil || !resumable(err) || r.mustNotRepeat() {
			return err
		}
		if r.response.last() > before {
			withoutProgress = 0
		}
		if result.Of(err).Code == result.UpstreamSilent {
			unresponsiveConns++
		}
		// Chunks without numbers can't be continued, and a request that did not arrive is better sent to another
		// engine.
		if withoutProgress >= maxConnsWithoutProgress-1 || unresponsiveConns >= maxUnresponsive || result.Of(err).Ran == result.NotRun || !r.response.numbered && r.response.last() > 0 {
			p.Failed = true
			return errTryElsewhere{err}
		}
		r.g.d.Log.Info("resuming", "request", r.id, "upstream", u.Name, "after_chunk", r.response.last(), "reason", err.Error())
	}
}

// tryConnection relays what one connection yields of the response; it returns nil when the response is complete.
// A resumed one names the last chunk received; 0 asks for the response from its start.
// The engine runs the request a second time only if it no longer knows it.
func (r *engineRun) tryConnection(ctx context.Context, u catalog.Upstream, resumed bool, p *routing.Report) error {
	h := http.Header{
		"Content-Type":       {"application/json"},
		"Accept":             {"text/event-stream"},
		"User-Agent":         {"snipetack"},
		chat.RequestIDHeader: {r.id},
	}
	if resumed {
		h.Set(chat.ResumeHeader, strconv.Itoa(r.response.last()))
	}
	a, err := r.g.d.Caller.Do(ctx, upstream.Call{
		Upstream:        u,
		Method:          http.MethodPost,
		Path:            r.path,
		Header:          h,
		Body:            r.body,
		ProgressTimeout: r.service.ProgressTimeout,
		NewConnection:   resumed,
	})
	if err != nil {
		if result.Of(err).Ran != result.NotRun && r.ran == result.NotRun {
			r.ran = result.Unknown
		}
		return err
	}
	defer a.Body.Close()
	if r.ran == result.NotRun {
		r.ran = result.Unknown
	}
	p.Closing = a.Close && !resumed
	if t, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type")); a.StatusCode != http.StatusOK || t != "text/event-stream" {
		return r.otherResponse(a, p, resumed)
	}
	return r.relay(newEventReader(a.Body), p)
}

// relay sends the chunks of one connection to the sink; it returns nil when the response is complete.
func (r *engineRun) relay(e *eventReader, p *routing.Report) error {
	start := time.Now()
	withoutProgress := 0 // events that completed no further chunk
	for {
		v, err := e.next()
		if err != nil {
			return err
		}
		r.ran = result.DidRun
		if p.First == 0 {
			p.First = max(time.Since(start), 1) // zero would mean that no chunk came
		}
		if string(v.Data) == doneMarker {
			if err := r.response.checkComplete(); err != nil {
				return err
			}
			return r.sink.done()
		}
		before := r.response.last()
		l, err := r.response.add(v)
		if r.response.last() == before {
			withoutProgress++
		}
		for _, b := range l {
			if err := r.sink.chunk(b); err != nil {
				return err
			}
		}
		if err == nil {
			err = r.checkBounds(withoutProgress)
		}
		if err != nil {
			return err
		}
	}
}

// checkBounds fails if the response can't end or keeps too much memory. An engine that ignores ResumeHeader may send each
// chunk once more.
func (r *engineRun) checkBounds(withoutProgress int) error {
	held := 0
	for _, b := range r.response.held {
		held += len(b)
	}
	switch {
	case r.response.last() > maxChunks:
		return brokenResponse("the answer has too many chunks")
	case withoutProgress > r.response.last()+maxHeldChunks:
		return brokenResponse("the answer repeats its chunks")
	case held > maxHeldBytes:
		return brokenResponse("too many bytes follow a missing chunk")
	}
	return nil
}

// otherResponse handles a response that is not an event stream. It forwards a refusal of the request itself (status
// 4xx) to the caller; after most others, another engine may be tried. It always returns an error.
func (r *engineRun) otherResponse(a *http.Response, p *routing.Report, resumed bool) error {
	switch {
	case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
		p.Refused = true
		return errTryElsewhere{result.New(result.UpstreamRefused, "the engine refused the request").WithRan(result.Unknown).After(retryDelay)}
	case a.StatusCode >= http.StatusInternalServerError:
		p.Failed = true
		return errTryElsewhere{result.New(result.UpstreamBroken, "the engine failed with status %d", a.StatusCode).WithRan(result.Unknown)}
	case resumed && r.response.last() > 0:
		p.Failed = true
		return errTryElsewhere{result.New(result.UpstreamBroken, "the engine can't resume the answer").WithRan(result.DidRun)}
	case a.StatusCode < http.StatusBadRequest || len(r.response.digests) > 0:
		return errTryElsewhere{result.New(result.UpstreamBroken, "the engine's answer is no stream").WithRan(result.DidRun)}
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxRefusalBytes+1))
	if err != nil || len(b) > maxRefusalBytes {
		return brokenResponse("the engine's refusal broke off")
	}
	r.forwardRefusal(a.StatusCode, b)
	return errForwarded{errors.New("forwarded")}
}

// forwardRefusal sends an engine's own error response to the caller.
func (r *engineRun) forwardRefusal(status int, b []byte) {
	var w http.ResponseWriter
	switch s := r.sink.(type) {
	case *streamSink:
		w = s.w
	case *joinedSink:
		w = s.w
	}
	_ = writeComplete(w, status, "application/json", b)
}

// cancelAt cancels the request at an engine, as its response is no longer needed. It ignores the end of ctx, which may
// be the reason for the call.
func (r *engineRun) cancelAt(ctx context.Context, u catalog.Upstream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	a, err := r.g.d.Caller.Do(ctx, upstream.Call{
		Upstream:        u,
		Method:          http.MethodDelete,
		Path:            "/v1/requests/" + r.id,
		Header:          http.Header{"User-Agent": {"snipetack"}},
		ProgressTimeout: cancelTimeout,
		NewConnection:   true,
	})
	if err != nil {
		r.g.d.Log.Info("cancel not delivered; the engine may still run the request", "request", r.id, "upstream", u.Name, "error", err)
		return
	}
	_ = a.Body.Close()
	r.g.d.Log.Info("cancelled", "request", r.id, "upstream", u.Name)
}

// resumable reports whether another connection to the same engine may complete the response.
func resumable(err error) bool {
	var e errTryElsewhere
	var c errCallerLost
	var d errDiverged
	var p errForwarded
	if errors.As(err, &e) || errors.As(err, &c) || errors.As(err, &d) || errors.As(err, &p) {
		return false
	}
	k := result.Of(err).Code
	return k == result.UpstreamBroken || k == result.UpstreamSilent
}
