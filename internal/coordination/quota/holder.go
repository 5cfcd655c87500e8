package quota

import (
	"math"
	"slices"
	"time"
)

// Timing and bounds of a holder.
const (
	requestInterval  = time.Millisecond      // min time between two token requests of one VM
	maxInFlight      = 4                     // token requests that await a response
	maxRetryInterval = 50 * time.Millisecond // between token requests for an empty bucket
	minRetryInterval = 5 * time.Millisecond
	throttleWait     = 2 * time.Second  // max wait for a token once the owner has responded
	takeoverWait     = 3 * time.Second  // max wait for a token while a new owner's buckets fill
	takeoverPeriod   = 30 * time.Second // takeoverWait applies to arrivals this long after a new owner's first response
	unresponsiveWait = 4 * time.Second  // max wait for a token if no owner responds
	idleTime         = 5 * time.Second  // an account without arrivals for this long is removed
	minWaiters       = 64               // requests of one account that may always wait at a VM
	maxWaiters       = 4096
)

// Policy sizes the reserve, the tokens that a holder requests ahead of demand.
type Policy struct {
	FarRoundTrip   time.Duration // with a round trip to the owner of at least this, reserves of any size are kept
	Horizon        time.Duration // the reserve covers the arrivals expected in this time
	MinNearReserve int           // with a shorter round trip, reserves of fewer tokens are not kept
	ReturnAfter    float64       // fraction of the validity after which unspent tokens are returned to the owner
}

// DefaultPolicy returns the policy of a VM.
func DefaultPolicy() Policy {
	return Policy{FarRoundTrip: 20 * time.Millisecond, Horizon: 100 * time.Millisecond, MinNearReserve: 20, ReturnAfter: 0.7}
}

// Decision is the outcome of an arrival.
type Decision uint8

// The decisions.
const (
	Admitted Decision = iota
	Waiting
	Refused
)

// Refusal ends the wait of a request that got no token.
type Refusal struct {
	ID             uint64
	Key            Key
	OwnerResponded bool          // the owner responded, so the account is above its rate; false if no owner responded
	After          time.Duration // how long to wait before a retry may succeed
}

// Holder requests tokens from the owner and spends them at one VM; it is not safe for concurrent use.
type Holder struct {
	policy      Policy
	accounts    map[Key]*account
	active      []*account // in order of arrival, so that a simulation replays exactly
	term        uint64
	ownerSince  time.Time     // first response of the current owner
	roundTrip   time.Duration // to the owner, moving average
	inFlight    int           // token requests that await a response
	nextRequest time.Time
	settled     []Settlement // for the next token request
}

// account is this VM's state of one bucket.
type account struct {
	key                Key
	limit              Limit
	grants             []heldGrant
	held               int
	waiting            []waiter
	requested          int           // tokens for waiting requests, in token requests that await a response
	requestedReserve   int           // tokens for the reserve, in token requests that await a response
	validity           time.Duration // of the latest grant that was not tracked
	arrivalRate        float64       // arrivals a second, decaying since arrivalRateAt
	arrivalRateAt      time.Time
	retryAt            time.Time // no tokens are requested before
	tokenAt            time.Time // when the owner has another token, by its last response
	respondedRequestAt time.Time // sending time of the latest token request that the owner responded to
	lastUsed           time.Time
}

// heldGrant holds one grant's unspent tokens.
type heldGrant struct {
	tokens     int
	term       uint64
	returnAt   time.Time // when unspent tokens are returned to the owner
	validUntil time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	id      uint64
	arrived time.Time
}

// SentRequest is a token request that awaits a response.
type SentRequest struct {
	Request TokenRequest
	At      time.Time
}

// NewHolder returns a Holder without tokens.
func NewHolder(p Policy) *Holder {
	return &Holder{policy: p, accounts: map[Key]*account{}}
}

