package fairness

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy of Shares.
const (
	memory       = 2500 * time.Millisecond // time constant of the use; half of what callers wait, so that what an account got before the requests that wait now were sent hardly counts
	othersExpiry = 4 * memory              // after which less than a fiftieth of the reported use is left
	levelExpiry  = 100 * time.Millisecond  // of the level, whose computation takes all accounts
	withinMargin = 0.875                   // of its share, below which an account counts as within it; accounts that ask for the same alternate around 1
	costWeight   = 0.05                    // of one request in the mean cost of a service
	minUse       = 1e-3                    // slot seconds; less counts as none
)

// Use is how much accounts got lately of services, in slot seconds with an exponential decay, by Key.
type Use map[uint32]float64

// Key identifies an account's use of a service in a Use.
func Key(service, account string) uint32 {
	return uint32(xxhash.Sum64String(service + "\x00" + account))
}

// Decay returns the fraction of a use that still counts after a time.
func Decay(d time.Duration) float64 { return math.Exp(-d.Seconds() / memory.Seconds()) }

// Shares knows what each account got of each service lately, and compares that with its share; it is safe for concurrent use.
//
// Accounts have shares of what all of them get, in proportion to their rate limits: the limit is what an account has been promised, so when the
// slots don't suffice each one gets the same part of its promise, and one that stays at its usual rate is served before one that uses up its limit.
// With equal shares, a large account at its usual rate would wait behind a small one that sends nine times its own.
type Shares struct {
	mu       sync.Mutex
	rates    map[string]float64 // limits in requests per second, by account
	usual    float64            // weight of an account without a limit
	services map[string]*service
	others   Use // of the other VMs
	othersAt time.Time
}

// service is what the accounts got of one service.
type service struct {
	own     map[string]*use // at this VM, by account
	weights map[uint32]float64
	cost    float64 // mean cost of a request in slot seconds
	level   float64 // use for each unit of weight, of all accounts with use together
	over    int     // accounts with more
	within  float64 // use of those with less
	levelAt time.Time
}

// use is a decaying sum.
type use struct {
	key   uint32
	value float64 // as of at
	at    time.Time
}

func (u *use) now(t time.Time) float64 { return u.value * Decay(t.Sub(u.at)) }

// New returns Shares without any use.
func New() *Shares {
	return &Shares{services: map[string]*service{}, usual: 1}
}

// SetAccounts replaces the accounts and their limits in requests per second; 0 is no limit, which counts as the mean of the others.
func (s *Shares) SetAccounts(rates map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rates, s.usual = rates, 1
	sum, n := 0.0, 0
	for _, r := range rates {
		if r > 0 {
			sum += r
			n++
		}
	}
	if n > 0 {
		s.usual = sum / float64(n)
	}
	for _, x := range s.services {
		x.weights, x.levelAt = nil, time.Time{}
	}
}

// SetOthers replaces the use that the other VMs report. While no report comes it decays, so that a VM without contact soon goes by its own.
func (s *Shares) SetOthers(now time.Time, u Use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others, s.othersAt = u, now
}

// Charge adds a cost to what an account got of a service at this VM. A negative cost takes back what was charged too much.
func (s *Shares) Charge(now time.Time, name, account string, cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.service(name)
	u := x.own[account]
	if u == nil {
		x.dropUnused(now)
		u = &use{key: Key(name, account)}
		x.own[account] = u
	}
	u.value, u.at = max(0, u.now(now)+cost.Seconds()), now
}

// Observe records the whole cost of a request that has ended.
func (s *Shares) Observe(name string, cost time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.service(name)
	if x.cost == 0 {
		x.cost = cost.Seconds()
	}
	x.cost += costWeight * (cost.Seconds() - x.cost)
}

// Own returns what the accounts got at this VM.
func (s *Shares) Own(now time.Time) Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := Use{}
	for _, x := range s.services {
		for _, u := range x.own {
			if v := u.now(now); v > minUse {
				m[u.key] += v
			}
		}
	}
	return m
}

// Standing returns what an account got of a service in relation to its share; above 1 it has more than that.
func (s *Shares) Standing(now time.Time, name, account string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.service(name)
	s.measure(now, name, x)
	if x.level <= 0 {
		return 0
	}
	return s.use(now, name, account, x) / s.weight(account) / x.level
}

