package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// Table holds what one VM knows about all upstreams and chooses among them by a policy. It is not safe for concurrent
// use.
type Table[P Policy] struct {
	policy     P
	dataCentre string
	rand       *rand.Rand
	states     map[string]*state
	budgets    map[string]*RetryBudget
}

// NewTable returns a Table for a VM in a data centre; seed drives the random choices.
func NewTable[P Policy](p P, dataCentre string, seed uint64) *Table[P] {
	return &Table[P]{
		policy:     p,
		dataCentre: dataCentre,
		rand:       rand.New(rand.NewPCG(seed, 0)),
		states:     map[string]*state{},
		budgets:    map[string]*RetryBudget{},
	}
}

// Choose returns an upstream and the policy's reason, and counts the request as in flight there until Done. If no
// upstream is usable, it returns a result.Failure with the code UpstreamNone.
func (t *Table[P]) Choose(now time.Time, l []catalog.Upstream, q Request) (catalog.Upstream, string, error) {
	usable := t.usable(now, l, q)
	if len(usable) == 0 {
		return catalog.Upstream{}, "", result.New(result.UpstreamNone, "service %s has no usable upstream", q.Service).After(time.Second)
	}
	usable = t.belowLimit(now, usable)
	c := make([]Candidate, len(usable))
	for i, u := range usable {
		c[i] = t.candidate(now, u, q.Blocks)
	}
	i, reason := t.policy.Pick(c, t.rand)
	u := usable[i]
	s := t.state(now, u.Name)
	s.sent(now)
	s.prefixes.addSent(q.Blocks)
	if len(q.Tried) == 0 {
		t.budget(now, q.Service).AddFirstAttempt()
	}
	return u, reason, nil
}

// Done takes the outcome of an attempt, which no longer counts as in flight.
func (t *Table[P]) Done(now time.Time, upstream string, r Report) {
	t.state(now, upstream).done(now, r)
}

// Retry reports whether a request to a service may be retried, and if so takes the retry from the service's budget.
func (t *Table[P]) Retry(now time.Time, service string) bool {
	return t.budget(now, service).Take(now)
}

// Load takes an upstream's load report.
func (t *Table[P]) Load(now time.Time, upstream string, l Load) {
	t.state(now, upstream).report(now, l)
}

// Unreachable records that an upstream's load report could not be fetched; the next report clears it.
func (t *Table[P]) Unreachable(now time.Time, upstream string) {
	t.state(now, upstream).unreachable = true
}

// Cache takes cache events of an upstream, in ascending order of their numbers.
func (t *Table[P]) Cache(now time.Time, upstream string, l []CacheEvent) {
	t.state(now, upstream).prefixes.apply(l)
}

// LastCacheEvent returns the number of the last cache event taken from an upstream, or 0.
func (t *Table[P]) LastCacheEvent(now time.Time, upstream string) uint64 {
	return t.state(now, upstream).prefixes.lastEvent
}

// SetOthersInFlight takes what another VM has in flight at each upstream; it replaces that VM's earlier report.
func (t *Table[P]) SetOthersInFlight(now time.Time, vm string, inFlight map[string]int) {
	for n, s := range t.states {
		if inFlight[n] == 0 {
			delete(s.others, vm)
		}
	}
	for n, c := range inFlight {
		if c > 0 {
			t.state(now, n).others[vm] = reportedInFlight{n: c, at: now}
		}
	}
}

// InFlight returns what this VM has in flight at each upstream, without those that have nothing.
func (t *Table[P]) InFlight() map[string]int {
	m := map[string]int{}
	for n, s := range t.states {
		if s.inFlight > 0 {
			m[n] = s.inFlight
		}
	}
	return m
}

// Forget drops the state of upstreams that are no longer configured and have nothing in flight.
func (t *Table[P]) Forget(known func(upstream string) bool) {
	for n, s := range t.states {
		if s.inFlight == 0 && !known(n) {
			delete(t.states, n)
		}
	}
}

// usable returns the upstreams that may get the request.
//
// Upstreams that are leaving or were tried for this request never get it. Those that refuse requests or announced a
// close get it only if there is no other. Of the remaining ones at least half stay in use: if need be, ejected and
// unreachable ones are re-admitted early, in the order in which their ejections end.
func (t *Table[P]) usable(now time.Time, l []catalog.Upstream, q Request) []catalog.Upstream {
	var good, lastResort, ejected []catalog.Upstream
	for _, u := range l {
		s := t.state(now, u.Name)
		switch {
		case u.Leaving || s.leaving || q.Tried[u.Name]:
		case s.refusing(now) || s.closing(now):
			lastResort = append(lastResort, u)
		case s.ejected(now) || s.unreachable:
			ejected = append(ejected, u)
		default:
			good = append(good, u)
		}
	}
	sort.SliceStable(ejected, func(i, j int) bool {
		return t.states[ejected[i].Name].ejectedUntil.Before(t.states[ejected[j].Name].ejectedUntil)
	})
	for floor := (len(good) + len(ejected) + 1) / 2; len(good) < floor; ejected = ejected[1:] {
		good = append(good, ejected[0])
	}
	if len(good) == 0 {
		return lastResort
	}
	return good
}

// belowLimit returns the upstreams whose adaptive limit allows another request, or all of them if none does.
func (t *Table[P]) belowLimit(now time.Time, l []catalog.Upstream) []catalog.Upstream {
	var free []catalog.Upstream
	for _, u := range l {
		if !t.state(now, u.Name).limit.full() {
			free = append(free, u)
		}
	}
	if len(free) == 0 {
		return l
	}
	return free
}

func (t *Table[P]) candidate(now time.Time, u catalog.Upstream, blocks []uint64) Candidate {
	s := t.state(now, u.Name)
	c := Candidate{
		Name:            u.Name,
		SameDataCentre:  u.DataCentre == t.dataCentre,
		InFlight:        s.inFlight,
		OthersInFlight:  s.othersInFlight(now),
		SentSinceReport: len(s.sentSince),
		Slots:           max(u.Slots, 1),
		CachedBlocks:    s.prefixes.cachedBlocks(blocks),
		Blocks:          len(blocks),
		Share:           s.share(now),
	}
	if age := now.Sub(s.loadAt); !s.loadAt.IsZero() && age < reportExpiry {
		c.Reported = float64(s.load.Running+s.load.Waiting) * (1 - age.Seconds()/reportExpiry.Seconds())
	}
	return c
}

func (t *Table[P]) state(now time.Time, upstream string) *state {
	s, ok := t.states[upstream]
	if !ok {
		s = newState(now)
		t.states[upstream] = s
	}
	return s
}

func (t *Table[P]) budget(now time.Time, service string) *RetryBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = NewRetryBudget(now)
		t.budgets[service] = b
	}
	return b
}
