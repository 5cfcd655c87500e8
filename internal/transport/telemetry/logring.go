package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a LogRing.
const (
	maxQueuedLines        = 2048        // that wait for the writer
	bytesPerSec           = 48 << 10    // budget, also the largest burst; lines beyond it are dropped and counted
	reservedBytes         = 12 << 10    // part of a full budget that lines about single requests and items may not use
	droppedReportInterval = time.Second // minimum time between lines that report dropped ones
)

// LogRing writes log lines in the background and never blocks the caller. New lines are dropped when the rate exceeds
// bytesPerSec, when maxQueuedLines wait because the writer is slow, and after Close. It is safe for concurrent use.
type LogRing struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{} // closed when the writing goroutine has ended

	mu         sync.Mutex
	budget     float64   // bytes that may be written now
	refilledAt time.Time // last update of budget
	dropped    int       // lines since the last report of dropped ones
	reportedAt time.Time // time of that report
	total      int       // lines dropped since the start
	closed     bool
}

var _ io.Writer = (*LogRing)(nil)

// NewLogRing returns a LogRing that writes to out from a goroutine of its own, until Close. Once out returns an error,
// nothing more is written.
func NewLogRing(out io.Writer) *LogRing {
	r := &LogRing{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), budget: bytesPerSec, refilledAt: time.Now()}
	go r.run()
	return r
}

// Write queues or drops one line; b is copied. It never returns an error.
func (r *LogRing) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.refill(now)
	if r.closed || r.budget < float64(len(b)) {
		r.dropped++
		r.total++
		return len(b), nil
	}
	r.reportDropped(now)
	if r.enqueue(append([]byte(nil), b...)) {
		r.budget -= float64(len(b))
	} else {
		r.dropped++
		r.total++
	}
	return len(b), nil
}

// dropForReserve reports whether a line about a single request or item has to be dropped because only the reserve is left,
// and counts it as dropped if so.
func (r *LogRing) dropForReserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(time.Now())
	if r.budget > reservedBytes {
		return false
	}
	r.dropped++
	r.total++
	return true
}

// refill adds the budget of the time since the last call.
func (r *LogRing) refill(now time.Time) {
	r.budget = min(bytesPerSec, r.budget+bytesPerSec*now.Sub(r.refilledAt).Seconds())
	r.refilledAt = now
}

// reportDropped queues a line with the number of lines dropped since the last such line, at most one per
// droppedReportInterval.
func (r *LogRing) reportDropped(now time.Time) {
	if r.dropped == 0 || now.Sub(r.reportedAt) < droppedReportInterval {
		return
	}
	b := fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", now.Format(time.RFC3339Nano), r.dropped)
	if r.enqueue(b) {
		r.dropped, r.reportedAt = 0, now
	}
}

// Dropped returns the number of lines dropped since the start.
func (r *LogRing) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Close waits until the queued lines are written. It must be called once.
func (r *LogRing) Close() {
	r.mu.Lock()
	r.closed = true
	close(r.lines)
	r.mu.Unlock()
	<-r.done
}

// enqueue reports whether there was a free slot in the queue.
func (r *LogRing) enqueue(b []byte) bool {
	select {
	case r.lines <- b:
		return true
	default:
		return false
	}
}

// run writes the lines, all that wait in one call.
func (r *LogRing) run() {
	defer close(r.done)
	for b := range r.lines {
		for more := true; more; {
			select {
			case x, ok := <-r.lines:
				b = append(b, x...)
				more = ok
			default:
				more = false
			}
		}
		if _, err := r.out.Write(b); err != nil {
			return
		}
	}
}
