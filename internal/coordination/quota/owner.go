package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// unknownAccountWait is the Wait in grants for an account whose limit the owner does not know, or not yet.
const unknownAccountWait = 50 * time.Millisecond

// Owner grants tokens so that rate and burst hold in every window; it is not safe for concurrent use.
//
// A keeper creates one Owner per process and configures it also while another VM leads: an owner that takes over must
// know which limits changed shortly before.
type Owner struct {
	processStart time.Time
	term         uint64
	fillFrom     time.Time // the buckets fill from this time on in the current term
	buckets      map[Key]*bucket
	lastGrantID  uint64
}

// bucket is the token bucket of one key, with its outstanding tracked grants.
type bucket struct {
	limit          Limit
	scheme         scheme
	level          float64
	accruedTo      time.Time
	transitionRate float64   // max fill rate until transitionEnd
	transitionEnd  time.Time // until when tokens granted under earlier limits may be spent
	grants         []trackedGrant
	outstanding    float64 // tokens in grants
}

// trackedGrant is a grant that occupies space in the bucket until it is settled or expires.
type trackedGrant struct {
	id      uint64
	tokens  int
	expires time.Time
}

// NewOwner returns an Owner without a term and without limits.
func NewOwner(now time.Time) *Owner {
	return &Owner{processStart: now, buckets: map[Key]*bucket{}}
}

// Configure sets the limits in force. A change never raises the level of a bucket. A bucket whose limit was removed is
// kept with a zero limit: recreated later, it would start with all the tokens accrued since the start of the term.
func (o *Owner) Configure(now time.Time, limits map[Key]Limit) {
	for k, e := range o.buckets {
		if l := limits[k]; l != e.limit {
			e.change(now, l)
		}
	}
	for k, l := range limits {
		if o.buckets[k] == nil {
			o.buckets[k] = o.newBucket(l)
		}
	}
}

// Lead starts a term at now, unless it is the current one. The caller ensures that no other owner grants after now.
func (o *Owner) Lead(now time.Time, term uint64) {
	if o.term == term && !o.fillFrom.IsZero() {
		return
	}
	o.term = term
	o.fillFrom = now
	// A new process does not know which limits changed before it started, so no bucket fills until all grants from
	// before then have expired.
	if b := o.processStart.Add(withDrift(MaxValidity)); b.After(now) {
		o.fillFrom = b
	}
	for k, e := range o.buckets {
		n := o.newBucket(e.limit)
		// Tokens granted under limits that changed shortly before must have expired too.
		if e.transitionEnd.After(n.accruedTo) {
			n.accruedTo = e.transitionEnd
		}
		o.buckets[k] = n
	}
}

// Grant takes in the returns and settlements of the current term and grants what the buckets hold.
func (o *Owner) Grant(now time.Time, a TokenRequest) TokenResponse {
	if a.Term == o.term {
		o.settle(now, a)
	}
	r := TokenResponse{Term: o.term, Grants: make([]Grant, len(a.Demands))}
	for i, w := range a.Demands {
		r.Grants[i] = o.grant(now, w)
	}
	return r
}

func (o *Owner) settle(now time.Time, a TokenRequest) {
	for _, s := range a.Settled {
		if e := o.buckets[s.Key]; e != nil {
			e.fill(now)
			e.settle(s)
		}
	}
	for _, b := range a.Returns {
		if e := o.buckets[b.Key]; e != nil && !e.scheme.tracked && b.Tokens > 0 {
			e.fill(now)
			e.credit(float64(b.Tokens))
		}
	}
}

func (o *Owner) grant(now time.Time, w Demand) Grant {
	e := o.buckets[w.Key]
	if e == nil || e.limit == (Limit{}) {
		return Grant{Wait: unknownAccountWait}
	}
	e.fill(now)
	n := e.available(w)
	g := Grant{Tokens: n, Validity: e.scheme.validity}
	if n < w.Need {
		g.Wait = e.wait(now)
	}
	if n == 0 {
		return g
	}
	e.level -= float64(n)
	if e.scheme.tracked {
		o.lastGrantID++
		g.ID = o.lastGrantID
		e.grants = append(e.grants, trackedGrant{id: o.lastGrantID, tokens: n, expires: now.Add(withDrift(e.scheme.validity))})
		e.outstanding += float64(n)
	}
	return g
}

