package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"snipetack/internal/coordination/queue"
	"snipetack/internal/coordination/routing"
	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/upstream"
)

// maxPlainAttempts bounds the attempts at upstreams for one call.
const maxPlainAttempts = 3

// plainRun is one call of a plain service, that is, of one that is no inference engine. serveEngineOnce uses it also to
// record an engine call.
type plainRun struct {
	g       *Gateway
	id      string
	account string
	key     string // idempotency key; empty when the caller sent none
	route   catalog.Route
	service catalog.Service
	call    upstream.Call
}

// plain serves a call of a plain service.
func (g *Gateway) plain(w http.ResponseWriter, r *http.Request) {
	if err := g.plainCall(w, r); err != nil {
		reply.Failure(w, err)
	}
}

func (g *Gateway) plainCall(w http.ResponseWriter, r *http.Request) error {
	c := g.d.Copy.Current()
	if err := checkTarget(r); err != nil {
		return err
	}
	t, ok := c.Route(r.URL.Path)
	s, known := c.Services[t.Service]
	if !ok || !known || s.Kind != catalog.Plain {
		return result.New(result.UnknownRoute, "no route has this path")
	}
	a, leave, err := g.admit(r, t)
	if err != nil {
		return err
	}
	defer leave()
	if err := g.checkKeyLocation(r); err != nil {
		return err
	}
	if len(r.Header.Get(IdempotencyHeader)) > maxIdempotencyKey {
		return result.New(result.MalformedRequest, "the idempotency key exceeds %d bytes", maxIdempotencyKey)
	}
	b, release, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	defer release()
	if g.keyPattern.Match(b) {
		return errMisplacedKey()
	}
	ctx, cancel := withDeadline(a.ctx, s.Deadline)
	defer cancel()
	if !t.Open {
		if err := g.d.Limiter.Admit(ctx, a.account); err != nil {
			return err
		}
	}
	leaveQueue, err := g.d.Queue.Enter(ctx, s, a.account, queue.Request{Work: 1, Bytes: len(b)})
	if err != nil {
		return err
	}
	defer leaveQueue()
	id := newRequestID()
	n := &plainRun{
		g:       g,
		id:      id,
		account: a.account.Name,
		key:     r.Header.Get(IdempotencyHeader),
		route:   t,
		service: s,
		call: upstream.Call{
			Method:          r.Method,
			Path:            upstreamTarget(r),
			Header:          g.headerFor(r, id, a.account.Name),
			Body:            b,
			ProgressTimeout: s.ProgressTimeout,
			NewConnection:   !t.Repeatable,
		},
	}
	if !t.Repeatable && n.key != "" {
		return n.serveOnce(ctx, w)
	}
	p, err := n.attempts(ctx)
	if err != nil {
		return stopCause(ctx, err)
	}
	defer p.Body.Close()
	return stopCause(ctx, p.relay(w))
}

// attempts calls upstreams until one responds, at most maxPlainAttempts times. A call of a route that is not repeatable
// is sent again only while no byte of it can have reached an upstream.
func (n *plainRun) attempts(ctx context.Context) (*plainResponse, error) {
	tried := map[string]bool{}
	ran := result.NotRun
	var last error
	for range maxPlainAttempts {
		x, err := n.choose(tried)
		if err != nil && last != nil {
			clear(tried) // no other upstream is left: retry one that was tried before
			x, err = n.choose(tried)
		}
		if err != nil && last != nil {
			return nil, last
		}
		if err != nil {
			return nil, err
		}
		p, err := n.attempt(ctx, x)
		if err == nil && !n.refused(p) {
			return p, nil
		}
		if err == nil || result.Of(err).Ran != result.NotRun {
			ran = result.Unknown
		}
		if !n.mayRetry(ctx, ran) {
			return p, failureWith(err, ran)
		}
		if err == nil {
			_ = p.Body.Close()
			err = result.New(result.UpstreamRefused, "upstream %s refused the call", x.Upstream.Name)
		}
		last = failureWith(err, ran)
		tried[x.Upstream.Name] = true
	}
	return nil, last
}

func (n *plainRun) choose(tried map[string]bool) (routing.Choice, error) {
	return n.g.d.Router.Choose(n.g.d.Copy.Current(), routing.Request{
		ID:      n.id,
		Account: n.account,
		Service: n.service.Name,
		Tried:   tried,
	})
}

