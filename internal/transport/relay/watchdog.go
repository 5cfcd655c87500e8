package relay

import (
	"context"
	"sync"
	"time"
)

// watchdog cancels an attempt when one of its waits takes longer than a limit. Its zero value never does.
type watchdog struct {
	limit  time.Duration      // 0 is none
	expire func() bool        // reports whether to cancel after a wait of limit; it must not use the watchdog
	again  time.Duration      // after which expire is called again when it returned false; 0 is never
	cancel context.CancelFunc // of the attempt

	mu      sync.Mutex
	timer   *time.Timer
	waiting bool
	until   time.Time     // when the current wait expires
	left    time.Duration // of the last wait, when it was stopped
	fired   bool
}

// start begins a wait.
func (w *watchdog) start() {
	w.wait(w.limit)
}

// resume continues the wait that stop has ended, with the time that was left of it.
func (w *watchdog) resume() {
	w.wait(w.left)
}

func (w *watchdog) wait(d time.Duration) {
	if w.limit <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = true
	w.until = time.Now().Add(d)
	if w.timer == nil {
		w.timer = time.AfterFunc(d, w.check)
		return
	}
	w.timer.Reset(d)
}

// stop ends a wait and reports whether the watchdog has cancelled the attempt. It does not cancel it after stop.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = false
	w.left = time.Until(w.until)
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.fired
}

func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waiting || w.fired || time.Now().Before(w.until) {
		return
	}
	if w.expire() {
		w.fired = true
		w.cancel()
		return
	}
	if w.again > 0 {
		w.until = time.Now().Add(w.again)
		w.timer.Reset(w.again)
	}
}