// Arrive admits a request, lets it wait under id, or refuses it. After a refusal, the duration says how long to wait
// before a retry may succeed.
func (h *Holder) Arrive(now time.Time, k Key, l Limit, id uint64) (Decision, time.Duration) {
	a := h.account(now, k)
	a.limit = l
	a.recordArrival(now)
	h.expireGrants(now, a)
	if len(a.waiting) == 0 && a.take() {
		return Admitted, 0
	}
	if len(a.waiting) >= a.waitLimit() || a.tokenAt.Sub(now) > throttleWait {
		return Refused, h.retryAfter(a, now)
	}
	a.waiting = append(a.waiting, waiter{id: id, arrived: now})
	return Waiting, 0
}

// Leave removes a waiting request whose caller has left.
func (h *Holder) Leave(k Key, id uint64) {
	if a := h.accounts[k]; a != nil {
		a.waiting = slices.DeleteFunc(a.waiting, func(w waiter) bool { return w.id == id })
	}
}

// NextRequest returns the next token request for the owner, or false when there is none now.
func (h *Holder) NextRequest(now time.Time) (SentRequest, bool) {
	if h.inFlight >= maxInFlight || now.Before(h.nextRequest) {
		return SentRequest{}, false
	}
	q := TokenRequest{Term: h.term, Settled: h.settled}
	for _, a := range h.active {
		if n := h.takeReturns(now, a); n > 0 {
			q.Returns = append(q.Returns, Return{Key: a.key, Tokens: n})
		}
		if w := h.demand(now, a); w.Need+w.Reserve > 0 {
			a.requested += w.Need
			a.requestedReserve += w.Reserve
			q.Demands = append(q.Demands, w)
		}
	}
	if len(q.Demands)+len(q.Returns)+len(q.Settled) == 0 {
		return SentRequest{}, false
	}
	h.settled = nil
	h.inFlight++
	h.nextRequest = now.Add(requestInterval)
	return SentRequest{Request: q, At: now}, true
}

// HandleResponse takes in the owner's response to s and returns the ids of the waiting requests that it admits.
func (h *Holder) HandleResponse(now time.Time, s SentRequest, r TokenResponse) []uint64 {
	h.finishRequest(s)
	h.roundTrip += (now.Sub(s.At) - h.roundTrip) / roundTripWeight
	if r.Term > h.term {
		h.term = r.Term
		h.ownerSince = now
		// The new owner has no record of the earlier owner's grants.
		h.settled = nil
	}
	var ids []uint64
	for i, w := range s.Request.Demands {
		if i < len(r.Grants) {
			ids = append(ids, h.handleGrant(now, s.At, r.Term, h.accounts[w.Key], w, r.Grants[i])...)
		}
	}
	return ids
}

// Abandon gives up a token request that got no response; tokens that the owner may have granted for it count as spent.
func (h *Holder) Abandon(s SentRequest) {
	h.finishRequest(s)
}

// Expire refuses the requests that have waited too long, and removes expired grants and idle accounts.
func (h *Holder) Expire(now time.Time) []Refusal {
	var l []Refusal
	h.active = slices.DeleteFunc(h.active, func(a *account) bool {
		l = append(l, h.expireWaiters(now, a)...)
		h.expireGrants(now, a)
		idle := len(a.waiting)+len(a.grants)+a.requested+a.requestedReserve == 0 && now.Sub(a.lastUsed) > idleTime
		if idle {
			delete(h.accounts, a.key)
		}
		return idle
	})
	return l
}

// Wake returns when Expire and NextRequest are due next, or false when nothing is pending.
func (h *Holder) Wake(now time.Time) (time.Time, bool) {
	var t time.Time
	sooner := func(n time.Time) {
		if t.IsZero() || n.Before(t) {
			t = n
		}
	}
	for _, a := range h.active {
		if len(a.waiting) > 0 {
			sooner(h.deadline(a, a.waiting[0]))
		}
		if h.inFlight < maxInFlight && h.needsTokens(now, a) {
			sooner(later(a.retryAt, h.nextRequest))
		}
		if len(a.grants) > 0 && h.inFlight < maxInFlight {
			sooner(later(a.grants[0].returnAt, h.nextRequest))
		}
	}
	if len(h.settled) > 0 && h.inFlight < maxInFlight {
		sooner(h.nextRequest)
	}
	if !t.IsZero() && t.Before(now) {
		t = now
	}
	return t, !t.IsZero()
}

