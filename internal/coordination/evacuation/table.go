package evacuation

import (
	"slices"
	"sync"
	"time"

	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
)

// Table holds the evacuations that a VM knows; it is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	revision uint64
	list     []plan.Evacuation
	returned map[string]time.Time // when this VM learned that the evacuation of a data centre has ended
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{returned: map[string]time.Time{}} }

// Adopt takes over evacuations unless newer ones are known, and returns those that are new or have changed. A VM that missed an evacuation learns
// of its end only.
func (t *Table) Adopt(now time.Time, revision uint64, l []plan.Evacuation) []plan.Evacuation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.revision {
		return nil
	}
	var changed []plan.Evacuation
	for _, e := range l {
		if slices.Contains(t.list, e) {
			continue
		}
		changed = append(changed, e)
		if e.Ended {
			t.returned[e.Zone] = now
		} else {
			delete(t.returned, e.Zone)
		}
	}
	t.revision, t.list = revision, slices.Clone(l)
	return changed
}

// Known returns the evacuations and their revision, 0 before the first. The list must not be modified.
func (t *Table) Known() (revision uint64, l []plan.Evacuation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.list
}

// ReturnedAt returns when this VM learned that the last evacuation of a data centre has ended. It is zero when none has, or another has begun.
func (t *Table) ReturnedAt(zone string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.returned[zone]
}

// Apply returns a list of upstreams on which those of evacuated data centres are marked as such, and draining.
func (t *Table) Apply(l []roster.Upstream) []roster.Upstream {
	evacuated := map[string]bool{}
	_, known := t.Known()
	for _, e := range known {
		if !e.Ended {
			evacuated[e.Zone] = true
		}
	}
	if len(evacuated) == 0 {
		return l
	}
	out := slices.Clone(l)
	for i := range out {
		if evacuated[out[i].Zone] {
			out[i].Evacuated, out[i].Draining = true, true
		}
	}
	return out
}
