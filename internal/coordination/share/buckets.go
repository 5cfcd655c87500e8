package share

import (
	"math"
	"sync"
	"time"
)

// Time constant with which the demand estimate decays; it smooths requests over about this time. In a large fleet an entry VM reports only every few
// seconds, in which it has few requests of an account: with a shorter time shares go back and forth, and half of a limit is granted to nobody.
const (
	demandTimeConstant = 1500 * time.Millisecond
	demandTimePerEntry = 60 * time.Millisecond // at least, for each entry VM
)

// An entry VM that loses the owner has its part of the slack and of what its limit may be exceeded by at once. Where that is less than one request, as in a large fleet, it may begin with a
// whole one that it pays back from its share: with the probability that the owner admitted the account's requests lately. Otherwise 246 VMs
// admit 246 requests at once of an account that is over its limit.
const (
	admittedWeight = 0.25 // of the newest decision
	admittedStart  = 0.5  // before the first decision
)

// Limit is the rate limit of an account over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second; 0 means unlimited
	Burst float64 // bucket size in requests
}

// Buckets admits requests of accounts within this entry VM's shares, by token buckets; it is safe for concurrent use.
type Buckets struct {
	mu       sync.Mutex
	slack    float64 // requests by which the fleet may exceed a burst
	entries  int     // entry VMs that divide the slack
	smooth   float64 // time constant of the demand estimate in seconds
	even     float64 // fraction of each limit that is granted to this VM
	accounts map[string]*bucket
	expires  time.Time      // of the shares
	random   func() float64 // from 0 to 1
	contact  bool           // the owner has responded
	apart    bool           // requests were decided here since the owner's last response
	apartAt  time.Time      // from when on
	apartTo  time.Time      // until when requests are decided here, whether the owner responds or not
}

// bucket is the token bucket of one account on this VM.
type bucket struct {
	extra      float64 // fraction of the limit that is granted to this VM in addition to the even one
	level      float64 // requests that may be admitted now, as of refilledAt
	refilledAt time.Time
	demand     float64 // requests per second, as of decayedAt
	decayedAt  time.Time
	admitted   float64   // fraction of the requests that the owner admitted lately
	debt       float64   // of the next request, paid back from the share
	beganAt    time.Time // value of Buckets.apartAt for which the level was set
}

// NewBuckets returns Buckets that may exceed an account's burst by slack requests over the whole fleet. Random returns numbers from 0 to 1.
func NewBuckets(slack float64, random func() float64) *Buckets {
	return &Buckets{slack: slack, entries: 1, smooth: demandTimeConstant.Seconds(), accounts: map[string]*bucket{}, random: random}
}

// Take admits a request, or returns how long to wait until the next one can be admitted. after is 1 s while this VM
// has no share, or its share has expired.
func (b *Buckets) Take(now time.Time, account string, l Limit) (ok bool, after time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detach(now)
	b.expire(now)
	k := b.bucket(account, now)
	depth, rate := b.depth(k, l), l.Rate*b.share(k)
	k.level = min(depth, k.level+rate*max(0, now.Sub(k.refilledAt).Seconds()))
	k.refilledAt = now
	b.begin(k, l)
	if k.level >= 1 && !b.expired(now) {
		k.level -= 1 + k.debt
		k.debt = 0
		return true, 0
	}
	if rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - k.level) / rate * float64(time.Second))
}

// begin sets the level with which a bucket begins when the owner was lost: what it has saved while the owner admitted requests does not count.
func (b *Buckets) begin(k *bucket, l Limit) {
	if !b.contact || k.beganAt.Equal(b.apartAt) {
		return
	}
	k.beganAt, k.debt = b.apartAt, 0
	part := (b.slack + startAllowance(l)) / float64(b.entries)
	if part >= 1 {
		k.level = min(k.level, part)
		return
	}
	if k.level >= 1 && b.random() < k.admitted {
		k.level, k.debt = 1, 1-part
		return
	}
	k.level = min(k.level, part)
}

// Count adds a request to an account's demand; the caller counts every request, whoever admits it.
func (b *Buckets) Count(now time.Time, account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(account, now)
	k.decay(now, b.smooth)
	k.demand += 1 / b.smooth
}

