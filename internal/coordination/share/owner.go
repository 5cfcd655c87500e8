package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Policy of an Owner.
const (
	evenFraction  = 0.15             // fraction of a limit that is divided evenly, for entry VMs without demand so far
	entryExpiry   = 30 * time.Second // the shares of an entry VM that does not report for this time are granted to others
	expireEvery   = time.Second      // between searches for such entry VMs
	minChange     = 0.01             // smaller changes are not sent, unless they are large for the share
	minRelative   = 0.25             // fraction of a share from which on a change is large: with 246 entry VMs no share is above minChange
	demandFloor   = 1e-3             // added to each demand in requests per second, so that their sum is never zero
	maxDensePairs = 1024             // pairs of an entry VM and an account; above, an account without demand at an entry VM has only its even share there
	residue       = 1e-9             // smaller sums are rounding errors

	// shareLease is how long an entry VM may use the shares of a report, from when it sent that. It ends before entryExpiry by more than two
	// clocks drift apart in that time.
	shareLease = entryExpiry - 2*time.Second
)

// Detection of entry VMs that are out of reach. Such a VM has at most the whole limit, so until it is detected an account gets at most
// minSilence*rate requests too many: half of the tenth by which a window of 5 s may exceed its limit. The other half is the start of a
// new owner's Ledger.
const (
	minSilence       = 300 * time.Millisecond
	maxSilence       = 700 * time.Millisecond // for VMs that report five times a second; one report may be lost
	callsMissed      = 5                      // calls for which a VM may be silent: intervals between random calls are longer in 0.7% of the cases
	callTimeConstant = 5 * time.Second        // of the measured rate of calls
	checkEvery       = 20 * time.Millisecond  // between searches for silent VMs
)

// Grant is the part of each account's limit that an entry VM has: Even of every account, and in addition Extra by account.
type Grant struct {
	Even  float64
	Extra map[string]float64
}

// Owner divides the limits of all accounts among the entry VMs; it is not safe for concurrent use.
//
// A report costs as much as the entry VM has accounts with demand, since the sums over the other entry VMs are kept. In a fleet of
// maxDensePairs or fewer it costs as much as there are accounts.
type Owner struct {
	entries   map[string]*entryState
	even      float64            // sum of Even over the entry VMs
	extra     map[string]float64 // sum of Extra over the entry VMs, by account
	demand    map[string]float64 // requests per second of all entry VMs, by account
	expiredAt time.Time

	startedAt time.Time
	inherited int // entry VMs that may have shares from the previous owner

	maxSilence  time.Duration // after which a VM without calls is taken to be out of reach
	checkedAt   time.Time
	silent      map[string]bool    // VMs that are out of reach
	silentEven  float64            // sum of their Even
	silentExtra map[string]float64 // sum of their Extra, by account
}

// entryState is what the owner knows of one entry VM.
type entryState struct {
	incarnation int64
	reportedAt  time.Time
	demand      map[string]float64 // requests per second, by account
	granted     Grant              // the greater of the grant in force and the one sent last
	contact     contact
}

// contact is when an entry VM last showed that it reaches the owner.
type contact struct {
	at       time.Time
	calledAt time.Time
	calls    float64 // per second, as of calledAt
	apart    bool    // it has used its own shares since the owner's last response
}

// NewOwner returns an Owner without entry VMs. Up to inherited ones may have shares from a previous owner.
func NewOwner(now time.Time, inherited int) *Owner {
	return &Owner{entries: map[string]*entryState{}, extra: map[string]float64{}, demand: map[string]float64{}, startedAt: now, inherited: inherited,
		maxSilence: maxSilence, silent: map[string]bool{}, silentExtra: map[string]float64{}}
}

// SetReportInterval sets how often entry VMs report to the owner, where that is less than five times a second.
func (o *Owner) SetReportInterval(d time.Duration) { o.maxSilence = d + maxSilence }