// NeedsTokens reports whether a bucket needs tokens that no token request has asked for yet.
func (h *Holder) NeedsTokens(now time.Time, k Key) bool {
	a := h.accounts[k]
	return a != nil && h.needsTokens(now, a)
}

// Held returns the unspent tokens of a bucket.
func (h *Holder) Held(k Key) int {
	if a := h.accounts[k]; a != nil {
		return a.held
	}
	return 0
}

func (h *Holder) account(now time.Time, k Key) *account {
	a := h.accounts[k]
	if a == nil {
		a = &account{key: k, arrivalRateAt: now}
		h.accounts[k] = a
		h.active = append(h.active, a)
	}
	return a
}

func (h *Holder) finishRequest(s SentRequest) {
	h.inFlight--
	for _, w := range s.Request.Demands {
		if a := h.accounts[w.Key]; a != nil {
			a.requested -= w.Need
			a.requestedReserve -= w.Reserve
		}
	}
}

// handleGrant spends the tokens of a grant on waiting requests, whose ids it returns. The rest of a tracked grant is
// settled immediately, that of any other grant is held.
func (h *Holder) handleGrant(now, sent time.Time, term uint64, a *account, w Demand, g Grant) []uint64 {
	if a == nil {
		return nil
	}
	a.respondedRequestAt = sent
	a.retryAt, a.tokenAt = now, now
	if g.Tokens < w.Need {
		a.tokenAt = now.Add(g.Wait)
		a.retryAt = now.Add(max(a.retryInterval(), min(g.Wait, throttleWait)))
	}
	if g.Tokens <= 0 {
		return nil
	}
	until := sent.Add(g.Validity)
	n := 0
	var ids []uint64
	if now.Before(until) {
		n = min(g.Tokens, len(a.waiting))
		ids = a.admit(n)
	}
	if g.ID != 0 {
		if term != h.term {
			return ids
		}
		h.settled = append(h.settled, Settlement{Key: a.key, GrantID: g.ID, Unspent: g.Tokens - n})
		return ids
	}
	a.validity = g.Validity
	if rest := g.Tokens - n; rest > 0 {
		a.held += rest
		b := sent.Add(seconds(g.Validity.Seconds() * h.policy.ReturnAfter))
		a.grants = append(a.grants, heldGrant{tokens: rest, term: term, returnAt: b, validUntil: until})
	}
	return ids
}

// demand returns what to request for a bucket now; a reserve is refilled once it is below half of its target.
func (h *Holder) demand(now time.Time, a *account) Demand {
	w := Demand{Key: a.key}
	if now.Before(a.retryAt) {
		return w
	}
	w.Need = max(0, len(a.waiting)-a.requested)
	t := h.reserveTarget(now, a)
	if have := a.held + a.requestedReserve; 2*have < t {
		w.Reserve = t - have
	}
	return w
}

// needsTokens reports whether the next token request has tokens to ask for, apart from the wait until retryAt.
func (h *Holder) needsTokens(now time.Time, a *account) bool {
	return len(a.waiting) > a.requested || 2*(a.held+a.requestedReserve) < h.reserveTarget(now, a)
}

// reserveTarget returns the tokens to hold for the arrivals expected within the policy's horizon.
//
// It is zero if tokens are valid too briefly for a reserve to be spent, if the bucket was just empty, or if the owner is
// near and the reserve small.
func (h *Holder) reserveTarget(now time.Time, a *account) int {
	if a.validity < 2*h.policy.Horizon || now.Before(a.retryAt) {
		return 0
	}
	n := int(a.arrivalRateNow(now) * h.policy.Horizon.Seconds())
	if h.roundTrip < h.policy.FarRoundTrip && n < h.policy.MinNearReserve {
		return 0
	}
	return n
}

