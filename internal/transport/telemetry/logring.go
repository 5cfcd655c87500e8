package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a LogRing.
const (
	ringLines   = 2048
	bytesPerSec = 48 << 10    // lines beyond are counted and dropped
	reserve     = 12 << 10    // bytes of the budget that lines about single requests and items leave to others
	tellDropped = time.Second // between lines that count what was dropped
)

// LogRing writes log lines in the background; it never blocks, and drops lines beyond its bounds.
type LogRing struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	budget  float64 // bytes that may be written now
	at      time.Time
	dropped int       // since the last line about it
	told    time.Time // when that was
	total   int       // dropped since the start
	closed  bool
}

var _ io.Writer = (*LogRing)(nil)

// NewLogRing returns a LogRing in front of a writer.
func NewLogRing(out io.Writer) *LogRing {
	r := &LogRing{out: out, lines: make(chan []byte, ringLines), done: make(chan struct{}), budget: bytesPerSec, at: time.Now()}
	go r.run()
	return r
}

// Write takes one line.
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
	r.tell(now)
	if r.offer(append([]byte(nil), b...)) {
		r.budget -= float64(len(b))
	} else {
		r.dropped++
		r.total++
	}
	return len(b), nil
}

// crowded reports, and counts a line as dropped, when only the reserve is left.
func (r *LogRing) crowded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(time.Now())
	if r.budget > reserve {
		return false
	}
	r.dropped++
	r.total++
	return true
}

func (r *LogRing) refill(now time.Time) {
	r.budget = min(bytesPerSec, r.budget+bytesPerSec*now.Sub(r.at).Seconds())
	r.at = now
}

// tell writes how many lines were dropped, at most once in a while.
func (r *LogRing) tell(now time.Time) {
	if r.dropped == 0 || now.Sub(r.told) < tellDropped {
		return
	}
	b := fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", now.Format(time.RFC3339Nano), r.dropped)
	if r.offer(b) {
		r.dropped, r.told = 0, now
	}
}

// Dropped returns how many lines were dropped so far.
func (r *LogRing) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Close writes what waits.
func (r *LogRing) Close() {
	r.mu.Lock()
	r.closed = true
	close(r.lines)
	r.mu.Unlock()
	<-r.done
}

func (r *LogRing) offer(b []byte) bool {
	select {
	case r.lines <- b:
		return true
	default:
		return false
	}
}

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
