package share

import (
	"sync"
	"time"
)

// demandTime is the time constant of the demand estimate.
const demandTime = 1500 * time.Millisecond

// Limit of an account over the whole fleet.
type Limit struct {
	Rate  float64 // requests a second; 0 is no limit
	Burst float64 // requests
}

// Buckets admits requests of accounts within this entry's shares; it is safe for concurrent use.
type Buckets struct {
	mu       sync.Mutex
	slack    float64 // requests by which the fleet may exceed a burst
	entries  int     // VMs that share the slack
	accounts map[string]*bucket
}

// bucket is one account's part here.
type bucket struct {
	share  float64
	level  float64 // requests that may go now
	at     time.Time
	demand float64 // requests a second
	seen   time.Time
}

// NewBuckets returns Buckets that may exceed an account's burst by slack requests over the whole fleet.
func NewBuckets(slack float64) *Buckets {
	return &Buckets{slack: slack, entries: 1, accounts: map[string]*bucket{}}
}

// Take admits a request, or returns after how long there will be room.
func (b *Buckets) Take(now time.Time, account string, l Limit) (ok bool, after time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(account, now)
	room, rate := b.depth(k, l), l.Rate*k.share
	k.level = min(room, k.level+rate*max(0, now.Sub(k.at).Seconds()))
	k.at = now
	if k.level >= 1 {
		k.level--
		return true, 0
	}
	if rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - k.level) / rate * float64(time.Second))
}

// Count adds a request to an account's demand.
func (b *Buckets) Count(now time.Time, account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(account, now).count(now)
}

// Spent notes that the owner has admitted a request, so that nothing is saved up here meanwhile.
func (b *Buckets) Spent(now time.Time, account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(account, now)
	k.level, k.at = min(k.level, 1), now
}

// Adopt puts new shares in force; entries is the number of VMs that share.
func (b *Buckets) Adopt(now time.Time, shares map[string]float64, limits map[string]Limit, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, entries)
	for a, s := range shares {
		k := b.bucket(a, now)
		l := limits[a]
		before := b.depth(k, l)
		k.level = min(before, k.level+l.Rate*k.share*max(0, now.Sub(k.at).Seconds()))
		k.at = now
		k.share = s
		k.level = min(max(0, k.level+b.depth(k, l)-before), b.depth(k, l))
	}
	for a := range b.accounts {
		if _, ok := limits[a]; !ok {
			delete(b.accounts, a)
		}
	}
}

// Shares returns the shares in force, by account.
func (b *Buckets) Shares() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]float64{}
	for a, k := range b.accounts {
		if k.share > 0 {
			m[a] = k.share
		}
	}
	return m
}

// Demand returns the requests a second of late, by account.
func (b *Buckets) Demand(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := map[string]float64{}
	for a, k := range b.accounts {
		k.decay(now)
		if k.demand > 0.01 {
			m[a] = k.demand
		}
	}
	return m
}

// depth returns how many requests may go at once.
func (b *Buckets) depth(k *bucket, l Limit) float64 {
	return max(l.Burst*k.share, min(l.Burst, b.slack/float64(b.entries)), min(l.Burst, 1))
}

func (b *Buckets) bucket(account string, now time.Time) *bucket {
	k := b.accounts[account]
	if k == nil {
		k = &bucket{at: now, seen: now, level: 1}
		b.accounts[account] = k
	}
	return k
}

// count adds one request to the demand.
func (k *bucket) count(now time.Time) {
	k.decay(now)
	k.demand += 1 / demandTime.Seconds()
}

func (k *bucket) decay(now time.Time) {
	d := max(0, now.Sub(k.seen).Seconds())
	k.demand *= max(0, 1-d/demandTime.Seconds())
	k.seen = now
}
