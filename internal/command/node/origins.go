package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/transport/link"
	"snipetack/internal/transport/relay"
)

// Timing and size of the exchange of origins.
const (
	originFlush   = 20 * time.Millisecond  // between messages with origins; what a VM has not sent is lost with its power
	originTimeout = 100 * time.Millisecond // of a question; its caller waits for a stream to go on
	originCheck   = 500 * time.Millisecond // between checks whether holders lack something, on average
	maxUnsent     = 4096                   // origins that wait to be sent
	maxInMessage  = 4096                   // origins in one message
)

// origins is an entry VM's knowledge of where streams began: its own, and by questions that of the batch VMs which hold the origins of all
// streams. It is safe for concurrent use.
type origins struct {
	calls *link.Link
	m     *member
	own   *origin.Table

	mu        sync.Mutex
	running   *origin.Running
	pending   []origin.Begun
	flushedAt time.Time
	copies    *origin.Copies
}

var _ relay.OriginProvider = (*origins)(nil)

func newOrigins(l *link.Link, m *member) *origins {
	return &origins{calls: l, m: m, own: origin.NewTable(), running: origin.NewRunning(), copies: origin.NewCopies()}
}

// Record remembers where a stream began, until origin.Memory after ended is called, and lets its holders know at once, or within originFlush of
// others. Services without versions need no record.
func (o *origins) Record(account, request string, at origin.Origin) (ended func()) {
	if o.m.history.Unversioned(at.Service) {
		return func() {}
	}
	k := origin.KeyOf(account, request)
	o.own.Add(time.Now(), k, at)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running.Begin(k, at)
	if len(o.pending) >= maxUnsent {
		o.copies.Dropped()
	} else if o.pending = append(o.pending, origin.Begun{Key: k, Origin: at}); len(o.pending) == 1 {
		time.AfterFunc(originFlush-time.Since(o.flushedAt), o.flush)
	}
	return func() {
		o.own.Add(time.Now(), k, at)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.running.End(k)
	}
}

// flush sends the collected origins to their holders.
func (o *origins) flush() {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.pending
	o.pending, o.flushedAt = nil, time.Now()
	batch := o.m.originHolders()
	byHolder := map[string][]origin.Begun{}
	for _, b := range l {
		for _, h := range origin.Holders(b.Key, batch) {
			byHolder[h] = append(byHolder[h], b)
		}
	}
	for h, l := range byHolder {
		o.send(origin.Copy{Holder: h, Streams: l})
	}
}

// send sends a message to a holder, in parts of maxInMessage. o.mu is held.
func (o *origins) send(c origin.Copy) {
	parts := slices.Collect(slices.Chunk(c.Streams, maxInMessage))
	if len(parts) == 0 {
		parts = append(parts, nil) // shows whether the connection still works
	}
	over := o.calls.Send(c.Holder, link.Origins, origin.EncodeBegun(parts[0]))
	for _, p := range parts[1:] {
		if o.calls.Send(c.Holder, link.Origins, origin.EncodeBegun(p)) != over {
			over = 0
		}
	}
	o.copies.Sent(time.Now(), c.Holder, over, c.Whole)
}

// run checks again and again until ctx ends. The times of all entry VMs are spread.
func (o *origins) run(ctx context.Context) error {
	for pause.For(ctx, originCheck/2+rand.N(originCheck)) {
		o.check(time.Now())
	}
	return nil
}

// check sends origins again to holders that may lack them.
func (o *origins) check(now time.Time) {
	batch := o.m.originHolders()
	o.mu.Lock()
	defer o.mu.Unlock()
	running := o.running.Streams()
	for _, b := range running {
		o.own.Add(now, b.Key, b.Origin)
	}
	again := 0
	for _, c := range o.copies.Due(now, batch, o.calls.Connection, running, func() []origin.Begun { return o.own.Streams(now) }) {
		o.send(c)
		if c.Whole && len(c.Streams) > 0 {
			again++
		}
	}
	if again > 0 {
		o.m.n.Log.Info("origins of streams sent again", "holders", again, "running", len(running))
	}
}

// Find returns where a stream began.
func (o *origins) Find(ctx context.Context, account, request, service string) (origin.Origin, bool) {
	if o.m.history.Unversioned(service) {
		return origin.Origin{Service: service}, true
	}
	k := origin.KeyOf(account, request)
	if at, ok := o.own.Find(time.Now(), k); ok {
		return at, true
	}
	l, at, ok := o.ask(ctx, origin.Question{Key: k, Service: service})
	if ok {
		return at, true
	}
	at, ok = origin.Sole(l)
	ok = ok && !o.m.history.HasOther(service, at.Version)
	if !ok {
		o.m.n.Log.Info("origin of a stream not known", "takes_up", request, "service", service, "answers", len(l),
			"batch_vms", len(o.m.originHolders()))
	}
	return at, ok
}

// ask asks all holders at once. It returns the origin in the first answer that knows the stream, or all answers without one.
func (o *origins) ask(ctx context.Context, q origin.Question) ([]origin.Answer, origin.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	l := origin.Holders(q.Key, o.m.originHolders())
	answers := make(chan *origin.Answer, len(l)) // nil without an answer
	b := origin.EncodeQuestion(q)
	for _, h := range l {
		go func() {
			r, err := o.calls.Call(ctx, h, link.Origin, b)
			var a origin.Answer
			if err == nil {
				a, err = origin.DecodeAnswer(r)
			}
			if err == nil {
				answers <- &a
				return
			}
			if !errors.Is(ctx.Err(), context.Canceled) { // otherwise another one has answered, or the caller has left
				o.m.n.Log.Info("no answer on the origin of a stream", "peer", h, "error", err)
			}
			answers <- nil
		}()
	}
	var got []origin.Answer
	for range l {
		a := <-answers
		if a == nil {
			continue
		}
		if a.Known {
			return nil, a.Origin, true
		}
		got = append(got, *a)
	}
	return got, origin.Origin{}, false
}

// originHolder is a batch VM's part: it holds the origins that entry VMs send.
type originHolder struct {
	m     *member
	table *origin.Table
}

// serveOrigins lets a batch VM hold origins and answer questions for them.
func serveOrigins(l *link.Link, m *member) {
	h := &originHolder{m: m, table: origin.NewTable()}
	l.Receive(link.Origins, h.receive)
	l.Handle(link.Origin, h.answer)
}

func (h *originHolder) receive(from string, b []byte) {
	l, err := origin.DecodeBegun(b)
	if err != nil {
		h.m.n.Log.Warn("origins of streams not decoded", "peer", from, "error", err)
		return
	}
	for _, x := range l {
		h.table.Add(time.Now(), x.Key, x.Origin)
	}
}

func (h *originHolder) answer(_ context.Context, _ string, b []byte) ([]byte, error) {
	q, err := origin.DecodeQuestion(b)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if at, ok := h.table.Find(now, q.Key); ok {
		return origin.EncodeAnswer(origin.Answer{Known: true, Origin: at}), nil
	}
	v, ok := h.m.history.Sole(now, q.Service)
	return origin.EncodeAnswer(origin.Answer{Sole: ok, Several: h.m.history.Several(q.Service), Origin: origin.Origin{Service: q.Service, Version: v}}), nil
}