// Reported records a report of an entry VM. Apart says that the VM has used its own shares since the owner's last response, so that the owner
// goes on withholding them.
func (o *Owner) Reported(now time.Time, vm string, apart bool) {
	if h := o.entries[vm]; h != nil {
		o.observe(now, vm, h, apart)
	}
}

// Called records a call for admission by an entry VM. It reports whether the VM is to declare its shares, as they are not known.
func (o *Owner) Called(now time.Time, vm string, apart bool) (declare bool) {
	h := o.entries[vm]
	if h == nil {
		return o.recovers(now)
	}
	c := &h.contact
	c.calls = c.calls*math.Exp(-max(0, now.Sub(c.calledAt).Seconds())/callTimeConstant.Seconds()) + 1/callTimeConstant.Seconds()
	c.calledAt = now
	o.observe(now, vm, h, apart)
	return false
}

// Declare records the shares in force on an entry VM that has not reported yet. In a large fleet its report may come seconds after its first call.
func (o *Owner) Declare(now time.Time, vm string, incarnation int64, inForce Grant) {
	if o.entries[vm] != nil || !o.recovers(now) {
		return
	}
	h := &entryState{incarnation: incarnation, reportedAt: now, granted: inForce, contact: contact{at: now}}
	o.entries[vm] = h
	o.add(h)
}

func (o *Owner) observe(now time.Time, vm string, h *entryState, apart bool) {
	h.contact.at, h.contact.apart = now, apart
	if apart != o.silent[vm] {
		o.checkedAt = time.Time{}
	}
}

// Withheld returns the fraction of an account's limit that entry VMs out of reach may use on their own, as far as the owner knows; for a new
// owner that is all that the VMs in contact do not have.
func (o *Owner) Withheld(now time.Time, account string) float64 {
	o.check(now)
	w := o.silentEven + o.silentExtra[account]
	if o.recovers(now) {
		w += max(0, 1-o.even-o.extra[account])
	}
	return min(1, w)
}

// Unresponsive returns the addresses of the entry VMs that are out of reach, sorted.
func (o *Owner) Unresponsive(now time.Time) []string {
	o.check(now)
	return slices.Sorted(maps.Keys(o.silent))
}

// recovers reports whether an entry VM may have shares from the previous owner that this one does not know.
func (o *Owner) recovers(now time.Time) bool {
	return len(o.entries) < o.inherited && now.Sub(o.startedAt) < entryExpiry
}

// check searches for entry VMs that are out of reach.
func (o *Owner) check(now time.Time) {
	if now.Sub(o.checkedAt) < checkEvery {
		return
	}
	o.checkedAt = now
	o.expire(now)
	o.silentEven = 0
	clear(o.silent)
	clear(o.silentExtra)
	for vm, h := range o.entries {
		if !h.contact.apart && now.Sub(h.contact.at) <= o.longestSilence(h) {
			continue
		}
		o.silent[vm] = true
		o.silentEven += h.granted.Even
		for a, s := range h.granted.Extra {
			o.silentExtra[a] += s
		}
	}
}

// longestSilence returns for how long an entry VM in contact may not be heard: until it has missed several of its usual calls, or a report.
func (o *Owner) longestSilence(h *entryState) time.Duration {
	d := o.maxSilence
	if h.contact.calls > 0 {
		d = min(d, time.Duration(callsMissed/h.contact.calls*float64(time.Second)))
	}
	return max(minSilence, d)
}