// Within reports whether an account has got clearly less than its share of a service, so that its next request is due before all that others with more
// have waiting, at this VM or elsewhere.
func (s *Shares) Within(now time.Time, name, account string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.service(name)
	s.measure(now, name, x)
	return s.tag(now, name, account, x) < withinMargin*x.level
}

// WithinSlots returns how many slots of a service the accounts have taken on average that have got clearly less than their share.
func (s *Shares) WithinSlots(now time.Time, name string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.service(name)
	s.measure(now, name, x)
	return x.within / memory.Seconds()
}

// Over returns how many accounts have more than their share of a service, summed over the services.
func (s *Shares) Over(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, x := range s.services {
		s.measure(now, name, x)
		n += x.over
	}
	return n
}

// Line returns a function that gives each queued request of a service its start tag: what its account would have got, for its weight, when the request is
// served after those of the account for which the function was called before. The lowest tag is to be served next.
func (s *Shares) Line(now time.Time, name string) func(account string, cost time.Duration) float64 {
	ahead := map[string]float64{}
	return func(account string, cost time.Duration) float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		t, ok := ahead[account]
		x := s.service(name)
		if !ok {
			t = s.tag(now, name, account, x)
		}
		c := cost.Seconds()
		if c <= 0 {
			c = x.cost
		}
		ahead[account] = t + max(c, minUse)/s.weight(account)
		return t
	}
}

func (s *Shares) service(name string) *service {
	x := s.services[name]
	if x == nil {
		x = &service{own: map[string]*use{}}
		s.services[name] = x
	}
	return x
}

// weight returns the weight of an account's share.
func (s *Shares) weight(account string) float64 {
	if r := s.rates[account]; r > 0 {
		return r
	}
	return s.usual
}

// use returns what an account got of a service everywhere.
func (s *Shares) use(now time.Time, name, account string, x *service) float64 {
	v := 0.0
	k := uint32(0)
	if u := x.own[account]; u != nil {
		v, k = u.now(now), u.key
	} else {
		k = Key(name, account)
	}
	return v + s.othersUse(now, k)
}

// tag returns the start tag of an account's next request. One request of mean size is free: at a share of less than one slot, the request before would else
// hold up the next one that comes at the usual time.
func (s *Shares) tag(now time.Time, name, account string, x *service) float64 {
	return max(0, s.use(now, name, account, x)-x.cost) / s.weight(account)
}

// othersUse returns what the other VMs gave to the account and service of a key, as last reported.
func (s *Shares) othersUse(now time.Time, key uint32) float64 {
	d := now.Sub(s.othersAt)
	if len(s.others) == 0 || d > othersExpiry {
		return 0
	}
	return s.others[key] * Decay(d)
}

// measure computes the level of a service, unless that was done lately. Without a level there was no use, which the next request may change.
func (s *Shares) measure(now time.Time, name string, x *service) {
	if x.level > 0 && now.Sub(x.levelAt) < levelExpiry {
		return
	}
	x.levelAt = now
	if x.weights == nil {
		x.weights = make(map[uint32]float64, len(s.rates))
		for a := range s.rates {
			x.weights[Key(name, a)] = s.weight(a)
		}
	}
	all := make(map[uint32]float64, len(x.weights))
	for k := range x.weights {
		if v := s.othersUse(now, k); v > minUse {
			all[k] = v
		}
	}
	for a, u := range x.own {
		v := u.now(now)
		if _, ok := x.weights[u.key]; !ok { // of an account that the configuration doesn't have, or of requests without one
			x.weights[u.key] = s.weight(a)
			v += s.othersUse(now, u.key)
		}
		if v > minUse {
			all[u.key] += v
		}
	}
	sum, weight := 0.0, 0.0
	for k, v := range all {
		sum += v
		weight += x.weights[k]
	}
	x.level, x.over, x.within = 0, 0, 0
	if weight > 0 {
		x.level = sum / weight
	}
	for k, v := range all {
		switch due := x.level * x.weights[k]; {
		case v > due/withinMargin:
			x.over++
		case v < due*withinMargin:
			x.within += v
		}
	}
}

// dropUnused removes accounts without use once they are many.
func (x *service) dropUnused(now time.Time) {
	if len(x.own) < 2*len(x.weights)+64 {
		return
	}
	for a, u := range x.own {
		if u.now(now) <= minUse {
			delete(x.own, a)
		}
	}
}
