package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/group"
	"snipetack/internal/state/intent"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/upstream"
)

// Timing of the records of requests that may run at most once (package intent).
const (
	recordTimeout   = 3 * time.Second
	defaultRunLimit = 10 * time.Minute // longest run of a call to a service without a deadline
)

// serveOnce runs a call at most once for its idempotency key, whichever VMs receive it, and sends the stored outcome in
// response to a repeated request.
func (n *plainRun) serveOnce(ctx context.Context, w http.ResponseWriter) error {
	o, err := n.beginIntent(ctx)
	if err != nil {
		return err
	}
	if o.State == intent.Done {
		return n.replay(w, o.Response)
	}
	return n.execute(ctx, w)
}

// beginIntent records that the call is about to run. The state of its outcome is Started, when it may run now, or Done;
// all else is a Failure.
func (n *plainRun) beginIntent(ctx context.Context) (intent.Outcome, error) {
	o, err := n.record(ctx, intent.Begin, intent.Response{})
	if err != nil {
		// An earlier request with the same key may have run, so the failure must not promise "not run".
		return o, result.New(result.NoQuorum, "the idempotency key could not be recorded").WithRan(result.Unknown).After(retryDelay)
	}
	switch o.State {
	case intent.Started, intent.Done:
		return o, nil
	case intent.Running:
		return o, result.New(result.IdempotentInFlight, "a request with this idempotency key is in flight").WithRan(result.Unknown).After(retryDelay)
	case intent.Clash:
		return o, result.New(result.IdempotencyClash, "the idempotency key belongs to another content")
	default:
		return o, result.New(result.OutcomeUnknown, "the outcome of the request was lost").WithRan(result.Unknown)
	}
}

// serveEngineOnce runs an engine call at most once for its idempotency key. The response is relayed while it is
// generated and not stored, so a repeated request only learns that the first one ran. The body is the one that the
// caller sent, which the digest covers.
func (g *Gateway) serveEngineOnce(ctx context.Context, w http.ResponseWriter, r *engineRun, key string, body []byte) error {
	n := &plainRun{
		g:       g,
		id:      r.id,
		account: r.account,
		key:     key,
		service: r.service,
		call:    upstream.Call{Method: http.MethodPost, Path: r.path, Body: body},
	}
	o, err := n.beginIntent(ctx)
	if err != nil {
		return err
	}
	if o.State == intent.Done {
		return n.replay(w, o.Response)
	}
	r.serve(ctx)
	k, a := intent.Finish, intent.Response{}
	switch r.ran {
	case result.NotRun:
		k = intent.Abandon
	case result.DidRun:
		a.Status = http.StatusOK
	}
	if _, err := n.record(ctx, k, a); err != nil {
		g.d.Log.Error("outcome not recorded; a repeated request will not get it", "request", n.id, "error", err)
	}
	return nil
}

// execute dispatches the call and records its outcome. It continues when the caller disconnects, so that a repeated
// request gets the outcome.
func (n *plainRun) execute(ctx context.Context, w http.ResponseWriter) error {
	if err := ctx.Err(); err != nil {
		_, _ = n.record(ctx, intent.Abandon, intent.Response{})
		return result.Of(stopCause(ctx, err)).WithRan(result.NotRun)
	}
	d, cancel := withDeadline(context.WithoutCancel(ctx), n.limit())
	defer cancel()
	p, err := n.attempts(d)
	if err != nil {
		n.recordFailure(ctx, err)
		return stopCause(d, err)
	}
	defer p.Body.Close()
	a := intent.Response{Status: p.StatusCode, ContentType: p.Header.Get("Content-Type")}
	if p.complete && len(p.prefix) <= intent.MaxResponseBytes {
		a.Body = p.prefix
		a.Kept = true
	}
	if _, err := n.record(ctx, intent.Finish, a); err != nil {
		n.g.d.Log.Error("outcome not recorded; a repeated request will not get it", "request", n.id, "error", err)
	}
	return p.relay(w)
}

// recordFailure records a call without a response; one that reached no upstream is abandoned, so that its key can be
// used again.
func (n *plainRun) recordFailure(ctx context.Context, err error) {
	k := intent.Finish
	if result.Of(err).Ran == result.NotRun {
		k = intent.Abandon
	}
	if _, err := n.record(ctx, k, intent.Response{}); err != nil {
		n.g.d.Log.Error("outcome not recorded; a repeated request will not get it", "request", n.id, "error", err)
	}
}

// replay sends the outcome of an earlier request with the same key: its response, if it is stored, else a Failure.
func (n *plainRun) replay(w http.ResponseWriter, a intent.Response) error {
	switch {
	case a.Kept:
		_ = writeComplete(w, a.Status, a.ContentType, a.Body)
		return nil
	case a.Status != 0:
		reply.Failure(w, result.New(result.OutcomeUnknown, "the request ran; its answer is not kept").WithRan(result.DidRun))
		return nil
	default:
		return result.New(result.OutcomeUnknown, "the outcome of the request was lost").WithRan(result.Unknown)
	}
}

// record commits a command for the call's account and idempotency key. It ignores the end of ctx, as the outcome of a
// call whose caller disconnected must be recorded, too.
func (n *plainRun) record(ctx context.Context, k intent.Action, a intent.Response) (intent.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	b, err := n.g.d.Groups.Propose(ctx, group.Intents, intent.EncodeCommand(intent.Command{
		Action:   k,
		Account:  n.account,
		Key:      n.key,
		Digest:   n.digest(),
		Run:      n.id,
		At:       time.Now(),
		Limit:    n.limit(),
		Response: a,
	}))
	if err != nil {
		return intent.Outcome{}, err
	}
	return intent.DecodeOutcome(b)
}

// digest returns a hash of all the content that the upstream acts on; a request with the same key and another digest is
// refused. Each part is preceded by its length, so that different parts can't join to the same bytes.
func (n *plainRun) digest() []byte {
	h := sha256.New()
	for _, s := range []string{n.service.Name, n.call.Method, n.call.Path, n.call.Header.Get("Content-Type"), string(n.call.Body)} {
		var l [8]byte
		binary.LittleEndian.PutUint64(l[:], uint64(len(s)))
		h.Write(l[:])
		h.Write([]byte(s))
	}
	return h.Sum(nil)
}

// limit returns how long the call may run. After that, a call without a recorded outcome counts as lost.
func (n *plainRun) limit() time.Duration {
	if n.service.Deadline > 0 {
		return n.service.Deadline
	}
	return defaultRunLimit
}