// refused reports whether the response is a refusal after which another upstream may be tried.
func (n *plainRun) refused(p *plainResponse) bool {
	return n.route.Repeatable && p.StatusCode == http.StatusServiceUnavailable
}

// mayRetry reports whether the call may be sent once more, and if it may have run takes the retry from the service's
// budget.
func (n *plainRun) mayRetry(ctx context.Context, ran result.Ran) bool {
	if ctx.Err() != nil {
		return false
	}
	if ran == result.NotRun {
		return true
	}
	return n.route.Repeatable && n.g.d.Router.Retry(n.service.Name)
}

// failureWith returns err with another state of execution; nil stays nil.
func failureWith(err error, r result.Ran) error {
	if err == nil {
		return nil
	}
	return result.Of(err).WithRan(r)
}

// attempt calls one upstream and reports the attempt to the router: a failed one immediately, else when the body is
// closed.
func (n *plainRun) attempt(ctx context.Context, x routing.Choice) (*plainResponse, error) {
	c := n.call
	c.Upstream = x.Upstream
	start := time.Now()
	r, err := n.g.d.Caller.Do(ctx, c)
	if err != nil {
		x.Done(routing.Report{Failed: ctx.Err() == nil, Took: time.Since(start)})
		return nil, err
	}
	p := &plainResponse{Response: r}
	err = p.readPrefix()
	q := routing.Report{
		Refused: r.StatusCode == http.StatusServiceUnavailable,
		Closing: r.Close && !c.NewConnection,
		Failed:  err != nil && ctx.Err() == nil,
		Took:    time.Since(start),
	}
	if err != nil {
		x.Done(q)
		_ = r.Body.Close()
		return nil, err
	}
	r.Body = &closeHook{ReadCloser: r.Body, f: func() { x.Done(q) }}
	return p, nil
}

// prefixSize is how many bytes of a response's body are read before any of the response goes to the caller. A failure
// within them can still be retried or reported.
const prefixSize = 64 << 10

// plainResponse is an upstream's response; the first part of its body has been read into prefix.
type plainResponse struct {
	*http.Response
	prefix   []byte
	complete bool // prefix is the whole body
}

// readPrefix reads the first part of the body. It refuses redirects, and close-delimited responses unless they are
// JSON within the prefix that shows that it is complete.
func (p *plainResponse) readPrefix() error {
	if p.StatusCode >= http.StatusMultipleChoices && p.StatusCode < http.StatusBadRequest && p.StatusCode != http.StatusNotModified {
		return result.New(result.UpstreamRefused, "the upstream answered with a redirect").WithRan(result.DidRun)
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, prefixSize)) // not io.ReadFull, whose io.ErrUnexpectedEOF also is the error of a body that breaks off
	if err != nil {
		return err
	}
	p.prefix, p.complete = b, len(b) < prefixSize
	if httpconn.Unframed(p.Response) && (!p.complete || !showsItsEnd(p.prefix)) {
		return brokenResponse("the end of the answer can't be told from a cut connection")
	}
	return nil
}

// showsItsEnd reports whether a body is JSON of which no proper prefix is JSON with other content, as a prefix of a number is.
func showsItsEnd(body []byte) bool {
	b := bytes.TrimSpace(body)
	return json.Valid(b) && b[0] != '-' && (b[0] < '0' || b[0] > '9')
}

// relay sends the response to the caller. If reading or writing fails midway, it panics with http.ErrAbortHandler,
// which closes the caller's connection, so that the caller notices.
func (p *plainResponse) relay(w http.ResponseWriter) error {
	for _, n := range forwardedResponseHeaders() {
		if v, ok := p.Header[n]; ok {
			w.Header()[n] = v
		}
	}
	if p.complete && p.Request.Method != http.MethodHead && p.StatusCode != http.StatusNotModified {
		_ = writeComplete(w, p.StatusCode, "", p.prefix)
		return nil
	}
	if p.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(p.ContentLength, 10))
	}
	w.WriteHeader(p.StatusCode)
	if p.complete {
		return nil
	}
	_, err := w.Write(p.prefix)
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{w}, p.Body, make([]byte, prefixSize))
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// closeHook calls f before the body is closed.
type closeHook struct {
	io.ReadCloser
	f func()
}

// Close calls f and closes the body.
func (c *closeHook) Close() error {
	c.f()
	return c.ReadCloser.Close()
}
