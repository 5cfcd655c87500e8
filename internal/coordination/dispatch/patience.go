package dispatch

import (
	"sync"
	"time"
)

// Policy of Patience.
const (
	repeatTimes = 2 // usual times to the first byte that are left for another upstream
	firstLeast  = 120 * time.Millisecond
	learnRate   = 0.05 // of one answer on the usual time
	budgetRate  = 0.08 // of requests that may be sent again because of silence
	budgetMax   = 12.0 // requests sent again in a row
)

// Patience decides when an upstream's silence is no longer usual; it is safe for concurrent use.
type Patience struct {
	mu     sync.Mutex
	usual  map[string]time.Duration // to the first byte, by service
	budget float64
}

// NewPatience returns a Patience that has learned nothing yet.
func NewPatience() *Patience {
	return &Patience{usual: map[string]time.Duration{}, budget: budgetMax}
}

// Learn takes the time to a first byte.
func (p *Patience) Learn(service string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = min(budgetMax, p.budget+budgetRate)
	u, ok := p.usual[service]
	if !ok {
		u = d
	}
	p.usual[service] = u + time.Duration(learnRate*float64(d-u))
}

// First returns how long a first byte is awaited when left is what remains until it is late: as long as another
// upstream can still be on time. It is false when none can.
func (p *Patience) First(service string, left time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := left - repeatTimes*p.usual[service]
	return d, d >= firstLeast
}

// Spend takes one repeat from the budget and reports whether there was one.
func (p *Patience) Spend() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget < 1 {
		return false
	}
	p.budget--
	return true
}
