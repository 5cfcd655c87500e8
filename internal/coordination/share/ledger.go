package share

import "time"

// startPart of what a limit allows in startWindow is there for a new owner, which does not know what the one before gave.
const (
	startPart   = 0.05
	startWindow = 5 * time.Second
	rounding    = time.Millisecond // so that a caller who comes back in time finds a whole request's room
)

// Ledger admits requests of accounts for the whole fleet; it is not safe for concurrent use.
type Ledger struct {
	slack    float64 // requests by which the fleet may exceed a burst
	accounts map[string]*account
}

type account struct {
	level float64 // requests that may go now
	at    time.Time
}

// NewLedger returns a Ledger of a new owner, which may exceed a burst by slack requests.
func NewLedger(slack float64) *Ledger {
	return &Ledger{slack: slack, accounts: map[string]*account{}}
}

// Take admits up to n requests of an account, and returns after how long there will be room for one more.
func (l *Ledger) Take(now time.Time, name string, n int, limit Limit) (granted int, after time.Duration) {
	if limit.Rate <= 0 {
		return n, 0
	}
	a := l.accounts[name]
	if a == nil {
		start := startPart*(limit.Rate*startWindow.Seconds()+limit.Burst) + l.slack
		a = &account{level: start, at: now}
		l.accounts[name] = a
	}
	a.level = min(max(1, limit.Burst), a.level+limit.Rate*max(0, now.Sub(a.at).Seconds()))
	a.at = now
	granted = min(n, int(a.level))
	a.level -= float64(granted)
	if granted < n {
		after = time.Duration((1-(a.level-float64(int(a.level))))/limit.Rate*float64(time.Second)) + rounding
	}
	return granted, after
}
