package restart

import (
	"sync"
	"time"
)

const (
	listLag   = time.Second            // by which the list may lag behind an upstream that serves again
	settle    = 100 * time.Millisecond // by which a break may be noticed late
	maxDoubt  = 10 * time.Second       // after which an upstream that nobody has used since is taken as listed
	maxDoubts = 4096                   // upstreams; no further one is doubted beyond
)

// Table holds the upstreams in doubt; it is safe for concurrent use.
type Table struct {
	onBack func(now time.Time, id string)

	mu     sync.Mutex
	doubts map[string]*doubt // by upstream id
}

// doubt is an upstream whose connections broke.
type doubt struct {
	brokeAt time.Time // the last time
	backAt  time.Time // when it responded to a request that was sent since; zero before
}

// New returns a Table without doubts. It calls onBack, which must not block, when an upstream whose connections broke responds again.
func New(onBack func(now time.Time, id string)) *Table {
	return &Table{onBack: onBack, doubts: map[string]*doubt{}}
}

// Broke records that the connection of a request to an upstream ended early, or could not be made.
func (t *Table) Broke(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.doubts[id] == nil && len(t.doubts) >= maxDoubts {
		return
	}
	t.doubts[id] = &doubt{brokeAt: now}
}

// Responded records bytes of the response to a request that was sent to an upstream at a time. An upstream that goes on with an earlier
// response has not started again.
func (t *Table) Responded(now time.Time, id string, sent time.Time) {
	if t.back(now, id, sent) {
		t.onBack(now, id)
	}
}

// back records a response and reports whether the upstream is back with it.
func (t *Table) back(now time.Time, id string, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.doubts[id]
	switch {
	case d == nil:
	case !sent.Before(d.brokeAt):
		if d.backAt.IsZero() {
			d.backAt = now
			return true
		}
	case sent.Before(d.brokeAt.Add(-settle)) && now.Sub(d.brokeAt) > settle:
		delete(t.doubts, id)
	}
	return false
}

// Listed records when the list in use was read.
func (t *Table) Listed(read time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, d := range t.doubts {
		shown := d.backAt
		if shown.IsZero() {
			shown = d.brokeAt.Add(maxDoubt)
		}
		if !read.Before(shown.Add(listLag)) {
			delete(t.doubts, id)
		}
	}
}

// Doubtful reports whether an upstream may have started again since the list in use was read.
func (t *Table) Doubtful(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.doubts[id] != nil
}
