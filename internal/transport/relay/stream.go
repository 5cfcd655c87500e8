package relay

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"snipetack/internal/coordination/dispatch"
)

// Timing of streams.
const (
	gapPart  = 0.8 // of the longest pause that is on time; then a silent stream is resumed elsewhere
	gapLeast = 150 * time.Millisecond
)

// stream passes events on, each once and in order.
func (x *exchange) stream(ctx context.Context, cancel context.CancelFunc, c dispatch.Choice, a *Answer) verdict {
	if !a.Signed {
		x.reason = "the answer has no signature"
		return broken
	}
	w := x.watchGap(cancel, c)
	defer w.stop()
	e := NewEvents(x.last)
	g := gaps{before: time.Now()}
	defer func() { x.noteLate(c, &g) }()
	b := make([]byte, chunkBytes)
	for {
		n, err := a.Body.Read(b)
		if n > 0 {
			w.beat()
			g.beat(time.Now())
			x.r.d.Pool.Responded(time.Now(), c.ID)
			if v, ok := x.pass(a, e, b[:n]); !ok {
				return v
			}
		}
		if err == io.EOF && e.Rest() == 0 {
			return x.finish(a)
		}
		if err != nil {
			return x.interrupted(ctx, c, w.silent())
		}
	}
}

// gaps measures the pauses of a stream.
type gaps struct {
	first   time.Time
	before  time.Time
	longest time.Duration
}

func (g *gaps) beat(now time.Time) {
	if g.first.IsZero() {
		g.first = now
	} else {
		g.longest = max(g.longest, now.Sub(g.before))
	}
	g.before = now
}

// noteLate logs a stream whose first event or one of its pauses missed the route's objective.
func (x *exchange) noteLate(c dispatch.Choice, g *gaps) {
	first := g.first.Sub(x.a.Arrived)
	if g.first.IsZero() || first <= x.a.Route.Objective && g.longest <= x.a.Route.GapLimit {
		return
	}
	x.r.d.Log.Info("stream late", "request", x.a.ID, "upstream", c.ID, "load", c.Load, "slots", c.Slots,
		"first", first, "longest_gap", g.longest, "attempts", x.attempts, "placed", x.placed.Sub(x.a.Arrived))
}

// pass sends the whole events among new bytes to the caller.
func (x *exchange) pass(a *Answer, e *Events, b []byte) (verdict, bool) {
	out, err := e.Add(b)
	if len(out) > 0 {
		if !x.begun {
			x.begun = true
			x.s.Begin(a.Status, a.Header, -1)
		}
		if _, err := x.s.Write(out); err != nil {
			x.reason = "the caller left"
			return dropped, false
		}
		if err := x.s.Flush(); err != nil {
			x.reason = "the caller left"
			return dropped, false
		}
		x.last = e.Last()
	}
	if err != nil {
		x.reason = err.Error()
		return broken, false
	}
	return done, true
}

// finish ends a stream that is complete.
func (x *exchange) finish(a *Answer) verdict {
	if !x.begun {
		x.begun = true
		x.s.Begin(a.Status, a.Header, -1)
	}
	return done
}

// interrupted judges a stream that ended before its last event.
func (x *exchange) interrupted(ctx context.Context, c dispatch.Choice, silent bool) verdict {
	x.r.d.Log.Info("stream interrupted", "request", x.a.ID, "upstream", c.ID, "event", x.last, "silent", silent)
	x.reason = "the stream broke off"
	if silent {
		x.reason = "the stream fell silent"
		x.prefer = ""
		x.exclude = append(x.exclude, c.ID)
		x.r.d.Pool.Failed(time.Now(), c.ID)
		return broken
	}
	if ctx.Err() != nil {
		return dropped
	}
	x.prefer = c.ID
	return broken
}

// gapWatch ends a stream without events that another upstream could go on with.
type gapWatch struct {
	t     *time.Timer
	limit time.Duration
	fired chan struct{}
}

func (x *exchange) watchGap(cancel context.CancelFunc, c dispatch.Choice) *gapWatch {
	w := &gapWatch{fired: make(chan struct{})}
	if !x.repeatable() || x.spent() || x.a.Route.GapLimit <= 0 {
		return w
	}
	w.limit = max(gapLeast, time.Duration(gapPart*float64(x.a.Route.GapLimit)))
	w.t = time.AfterFunc(w.limit, func() {
		if x.r.d.Pool.RespondedSince(c.ID, time.Now().Add(-w.limit)) && !x.r.d.Patience.TakeRetry() {
			return
		}
		close(w.fired)
		cancel()
	})
	return w
}

func (w *gapWatch) beat() {
	if w.t != nil {
		w.t.Reset(w.limit)
	}
}

func (w *gapWatch) stop() {
	if w.t != nil {
		w.t.Stop()
	}
}

func (w *gapWatch) silent() bool {
	select {
	case <-w.fired:
		return true
	default:
		return false
	}
}

// Events cuts a stream into whole events and checks that their ids follow one another.
type Events struct {
	rest []byte
	last uint64
}

// NewEvents returns Events that go on after an id.
func NewEvents(last uint64) *Events { return &Events{last: last} }

// Rest returns how many bytes of an unfinished event are held.
func (e *Events) Rest() int { return len(e.rest) }

// Last returns the id of the last whole event.
func (e *Events) Last() uint64 { return e.last }

// Add takes bytes and returns the whole events that they complete; an event out of order is an error.
func (e *Events) Add(b []byte) ([]byte, error) {
	e.rest = append(e.rest, b...)
	at := 0
	for {
		n := bytes.Index(e.rest[at:], []byte("\n\n"))
		if n < 0 {
			break
		}
		id, ok := eventID(e.rest[at : at+n])
		if ok && id != e.last+1 {
			out := bytes.Clone(e.rest[:at])
			return out, errOrder(e.last, id)
		}
		if ok {
			e.last = id
		}
		at += n + 2
	}
	out := bytes.Clone(e.rest[:at])
	e.rest = append(e.rest[:0], e.rest[at:]...)
	return out, nil
}

// eventID returns the id of an event.
func eventID(event []byte) (uint64, bool) {
	for l := range bytes.SplitSeq(event, []byte("\n")) {
		v, ok := bytes.CutPrefix(l, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(v)), 10, 64)
		return n, err == nil
	}
	return 0, false
}

// EventData returns the data lines of whole events, in order.
func EventData(events []byte) []string {
	var l []string
	for x := range bytes.SplitSeq(events, []byte("\n")) {
		if v, ok := bytes.CutPrefix(x, []byte("data:")); ok {
			l = append(l, string(bytes.TrimPrefix(v, []byte(" "))))
		}
	}
	return l
}
