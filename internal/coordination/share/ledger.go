package share

import "time"

// A new owner does not know what the previous one admitted, so an account's bucket starts with only startFraction of what
// its limit allows in startWindow, plus the slack.
const (
	startFraction = 0.05
	startWindow   = 5 * time.Second
	minWaitRate   = 0.1              // fraction of the rate with which a wait is told at least: the owner withholds more only for a few seconds
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

// startAllowance returns by how much an account may once exceed its limit when the owner is lost or a new one begins.
func startAllowance(l Limit) float64 { return startFraction * (l.Rate*startWindow.Seconds() + l.Burst) }

// NewLedger returns the Ledger of a new owner. After a change of owner, an account may once exceed its burst by slack
// requests over the whole fleet.
func NewLedger(slack float64) *Ledger {
	return &Ledger{slack: slack, accounts: map[string]*account{}}
}

// Take admits up to n requests of an account. When it admits fewer, after is how long to wait for the next one.
//
// Withheld is the fraction of the limit that entry VMs out of reach may use on their own. The bucket refills at the rest of the rate up to
// the rest of the burst. What it holds beyond that drains at the rate at which their buckets fill, so that all together hold one burst; as much as
// a new owner starts with stays, which is within the slack.
func (l *Ledger) Take(now time.Time, name string, n int, limit Limit, withheld float64) (granted int, after time.Duration) {
	if limit.Rate <= 0 {
		return n, 0
	}
	start := startAllowance(limit) + l.slack
	a := l.accounts[name]
	if a == nil {
		a = &account{level: start, refilledAt: now}
		l.accounts[name] = a
	}
	withheld = min(1, max(0, withheld))
	d := max(0, now.Sub(a.refilledAt).Seconds())
	rate, depth := limit.Rate*(1-withheld), max(1, limit.Burst*(1-withheld))
	if a.level > depth {
		a.level = max(depth, min(a.level, max(start, a.level-limit.Rate*withheld*d)))
	} else {
		a.level = min(depth, a.level+rate*d)
	}
	a.level = min(a.level, max(1, limit.Burst))
	a.refilledAt = now
	granted = min(n, int(a.level))
	a.level -= float64(granted)
	if granted < n {
		after = time.Duration((1-(a.level-float64(int(a.level))))/max(rate, minWaitRate*limit.Rate)*float64(time.Second)) + rounding
	}
	return granted, after
}
