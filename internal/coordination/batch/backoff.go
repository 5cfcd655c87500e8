package batch

import (
	"math/rand/v2"
	"time"
)

// Backoff returns the delay before the attempt after n failures: exponential, capped, with the upper half random.
func Backoff(s Settings, n int, r *rand.Rand) time.Duration {
	d := s.BackoffMin << min(max(n-1, 0), 20)
	if d > s.BackoffMax || d <= 0 {
		d = s.BackoffMax
	}
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