// DecidedByOwner records that the owner has admitted or refused a request. The local bucket then holds at most one
// request, so that losing the owner does not allow a second burst.
func (b *Buckets) DecidedByOwner(now time.Time, account string, admitted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(account, now)
	k.level, k.refilledAt = min(k.level, 1), now
	k.admitted *= 1 - admittedWeight
	if admitted {
		k.admitted += admittedWeight
	}
}

// Detach records that the owner was not reached: requests are decided here, at least until a time.
func (b *Buckets) Detach(now, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detach(now)
	b.apartTo = until
}

func (b *Buckets) detach(now time.Time) {
	if !b.apart {
		b.apart, b.apartAt = true, now
	}
}

// InContact records a response of the owner, which admits the requests from then on.
func (b *Buckets) InContact(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !now.Before(b.apartTo) {
		b.contact, b.apart = true, false
	}
}

// Apart reports whether this VM has used its own shares since the owner's last response.
func (b *Buckets) Apart() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.apart
}

// Retain drops accounts without a limit; entries is the number of entry VMs.
func (b *Buckets) Retain(limits map[string]Limit, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, entries)
	b.smooth = max(demandTimeConstant, time.Duration(entries)*demandTimePerEntry).Seconds()
	for a := range b.accounts {
		if _, ok := limits[a]; !ok {
			delete(b.accounts, a)
		}
	}
}

// Adopt puts a new even share and the extra shares that change in force. A bucket's level rises and falls with its depth. All shares expire
// shareLease after this VM sent the report that requested them.
func (b *Buckets) Adopt(now, sent time.Time, g Grant, limits map[string]Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.expires = sent.Add(shareLease)
	for a := range g.Extra {
		b.bucket(a, now)
	}
	even := b.even
	for a, k := range b.accounts {
		s, changed := g.Extra[a]
		if !changed && g.Even == even {
			continue
		}
		if !changed {
			s = k.extra
		}
		l := limits[a]
		b.even = even
		before := b.depth(k, l)
		k.level = min(before, k.level+l.Rate*b.share(k)*max(0, now.Sub(k.refilledAt).Seconds()))
		k.refilledAt = now
		k.extra, b.even = s, g.Even
		k.level = min(max(0, k.level+b.depth(k, l)-before), b.depth(k, l))
	}
	b.even = g.Even
}

// expired reports whether the shares have expired.
func (b *Buckets) expired(now time.Time) bool { return !b.expires.IsZero() && !now.Before(b.expires) }

// expire gives the shares up once they have expired: the owner may grant them to others.
func (b *Buckets) expire(now time.Time) {
	if !b.expired(now) {
		return
	}
	b.even = 0
	for _, k := range b.accounts {
		k.extra, k.level = 0, 0
	}
}

// Grant returns the shares in force.
func (b *Buckets) Grant(now time.Time) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	g := Grant{Even: b.even, Extra: map[string]float64{}}
	for a, k := range b.accounts {
		if k.extra > 0 {
			g.Extra[a] = k.extra
		}
	}
	return g
}

// share returns the fraction of an account's limit that this VM has.
func (b *Buckets) share(k *bucket) float64 { return b.even + k.extra }

// Demand returns the recent requests per second, by account; negligible ones are left out.
func (b *Buckets) Demand(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]float64{}
	for a, k := range b.accounts {
		k.decay(now, b.smooth)
		if k.demand > 0.01 {
			m[a] = k.demand
		}
	}
	return m
}

// depth returns how many requests a bucket holds: its share of the burst, but at least its part of the slack or one request.
func (b *Buckets) depth(k *bucket, l Limit) float64 {
	return max(l.Burst*b.share(k), min(l.Burst, b.slack/float64(b.entries)), min(l.Burst, 1))
}

// bucket returns the bucket of an account; a new one has no share and holds one request.
func (b *Buckets) bucket(account string, now time.Time) *bucket {
	k := b.accounts[account]
	if k == nil {
		k = &bucket{refilledAt: now, decayedAt: now, level: 1, admitted: admittedStart}
		b.accounts[account] = k
	}
	return k
}

// decay reduces the demand for the time passed, by a time constant in seconds.
func (k *bucket) decay(now time.Time, constant float64) {
	k.demand *= math.Exp(-max(0, now.Sub(k.decayedAt).Seconds()) / constant)
	k.decayedAt = now
}
