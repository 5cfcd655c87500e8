package relay

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/dispatch"
)

// Timing of streams.
const (
	gapTimeoutFraction = 0.8                    // of the route's GapLimit; a stream idle for longer is resumed elsewhere
	minGapTimeout      = 150 * time.Millisecond // lower bound for routes with a small GapLimit
)

// maxEventBytes is the maximum size of an event of a stream.
const maxEventBytes = 256 << 10

// relayStream sends the events of a stream to the caller, each once and in order.
func (x *exchange) relayStream(ctx context.Context, cancel context.CancelFunc, c dispatch.Choice, a *Response) verdict {
	if !a.Signed {
		x.reason = "the answer has no signature"
		return broken
	}
	w := x.watchGap(cancel, c)
	room := x.r.memory.Reserve()
	defer room.Release()
	e := NewEvents(x.lastEvent, room)
	g := gaps{previous: time.Now()}
	defer func() { x.logLate(c, &g) }()
	b := make([]byte, chunkBytes)
	began := time.Now()
	w.start()
	for {
		n, err := a.Body.Read(b)
		silent := w.stop()
		progress := false
		if n > 0 {
			g.record(time.Now())
			x.r.d.Pool.Responded(time.Now(), c.ID)
			x.r.d.Restarts.Responded(time.Now(), c.ID, began)
			events := e.Count()
			if v, ok := x.relayEvents(c, a, e, b[:n]); !ok {
				return v
			}
			progress = e.Count() > events
		}
		if err == io.EOF && e.Complete(a) {
			return x.finish(a)
		}
		if err != nil || silent {
			return x.interrupted(ctx, c, silent)
		}
		if progress {
			w.start()
		} else { // bytes of an event that does not end, and comments, are no progress
			w.resume()
		}
	}
}

// gaps measures the time between the bytes of a stream.
type gaps struct {
	first    time.Time // when the first bytes arrived; zero before
	previous time.Time
	longest  time.Duration
}

// record notes that bytes arrived.
func (g *gaps) record(now time.Time) {
	if g.first.IsZero() {
		g.first = now
	} else {
		g.longest = max(g.longest, now.Sub(g.previous))
	}
	g.previous = now
}

// logLate logs a stream whose first bytes missed the route's objective or that paused for longer than its GapLimit.
func (x *exchange) logLate(c dispatch.Choice, g *gaps) {
	first := g.first.Sub(x.a.Arrived)
	if g.first.IsZero() || first <= x.a.Route.Objective && g.longest <= x.a.Route.GapLimit {
		return
	}
	x.r.d.Log.Info("stream late", "request", x.a.ID, "upstream", c.ID, "load", c.Load, "slots", c.Slots,
		"first", first, "longest_gap", g.longest, "attempts", x.attempts, "placed", x.slotTaken.Sub(x.a.Arrived))
}

