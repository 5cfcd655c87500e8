package batch

import (
	"sync"
	"time"
)

// holdTime is how long the start of a job's items is blocked if the cancel that follows is never committed.
const holdTime = 5 * time.Second

// holds are the jobs whose items this VM must not start before a time; it is safe for concurrent use.
type holds struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newHolds() *holds {
	return &holds{until: map[string]time.Time{}}
}

// add blocks the start of a job's items for holdTime and removes expired holds.
func (h *holds) add(job string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for j, t := range h.until {
		if now.After(t) {
			delete(h.until, j)
		}
	}
	h.until[job] = now.Add(holdTime)
}

func (h *holds) has(job string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.until[job]
	return ok && time.Now().Before(t)
}
