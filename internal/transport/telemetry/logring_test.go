package telemetry

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// output collects what is written to the log. Writes block until blocked is closed.
type output struct {
	mu      sync.Mutex
	b       bytes.Buffer
	blocked chan struct{} // nil: writes don't block
}

func (o *output) Write(b []byte) (int, error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(b)
}

// Guards against lines about single requests that use up the budget, so that lines about the fleet and warnings are lost:
// it writes far more lines about requests than the budget allows.
func TestLogKeepsLinesAboutTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{}
		r := NewLogRing(o)
		l := slog.New(NewRequestLogLimiter(slog.NewJSONHandler(r, nil), r)).With("vm", "v")
		for range 50 {
			for range 200 {
				l.Info("request placed", "request", "id", "upstream", "u")
			}
			l.Info("membership change", "group", 1)
			l.Warn("attempt failed", "request", "id")
			time.Sleep(100 * time.Millisecond)
		}
		r.Close()
		s := o.b.String()
		require.Equal(t, 50, strings.Count(s, "membership change"))
		require.Equal(t, 50, strings.Count(s, "attempt failed"))
		require.LessOrEqual(t, strings.Count(s, "log lines dropped"), 6, "a line a second counts what was dropped")
		require.Positive(t, r.Dropped())
		require.LessOrEqual(t, len(s), 6*bytesPerSec)
	})
}

// Guards against a slow or blocked reader of the log that stalls the program.
func TestLogNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &output{blocked: make(chan struct{})}
		r := NewLogRing(o)
		l := slog.New(slog.NewJSONHandler(r, nil))
		began := time.Now()
		for range 2 * maxQueuedLines {
			l.Info("line")
			time.Sleep(2 * time.Millisecond)
		}
		require.Equal(t, 2*maxQueuedLines*2*time.Millisecond, time.Since(began))
		require.Positive(t, r.Dropped())
		close(o.blocked)
		r.Close()
	})
}
