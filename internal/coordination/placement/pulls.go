package placement

import "time"

// pullLimiter is a token bucket that keeps the pulls of the whole fleet within the weight store's rate and burst.
//
// A load whose outcome is unknown may start at any moment. Its bytes stay reserved, and the bucket refills only as long
// as tokens and reserved bytes together don't exceed the burst. Hence in any window of w seconds at most
// rate*w + burst bytes start to be pulled.
type pullLimiter struct {
	rate     float64 // bytes per second
	burst    float64 // bytes
	tokens   float64 // bytes that may be granted now
	filledAt time.Time
	reserved float64 // bytes of loads that may still start
}

// newPullLimiter returns an empty bucket, so that the pulls of a new leader and those that the former one granted stay
// within the burst together; pendingBytes is the size of the loads that the former one left pending.
func newPullLimiter(s Settings, now time.Time, pendingBytes float64) *pullLimiter {
	return &pullLimiter{rate: s.PullRate, burst: s.PullBurst, filledAt: now, reserved: pendingBytes}
}

func (p *pullLimiter) refill(now time.Time) {
	if d := now.Sub(p.filledAt).Seconds(); d > 0 {
		p.tokens = min(p.tokens+d*p.rate, max(0, p.burst-p.reserved))
		p.filledAt = now
	}
}

// take takes the tokens for a load and reserves its bytes. It reports false if there are too few tokens.
func (p *pullLimiter) take(now time.Time, bytes int64) bool {
	p.refill(now)
	if p.tokens < float64(bytes) {
		return false
	}
	p.tokens -= float64(bytes)
	p.reserved += float64(bytes)
	return true
}

// release ends the reservation of a load that can no longer start.
func (p *pullLimiter) release(now time.Time, bytes int64) {
	p.refill(now)
	p.reserved -= float64(bytes)
}