// newBucket returns an empty bucket that fills from the time at which no other owner can grant from it any more.
func (o *Owner) newBucket(l Limit) *bucket {
	e := &bucket{limit: l, scheme: schemeOf(l), accruedTo: o.fillFrom}
	if e.scheme.tracked {
		// Outstanding tracked grants of an earlier owner occupy space in the bucket until they expire.
		e.accruedTo = e.accruedTo.Add(withDrift(trackedValidity))
	}
	return e
}

// change replaces the limits. Until tokens granted under earlier limits can no longer be spent, the bucket fills at the
// lowest of the earlier rates and the new one.
func (e *bucket) change(now time.Time, l Limit) {
	e.fill(now)
	if now.Before(e.transitionEnd) {
		e.transitionRate = min(e.transitionRate, e.limit.Rate)
	} else {
		e.transitionRate = e.limit.Rate
	}
	e.transitionEnd = now.Add(withDrift(MaxValidity))
	e.limit = l
	e.scheme = schemeOf(l)
	e.credit(0)
}

// fill adds what accrued since the last call and drops expired grants, which count as spent.
func (e *bucket) fill(now time.Time) {
	for len(e.grants) > 0 && !now.Before(e.grants[0].expires) {
		e.accrue(e.grants[0].expires)
		e.outstanding -= float64(e.grants[0].tokens)
		e.grants = e.grants[1:]
	}
	e.accrue(now)
}

func (e *bucket) accrue(until time.Time) {
	e.accrueAt(minTime(until, e.transitionEnd), min(e.transitionRate, e.limit.Rate))
	e.accrueAt(until, e.limit.Rate)
}

func (e *bucket) accrueAt(until time.Time, rate float64) {
	d := until.Sub(e.accruedTo).Seconds()
	if d <= 0 {
		return
	}
	e.accruedTo = until
	// The rates of two clocks differ by up to about 2*MaxDrift: filling that much slower keeps the rate by any VM's clock.
	e.credit(d * rate * (1 - 2*MaxDrift))
}

// credit adds tokens up to what the bucket can hold besides the outstanding grants.
func (e *bucket) credit(n float64) {
	e.level = min(e.level+n, e.scheme.cap-e.outstanding)
}

func (e *bucket) settle(s Settlement) {
	i, ok := slices.BinarySearchFunc(e.grants, s.GrantID, func(l trackedGrant, id uint64) int { return cmp.Compare(l.id, id) })
	if !ok {
		return
	}
	n := e.grants[i].tokens
	e.grants = slices.Delete(e.grants, i, i+1)
	e.outstanding -= float64(n)
	e.credit(float64(min(max(s.Unspent, 0), n)))
}

// available returns how many tokens a demand gets. Granting a reserve leaves half of the bucket to other VMs, and a
// tracked bucket grants none.
func (e *bucket) available(w Demand) int {
	l := max(0, int(math.Floor(e.level)))
	n := min(max(0, w.Need), l)
	if e.scheme.tracked || w.Reserve <= 0 {
		return n
	}
	spare := int(math.Floor(e.level - float64(n) - e.scheme.cap/2))
	return n + max(0, min(w.Reserve, spare))
}

// wait returns the min time until the bucket has another token.
func (e *bucket) wait(now time.Time) time.Duration {
	if e.limit.Rate <= 0 {
		return time.Hour
	}
	f := 1 - (e.level - math.Floor(e.level))
	if e.level < 0 {
		f = 1 - e.level
	}
	w := seconds(f / e.limit.Rate)
	if d := e.accruedTo.Sub(now); d > 0 {
		w += d
	}
	return w
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
