package departure

import (
	"sync"
	"time"

	"snipetack/internal/coordination/roster"
)

const (
	// An upstream that is missing on the list for this long is forgotten. The list may lose an entry for some reads while the
	// upstream runs.
	forgetAfter = time.Minute
	maxLeaving  = 4096 // upstreams; beyond, those that announced it longest ago are forgotten first
)

// Table holds the upstreams that have announced that they leave, by id and incarnation; it is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	leaving map[string]*mark
}

// mark is what is known of an upstream that leaves.
type mark struct {
	born         int64 // start of the incarnation that announced it, as on the list; 0 when the list did not tell
	observedAt   time.Time
	missingSince time.Time // since when it is not on the list; zero while it is
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{leaving: map[string]*mark{}} }

// Observe records that an incarnation of an upstream leaves, and reports whether that was unknown.
func (t *Table) Observe(now time.Time, id string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.leaving[id]; m != nil && !m.replacedBy(born) {
		return false
	}
	if len(t.leaving) >= maxLeaving {
		t.forgetOldest()
	}
	t.leaving[id] = &mark{born: born, observedAt: now}
	return true
}

// Apply returns a list of upstreams on which those that leave are draining. It forgets those whose id has a new incarnation there,
// and those that have been missing for forgetAfter.
func (t *Table) Apply(now time.Time, l []roster.Upstream) []roster.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.leaving) == 0 {
		return l
	}
	out := make([]roster.Upstream, len(l))
	listed := map[string]bool{}
	for i, u := range l {
		out[i] = u
		m := t.leaving[u.ID]
		if m == nil {
			continue
		}
		if m.replacedBy(u.Born) {
			delete(t.leaving, u.ID)
			continue
		}
		listed[u.ID] = true
		out[i].Draining = true
	}
	for id, m := range t.leaving {
		switch {
		case listed[id]:
			m.missingSince = time.Time{}
		case m.missingSince.IsZero():
			m.missingSince = now
		case now.Sub(m.missingSince) > forgetAfter:
			delete(t.leaving, id)
		}
	}
	return out
}

// Len returns the number of upstreams that leave.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.leaving)
}

// replacedBy reports whether an incarnation with a start time is another than the one that leaves.
func (m *mark) replacedBy(born int64) bool {
	return m.born != 0 && born != 0 && m.born != born
}

func (t *Table) forgetOldest() {
	oldest := ""
	for id, m := range t.leaving {
		if oldest == "" || m.observedAt.Before(t.leaving[oldest].observedAt) {
			oldest = id
		}
	}
	delete(t.leaving, oldest)
}
