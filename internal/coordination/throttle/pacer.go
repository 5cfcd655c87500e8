package throttle

import (
	"sync"
	"time"
)

// Pacer admits requests to limited upstreams on one VM without the Ledger; it is safe for concurrent use.
//
// Each VM sends at random times, on average an even part of the limit apart. Nothing is saved up: the first request after a pause
// waits, too, as all VMs might send one at the same time.
type Pacer struct {
	random func() float64 // from 0 to 1

	mu   sync.Mutex
	next map[string]time.Time // from when on a request may be sent, by upstream
}

const (
	validTime     = 500 * time.Millisecond // for which a VM may use its turn; afterwards it draws another one
	pacedFraction = 0.5                    // of a limit; turns of many VMs come together by chance
	coldFraction  = 0.1                    // of the rate of a cold upstream, as the ledger may grant the whole rate to VMs that reach it; with 0.2 a second came to 30 requests of 30.5
)

// NewPacer returns a Pacer that draws its turns by random, which returns numbers from 0 to 1.
func NewPacer(random func() float64) *Pacer {
	return &Pacer{random: random, next: map[string]time.Time{}}
}

// Take admits a request to an upstream whose limit is divided among so many VMs, or returns how long to wait until one may be
// admitted.
func (p *Pacer) Take(now time.Time, l Limit, vms int) (ok bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fraction := pacedFraction
	if l.Cold {
		fraction = coldFraction
	}
	interval := float64(max(1, vms)) / (fraction * max(minRate, l.Rate)) * float64(time.Second)
	next, known := p.next[l.Upstream]
	switch {
	case !known || now.Sub(next) > validTime:
		next = now.Add(time.Duration(p.random() * interval))
	case !now.Before(next):
		p.next[l.Upstream] = now.Add(time.Duration((0.5 + p.random()) * interval))
		return true, 0
	}
	p.next[l.Upstream] = next
	p.expire(now)
	return false, min(maxWait, next.Sub(now)+rounding)
}

// expire forgets upstreams for which no request came for long.
func (p *Pacer) expire(now time.Time) {
	for u, t := range p.next {
		if now.Sub(t) > ledgerMemory {
			delete(p.next, u)
		}
	}
}