// Report records an entry VM's demand by account and the grant in force there, and returns its new even share and the extra shares
// that change. A new incarnation, which is a restarted process, replaces what was known of the VM.
func (o *Owner) Report(now time.Time, vm string, incarnation int64, inForce Grant, demand map[string]float64, accounts []string) Grant {
	o.expire(now)
	h := &entryState{incarnation: incarnation, reportedAt: now, demand: demand, granted: Grant{Even: inForce.Even, Extra: map[string]float64{}}, contact: contact{at: now}}
	if before := o.entries[vm]; before != nil {
		o.remove(before)
		if before.incarnation == incarnation {
			h.contact = before.contact
		}
	}
	h.contact.at = now
	o.checkedAt = time.Time{}
	for a, s := range inForce.Extra {
		h.granted.Extra[a] = s
	}
	o.entries[vm] = h
	if o.recovers(now) { // the rest may be in use at VMs that have not reported yet
		h.granted.Even = inForce.Even
		o.add(h)
		return Grant{Even: inForce.Even, Extra: map[string]float64{}}
	}
	g := Grant{Extra: map[string]float64{}}
	sparse := len(o.entries)*len(accounts) > maxDensePairs
	if sparse {
		g.Even = o.nextEven(inForce.Even)
		for a := range demand {
			o.grant(a, h, inForce, &g, sparse)
		}
		for a := range inForce.Extra {
			if _, ok := demand[a]; !ok {
				o.grant(a, h, inForce, &g, sparse)
			}
		}
	} else {
		for _, a := range accounts {
			o.grant(a, h, inForce, &g, sparse)
		}
	}
	h.granted.Even = max(h.granted.Even, g.Even)
	o.add(h)
	return g
}

// grant adds an account's next share to a grant if it changes.
func (o *Owner) grant(account string, h *entryState, inForce Grant, g *Grant, sparse bool) {
	s := o.nextExtra(account, h, sparse)
	if s != inForce.Extra[account] {
		g.Extra[account] = s
	}
	h.granted.Extra[account] = max(h.granted.Extra[account], s)
}

// nextEven returns an entry VM's next even share. Extra shares of others may have to shrink before it can grow.
func (o *Owner) nextEven(inForce float64) float64 {
	target := evenFraction / float64(len(o.entries))
	if target <= inForce+residue {
		return min(target, inForce)
	}
	most := 0.0
	for _, s := range o.extra {
		most = max(most, s)
	}
	return max(0, min(target, evenFraction-o.even, 1-most-o.even))
}

// nextExtra returns an entry VM's next extra share of an account: the part that follows its demand, but no more than the other
// entry VMs leave. For them granted counts, since a share that was sent may or may not have been adopted.
func (o *Owner) nextExtra(account string, h *entryState, sparse bool) float64 {
	n := float64(len(o.entries))
	floor := demandFloor
	if sparse && h.demand[account] <= 0 {
		floor = 0
	}
	target := (1 - evenFraction) * (h.demand[account] + floor) / (o.demand[account] + h.demand[account] + n*demandFloor)
	left := 1 - evenFraction
	if !sparse {
		target += evenFraction / n
		left = 1 - o.even
	}
	current := h.granted.Extra[account]
	if d := math.Abs(target - current); d <= min(minChange, minRelative*max(target, current)) && target > 0 {
		target = current
	}
	return max(0, min(target, left-o.extra[account]))
}

// add counts an entry VM in the sums.
func (o *Owner) add(h *entryState) {
	o.even += h.granted.Even
	for a, s := range h.granted.Extra {
		o.extra[a] += s
	}
	for a, d := range h.demand {
		o.demand[a] += d
	}
}

// remove takes an entry VM out of the sums.
func (o *Owner) remove(h *entryState) {
	o.even = max(0, o.even-h.granted.Even)
	for a, s := range h.granted.Extra {
		subtract(o.extra, a, s)
	}
	for a, d := range h.demand {
		subtract(o.demand, a, d)
	}
}

func subtract(m map[string]float64, account string, v float64) {
	if m[account] -= v; m[account] < residue {
		delete(m, account)
	}
}

// expire drops entry VMs that have not reported for entryExpiry, which frees their shares.
func (o *Owner) expire(now time.Time) {
	if now.Sub(o.expiredAt) < expireEvery {
		return
	}
	o.expiredAt = now
	for n, h := range o.entries {
		if now.Sub(h.reportedAt) > entryExpiry {
			o.remove(h)
			delete(o.entries, n)
		}
	}
}
