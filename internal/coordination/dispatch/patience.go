package dispatch

import (
	"sync"
	"time"
)

// Policy of a RetryPolicy.
const (
	unusualDeviations   = 4                      // above the mean time to the first byte, from which an attempt is taken for lost
	soundPause          = 200 * time.Millisecond // a sound upstream may pause for as long, beyond its mean time to the first byte
	newFirstByteTimeout = 500 * time.Millisecond // of a service without any response so far
	learnRate           = 0.05                   // weight of one response in the moving averages
	retryBudgetRate     = 0.08                   // retries that each response adds to the budget
	retryBudgetMax      = 12.0                   // max retries in the budget; also its initial value
)

// RetryPolicy decides how long an attempt may wait for its first byte and how many attempts may be retried at another
// upstream; it is safe for concurrent use.
//
// The budget keeps retries to a fraction of all requests, so that slow upstreams are not loaded further.
type RetryPolicy struct {
	mu          sync.Mutex
	firstByte   map[string]runTime // time to the first byte, by service
	retryBudget float64
}

// NewRetryPolicy returns a RetryPolicy without observations and with a full budget.
func NewRetryPolicy() *RetryPolicy {
	return &RetryPolicy{firstByte: map[string]runTime{}, retryBudget: retryBudgetMax}
}

// Observe records the time to the first byte of a response, and adds to the retry budget.
func (p *RetryPolicy) Observe(service string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget = min(retryBudgetMax, p.retryBudget+retryBudgetRate)
	u, ok := p.firstByte[service]
	if !ok {
		u.mean = d
	}
	off := d - u.mean
	u.mean += time.Duration(learnRate * float64(off))
	u.deviation += time.Duration(learnRate * float64(max(off, -off)-u.deviation))
	p.firstByte[service] = u
}

// FirstByte returns the usual time to the first byte of a service, or 0 when no response came so far.
func (p *RetryPolicy) FirstByte(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstByte[service].mean
}

// FirstByteTimeout returns after which time without a first byte an attempt is lost, compared with the usual one of the service. left is the
// time in which another attempt must begin to be of use to the caller; it returns false when that is shorter.
func (p *RetryPolicy) FirstByteTimeout(service string, left time.Duration) (time.Duration, bool) {
	return p.FirstByteTimeoutAt(service, 1, 0, left)
}

// FirstByteTimeoutAt is FirstByteTimeout at an upstream where work takes a multiple of the usual time, after a wait.
func (p *RetryPolicy) FirstByteTimeoutAt(service string, factor float64, wait, left time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.firstByte[service]
	d := wait + time.Duration(factor*float64(u.mean)) + max(soundPause, time.Duration(factor*unusualDeviations*float64(u.deviation)))
	if !ok {
		d = newFirstByteTimeout
	}
	return d, d <= left
}

// TakeRetry takes one retry from the budget and reports whether there was one.
func (p *RetryPolicy) TakeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryBudget < 1 {
		return false
	}
	p.retryBudget--
	return true
}