// relayEvents adds bytes to e and sends the events that they complete to the caller; it returns false with a verdict when
// the stream can't continue.
func (x *exchange) relayEvents(c dispatch.Choice, a *Response, e *Events, b []byte) (verdict, bool) {
	out, err := e.Add(b)
	if len(out) > 0 {
		x.progressed.Store(true)
		x.pin(c)
		x.tracked.Events(bytes.Count(out, []byte("\n\n")))
		if !x.headerSent {
			x.headerSent = true
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
		x.lastEvent, x.heard = e.Last(), time.Now()
	}
	if errors.Is(err, errEventSize) {
		x.exclude = append(x.exclude, c.ID)
		x.r.d.Pool.RecordErrorResponse(time.Now(), c.ID)
	}
	if err != nil {
		x.reason = err.Error()
		return broken, false
	}
	return done, true
}

// finish ends a complete stream; one without events still gets its header.
func (x *exchange) finish(a *Response) verdict {
	if !x.headerSent {
		x.headerSent = true
		x.s.Begin(a.Status, a.Header, -1)
	}
	x.tracked.Complete()
	return done
}

// interrupted returns the verdict on a stream that ended early; silent is set when the gap timer had expired. After any
// other error the same upstream is preferred, since it holds the stream's state, once it is known not to have started again.
func (x *exchange) interrupted(ctx context.Context, c dispatch.Choice, silent bool) verdict {
	x.r.d.Log.Info("stream interrupted", "request", x.a.ID, "upstream", c.ID, "event", x.lastEvent, "silent", silent,
		"segments", x.a.Segments, "fingerprint", x.a.Fingerprint)
	x.reason = "the stream broke off"
	if silent {
		x.reason = "the stream fell silent"
		x.prefer = ""
		x.exclude = append(x.exclude, c.ID)
		x.r.d.Pool.RecordUnreachable(time.Now(), c.ID)
		return broken
	}
	if ctx.Err() != nil {
		return dropped
	}
	x.brokeOff = true
	x.r.d.Restarts.Broke(time.Now(), c.ID)
	x.prefer = c.ID
	return broken
}

// watchGap returns a watchdog that cancels an idle stream which another upstream may resume. If the upstream sent bytes of other
// responses meanwhile, the stream is cancelled only within the retry budget; otherwise the upstream is taken as unresponsive and
// the budget is not needed.
func (x *exchange) watchGap(cancel context.CancelFunc, c dispatch.Choice) *watchdog {
	if !x.repeatable() || x.upstreamsExhausted() || x.a.Route.GapLimit <= 0 {
		return &watchdog{}
	}
	limit := max(minGapTimeout, time.Duration(gapTimeoutFraction*float64(x.a.Route.GapLimit)))
	return &watchdog{limit: limit, cancel: cancel, expire: func() bool {
		if (x.pinned || x.a.Homes.Bound()) && !x.servable(c.ID) {
			return false // no other upstream can go on with the stream
		}
		return !x.r.d.Pool.RespondedSince(c.ID, time.Now().Add(-limit)) || x.r.d.RetryPolicy.TakeRetry()
	}}
}

// Events splits a stream into complete events and checks that their ids are consecutive. Events without an id are passed
// through unchecked, and so are comments.
type Events struct {
	room  *Reservation // of rest
	rest  []byte       // bytes of an event that is not complete
	last  uint64
	count int
}

// NewEvents returns Events that expect last+1 as the first id and keep an incomplete event in room.
func NewEvents(last uint64, room *Reservation) *Events { return &Events{last: last, room: room} }

// Count returns the number of complete events with an id or data. Comments don't count: an upstream may send them without any progress.
func (e *Events) Count() int { return e.count }

// Complete reports whether a response that has ended is complete: it did not end within an event, and one without a length or
// chunks has had an event, since it also ends so when its upstream crashes. Events of the runs before a resumed one don't count.
func (e *Events) Complete(a *Response) bool {
	return len(e.rest) == 0 && (!a.Unframed || e.count > 0)
}

// Empty reports whether no byte of an event has arrived.
func (e *Events) Empty() bool { return len(e.rest) == 0 && e.count == 0 }

// Last returns the id of the last complete event.
func (e *Events) Last() uint64 { return e.last }

// errEventSize reports an event that exceeds maxEventBytes, or the memory that incomplete events may take together.
var errEventSize = errors.Errorf("an event exceeds %d bytes, or what is left for all", maxEventBytes)

// Add appends bytes and returns the events that they complete. When an id is not the expected one or an event exceeds
// 256 KiB or finds no room, it returns the events before it and an error.
func (e *Events) Add(b []byte) ([]byte, error) {
	e.rest = append(e.rest, b...)
	at := 0
	for {
		n := bytes.Index(e.rest[at:], []byte("\n\n"))
		if n < 0 {
			break
		}
		event := e.rest[at : at+n]
		id, ok := eventID(event)
		if ok && id != e.last+1 {
			out := bytes.Clone(e.rest[:at])
			return out, errEventOrder(e.last, id)
		}
		if ok {
			e.last = id
		}
		if ok || len(EventData(event)) > 0 {
			e.count++
		}
		at += n + 2
	}
	out := bytes.Clone(e.rest[:at])
	e.rest = append(e.rest[:0], e.rest[at:]...)
	if len(e.rest) > maxEventBytes || !e.room.Resize(len(e.rest)) {
		return out, errEventSize
	}
	return out, nil
}

// eventID returns the id of an event, or false when it has none that is a number.
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

// EventData returns the data lines of complete events, in order and without their prefix.
func EventData(events []byte) []string {
	var l []string
	for x := range bytes.SplitSeq(events, []byte("\n")) {
		if v, ok := bytes.CutPrefix(x, []byte("data:")); ok {
			l = append(l, string(bytes.TrimPrefix(v, []byte(" "))))
		}
	}
	return l
}
