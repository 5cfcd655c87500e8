package batch

import (
	"sync"
	"time"
)

// holdTime is how long a job is held back if the cancel that it was held for is never committed.
const holdTime = 5 * time.Second

// holds are the jobs of which this VM starts no items until a moment; it is safe for concurrent use.
type holds struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newHolds() *holds {
	return &holds{until: map[string]time.Time{}}
}

// add holds a job back for holdTime and removes expired holds.
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
