package gateway

import (
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"snipetack/internal/coordination/budget"
	"snipetack/internal/coordination/queue"
	"snipetack/internal/protocol/chat"
	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpserver"
)

// completions serves an engine call.
func (g *Gateway) completions(w http.ResponseWriter, r *http.Request) {
	if err := g.engineCall(w, r); err != nil {
		reply.Failure(w, err)
	}
}

// engineCall returns an error only if nothing has been sent to the caller yet; later failures go to the sink.
func (g *Gateway) engineCall(w http.ResponseWriter, r *http.Request) error {
	c := g.d.Copy.Current()
	t, ok := c.Route(r.URL.Path)
	unrepeatable := ok && !t.Open && !t.Repeatable
	if !ok || t.Open {
		t = catalog.Route{} // an open route does not apply here: an engine call always needs a key
	}
	a, leave, err := g.admit(r, t)
	if err != nil {
		return err
	}
	defer leave()
	b, release, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	defer release()
	if len(r.Header.Get(IdempotencyHeader)) > maxIdempotencyKey {
		return result.New(result.MalformedRequest, "the idempotency key exceeds %d bytes", maxIdempotencyKey)
	}
	if f := httpserver.Reserve(r.Context(), chatWeight(b)); f != nil {
		return f
	}
	q, err := decodeChat(b)
	if err != nil {
		return err
	}
	if g.keyPattern.Match(b) {
		return errMisplacedKey()
	}
	s, ok := c.ServiceOfModel(q.Model)
	if !ok {
		return result.New(result.UnknownModel, "the model is not served")
	}
	ctx, cancel := withDeadline(a.ctx, s.Deadline)
	defer cancel()
	if err := g.d.Limiter.Admit(ctx, a.account); err != nil {
		return stopCause(ctx, err)
	}
	leaveQueue, err := g.d.Queue.Enter(ctx, s, a.account, queue.Request{Work: float64(q.MaxTokens), Bytes: len(b)})
	if err != nil {
		return stopCause(ctx, err)
	}
	defer leaveQueue()
	n := &engineRun{
		g:            g,
		id:           newRequestID(),
		account:      a.account.Name,
		service:      s,
		prompt:       q.Prompt(),
		tokens:       q.MaxTokens,
		path:         r.URL.Path,
		body:         b,
		response:     newAssembler(),
		ran:          result.NotRun,
		unrepeatable: unrepeatable,
	}
	n.sink = newStreamSink(w)
	if !q.Stream {
		n.sink = newJoinedSink(w)
		if n.body, err = withStreaming(b); err != nil {
			return err
		}
	}
	if k := r.Header.Get(IdempotencyHeader); n.unrepeatable && k != "" {
		return g.serveEngineOnce(ctx, w, n, k, b)
	}
	n.serve(ctx)
	return nil
}

// Memory that a decoded chat request takes beside its text.
const (
	messageBytes = 200 // a message, and the lists that it was copied from while they grew
	fieldBytes   = 128 // a field that the request passes on
)

// chatWeight returns the bytes that a chat request takes beside its body: its prompt and the body for the engine, and decoded fields.
func chatWeight(b []byte) int64 {
	s := budget.ShapeOf(b)
	return 2*int64(len(b)) + messageBytes*int64(s.Objects) + fieldBytes*int64(s.Fields)
}

func decodeChat(b []byte) (chat.Request, error) {
	var q chat.Request
	if !utf8.Valid(b) {
		return q, result.New(result.InvalidText, "the body is not UTF-8")
	}
	if err := json.Unmarshal(b, &q); err != nil {
		return q, result.New(result.MalformedRequest, "the body is not a chat request")
	}
	return q, nil
}

// withStreaming turns a request into a streamed one, so that an unresponsive engine is noticed and a response that
// breaks off can be resumed.
func withStreaming(body []byte) ([]byte, error) {
	var o map[string]json.RawMessage
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, result.New(result.MalformedRequest, "the body is not a chat request")
	}
	o["stream"] = json.RawMessage("true")
	o["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	b, err := json.Marshal(o)
	if err != nil {
		return nil, result.New(result.MalformedRequest, "the body is not a chat request")
	}
	return b, nil
}
