package throttle

import (
	"sync"
	"time"
)

// reportRefresh is the time after which a limit that is named again is reported again, since a report may be lost.
const reportRefresh = time.Second

// Limit is the rate that an upstream named in a response.
type Limit struct {
	Upstream string        // id
	Rate     float64       // requests per second from all VMs together; 0 when the response named none
	Age      time.Duration // of the response
	Cold     bool          // Rate is that of a cold upstream, which the VM knows without a response
}

// Table holds the newest limit of each upstream that has named one; it is safe for concurrent use.
type Table struct {
	onChange func(limits map[string]float64)

	mu     sync.Mutex
	limits map[string]*known
}

// known is what a VM knows of an upstream's limit.
type known struct {
	rate       float64
	at         time.Time // when the response arrived
	reportedAt time.Time // zero when it has to be reported
}

// NewTable returns an empty Table. It calls onChange, which must not block, with all limits in force when one has changed.
func NewTable(onChange func(limits map[string]float64)) *Table {
	return &Table{onChange: onChange, limits: map[string]*known{}}
}

// Observe records what a response named and reports whether that changes the upstream's limit. A response without a limit ends it.
func (t *Table) Observe(upstream string, rate float64) bool {
	return t.update(upstream, rate, time.Now(), true)
}

// Adopt takes over what other VMs know, where it is newer.
func (t *Table) Adopt(l []Limit) {
	now := time.Now()
	for _, x := range l {
		t.update(x.Upstream, x.Rate, now.Add(-x.Age), false)
	}
}

// Get returns an upstream's limit, or false when it has none.
func (t *Table) Get(upstream string) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.limits[upstream]
	if k == nil || k.rate <= 0 {
		return Limit{}, false
	}
	return Limit{Upstream: upstream, Rate: k.rate, Age: time.Since(k.at)}, true
}

// InForce returns the limits in force in requests per second, by upstream id.
func (t *Table) InForce() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce()
}

// Len returns the number of upstreams with a limit.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inForce())
}

// TakeChanged returns the limits that this VM has observed and not reported since, and counts them as reported.
func (t *Table) TakeChanged() []Limit {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []Limit
	for u, k := range t.limits {
		if k.reportedAt.IsZero() {
			k.reportedAt = now
			l = append(l, Limit{Upstream: u, Rate: k.rate, Age: now.Sub(k.at)})
		}
	}
	return l
}

// ReportAll counts all limits as not reported, for a new leader.
func (t *Table) ReportAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.limits {
		k.reportedAt = time.Time{}
	}
}

// Retain forgets the limits of upstreams that are not on the list any more.
func (t *Table) Retain(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for u := range t.limits {
		if !listed[u] {
			delete(t.limits, u)
		}
	}
}

// update replaces an upstream's limit by a newer one and reports whether its rate has changed.
func (t *Table) update(upstream string, rate float64, at time.Time, observed bool) bool {
	t.mu.Lock()
	k := t.limits[upstream]
	if k == nil {
		if rate <= 0 {
			t.mu.Unlock()
			return false
		}
		k = &known{}
		t.limits[upstream] = k
	}
	if !at.After(k.at) {
		t.mu.Unlock()
		return false
	}
	changed := rate != k.rate
	k.rate, k.at = rate, at
	switch {
	case !observed:
		k.reportedAt = at
	case changed || at.Sub(k.reportedAt) > reportRefresh:
		k.reportedAt = time.Time{}
	}
	l := t.inForce()
	t.mu.Unlock()
	if changed {
		t.onChange(l)
	}
	return changed
}

func (t *Table) inForce() map[string]float64 {
	l := map[string]float64{}
	for u, k := range t.limits {
		if k.rate > 0 {
			l[u] = k.rate
		}
	}
	return l
}