// takeReturns removes the grants that are due for return and counts their tokens that the current owner still accepts.
func (h *Holder) takeReturns(now time.Time, a *account) int {
	n := 0
	for len(a.grants) > 0 && !now.Before(a.grants[0].returnAt) {
		l := a.grants[0]
		a.grants = a.grants[1:]
		a.held -= l.tokens
		if l.term == h.term && now.Before(l.validUntil) {
			n += l.tokens
		}
	}
	return n
}

func (h *Holder) expireGrants(now time.Time, a *account) {
	a.grants = slices.DeleteFunc(a.grants, func(l heldGrant) bool {
		expired := !now.Before(l.validUntil)
		if expired {
			a.held -= l.tokens
		}
		return expired
	})
}

func (h *Holder) expireWaiters(now time.Time, a *account) []Refusal {
	var l []Refusal
	for len(a.waiting) > 0 && !now.Before(h.deadline(a, a.waiting[0])) {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		l = append(l, Refusal{ID: w.id, Key: a.key, OwnerResponded: !a.respondedRequestAt.Before(w.arrived), After: h.retryAfter(a, now)})
	}
	return l
}

// deadline returns when a request stops waiting.
//
// It waits for unresponsiveWait unless the owner has responded to a token request sent after the arrival. If it has, the
// wait is throttleWait, or takeoverWait for an arrival soon after a change of owner, since a new owner's buckets start
// empty; it ends immediately if the next token comes later than that.
func (h *Holder) deadline(a *account, w waiter) time.Time {
	last := w.arrived.Add(unresponsiveWait)
	if a.respondedRequestAt.Before(w.arrived) {
		return last
	}
	wait := throttleWait
	if w.arrived.Before(h.ownerSince.Add(takeoverPeriod)) {
		wait = takeoverWait
	}
	last = minTime(last, later(w.arrived, h.ownerSince).Add(wait))
	if a.tokenAt.After(last) {
		return w.arrived
	}
	return last
}

// retryAfter returns how long a refused request should wait before a retry: until the owner has a token again and the
// requests that are waiting now can have been admitted.
func (h *Holder) retryAfter(a *account, now time.Time) time.Duration {
	d := a.tokenAt.Sub(now)
	if a.limit.Rate > 0 {
		d = max(d, seconds(float64(len(a.waiting)+1)/a.limit.Rate))
	}
	return max(d, maxRetryInterval)
}

func (a *account) recordArrival(now time.Time) {
	a.arrivalRate = a.arrivalRateNow(now) + 1/arrivalWindow.Seconds()
	a.arrivalRateAt = now
	a.lastUsed = now
}

// roundTripWeight is the number of responses that the moving average of the round trip covers.
const roundTripWeight = 8

// arrivalWindow is the time constant of the arrival rate estimate.
const arrivalWindow = time.Second

func (a *account) arrivalRateNow(now time.Time) float64 {
	return a.arrivalRate * math.Exp(-now.Sub(a.arrivalRateAt).Seconds()/arrivalWindow.Seconds())
}

// take spends a token of the oldest grant and reports whether there was one.
func (a *account) take() bool {
	if len(a.grants) == 0 {
		return false
	}
	a.held--
	a.grants[0].tokens--
	if a.grants[0].tokens == 0 {
		a.grants = a.grants[1:]
	}
	return true
}

// admit removes the n requests that have waited longest and returns their ids.
func (a *account) admit(n int) []uint64 {
	ids := make([]uint64, n)
	for i, w := range a.waiting[:n] {
		ids[i] = w.id
	}
	a.waiting = a.waiting[n:]
	return ids
}

// waitLimit bounds the waiting requests by what the account's full rate could admit while they wait.
func (a *account) waitLimit() int {
	return min(maxWaiters, minWaiters+int(a.limit.Burst+a.limit.Rate*unresponsiveWait.Seconds()))
}

// retryInterval returns the time in which half of a bucket fills, within bounds. With a longer one the bucket could be
// full between two token requests, and the tokens that accrue then would be lost.
func (a *account) retryInterval() time.Duration {
	if a.limit.Rate <= 0 {
		return maxRetryInterval
	}
	return min(maxRetryInterval, max(minRetryInterval, seconds(a.limit.Burst/(2*a.limit.Rate))))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
