package routing

import "time"

// Parameters of a retry budget.
const (
	retryShare = 0.2  // retries earned by each first attempt
	retryRate  = 1.0  // retries per second that are allowed in addition
	retryBurst = 10.0 // max retries that can be saved up, and so be spent in one burst
)

// RetryBudget is a token bucket that bounds the retries of a service, so that they can't multiply the load during a
// fault.
type RetryBudget struct {
	tokens   float64
	filledAt time.Time
}

// NewRetryBudget returns a full RetryBudget.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: retryBurst, filledAt: now}
}

// AddFirstAttempt counts a first attempt, which earns retryShare of a retry.
func (b *RetryBudget) AddFirstAttempt() {
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Take reports whether a retry is allowed, and if so takes it from the budget.
func (b *RetryBudget) Take(now time.Time) bool {
	b.tokens = min(retryBurst, b.tokens+now.Sub(b.filledAt).Seconds()*retryRate)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
