package share

import "time"

// A new owner does not know what the previous one admitted, so an account's bucket starts with only startFraction of what
// its limit allows in startWindow, plus the slack.
const (
	startFraction = 0.05
	startWindow   = 5 * time.Second
	rounding      = time.Millisecond // added to a wait, so that a caller that retries exactly then finds a whole request in the bucket
)

// Ledger admits requests of accounts for the whole fleet; it is not safe for concurrent use.
type Ledger struct {
	slack    float64 // requests by which the fleet may exceed a burst
	accounts map[string]*account
}

// account is the token bucket of one account.
type account struct {
	level      float64 // requests that may be admitted now, as of refilledAt
	refilledAt time.Time
}

// NewLedger returns the Ledger of a new owner. After a change of owner, an account may once exceed its burst by slack
// requests over the whole fleet.
func NewLedger(slack float64) *Ledger {
	return &Ledger{slack: slack, accounts: map[string]*account{}}
}

// Take admits up to n requests of an account. When it admits fewer, after is how long to wait for the next one.
func (l *Ledger) Take(now time.Time, name string, n int, limit Limit) (granted int, after time.Duration) {
	if limit.Rate <= 0 {
		return n, 0
	}
	a := l.accounts[name]
	if a == nil {
		start := startFraction*(limit.Rate*startWindow.Seconds()+limit.Burst) + l.slack
		a = &account{level: start, refilledAt: now}
		l.accounts[name] = a
	}
	a.level = min(max(1, limit.Burst), a.level+limit.Rate*max(0, now.Sub(a.refilledAt).Seconds()))
	a.refilledAt = now
	granted = min(n, int(a.level))
	a.level -= float64(granted)
	if granted < n {
		after = time.Duration((1-(a.level-float64(int(a.level))))/limit.Rate*float64(time.Second)) + rounding
	}
	return granted, after
}
