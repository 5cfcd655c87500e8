package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"snipetack/internal/state/plan"
)

// Policy of a Tracker.
const (
	settleTime      = 60 * time.Millisecond // between the first response that breaks off and the report; all that break by then are part of the same crash
	inFlightTime    = 20 * time.Millisecond // bytes that arrive within this time of a break may have been sent before it
	evidenceTime    = time.Minute           // for which crashes are kept
	maxCrashes      = 32                    // kept by a VM
	maxSuspects     = 32                    // of a crash
	maxSegments     = 64                    // of a suspect in a report
	maxReports      = 16                    // crashes in one report
	soundEvents     = 2                     // events after which a response counts as one that went on
	soundMemory     = 10 * time.Second      // a segment's responses are counted for this to twice this time
	maxSoundMemory  = 8192                  // segments, and likewise requests, counted in that time
	commonFraction  = 0.1                   // of the responses; segments in more of them are common
	frequentCount   = 2                     // sound responses from which on a segment may be frequent
	frequentShare   = 0.04                  // of the sound responses; segments in more of them are frequent
	maxFrequent     = 16                    // frequent segments in a report
	maxAwaited      = 128                   // suspects in Awaited
	minObservations = 20                    // responses without which no segment is known as common
	awaitedTime     = time.Second           // after its head, for which a response may be about to go on; upstreams pause for less between events
)

// Crash is what one VM saw of the end of an upstream.
type Crash struct {
	Upstream string        // id
	Age      time.Duration // since the first response broke off
	Suspects []Suspect
	Sound    []SegmentCount // of the suspects and their segments, and of the most frequent segments
	Observed int            // sound responses to prompts with segments that the VM has seen lately

	ObservedRequests int // sound responses to requests with a fingerprint that the VM has seen lately
}

// SegmentCount is how many sound responses to prompts with a segment, or to one request, a VM has seen lately.
type SegmentCount struct {
	Segment string // or the request's fingerprint
	Count   int
}

// Clearance says that a response to a prompt with a suspected segment, or to a suspected request, has gone on, so that earlier crashes don't
// count against it.
type Clearance struct {
	Segment string        // or the request's fingerprint
	Age     time.Duration // of the newest such response
}

// Suspect is a request that was at an upstream when it crashed and whose response had not gone on.
type Suspect struct {
	Begun       bool     // the header of the response had arrived
	Segments    []string // ids of the prompt's segments, without those that are common among the VM's sound responses
	Fingerprint string   // of the request; "" for a batch item
}

// Tracker collects what one VM sees of crashes; it is safe for concurrent use.
type Tracker struct {
	onCrash func(upstream string, suspects []Suspect)

	mu          sync.Mutex
	respondedAt map[string]time.Time // when bytes last came from an upstream with runs or breaks
	runs        map[string]int       // in flight, by upstream
	breaks      map[string]*breakOff // not settled yet, by upstream
	crashes     []*crash
	lastNumber  uint64
	total       uint64 // crashes so far

	suspected []string          // by the leading control VM: segments and fingerprints
	started   map[*Run]struct{} // whose response has begun and has not gone on so far

	segments, requests memory // sound responses by segment and by fingerprint
}

// breakOff is an upstream whose responses broke off.
type breakOff struct {
	at       time.Time // of the first one
	suspects []Suspect
}

// crash is a settled crash.
type crash struct {
	upstream string
	at       time.Time
	suspects []Suspect
	number   uint64
}

// NewTracker returns a Tracker without observations. It calls onCrash, which must not block, after each crash.
func NewTracker(onCrash func(upstream string, suspects []Suspect)) *Tracker {
	return &Tracker{
		onCrash:     onCrash,
		respondedAt: map[string]time.Time{},
		runs:        map[string]int{},
		breaks:      map[string]*breakOff{},
		segments:    newMemory(),
		requests:    newMemory(),
		started:     map[*Run]struct{}{},
	}
}

// Run is one attempt at an upstream; its methods must be called by one goroutine.
type Run struct {
	t        *Tracker
	upstream string
	subject  Subject
	begun    bool
	begunAt  time.Time
	events   int
}

// Start records an attempt to run a request. An attempt without segments and fingerprint is not tracked.
func (t *Tracker) Start(upstream string, s Subject) *Run {
	r := &Run{t: t, upstream: upstream, subject: s}
	if r.tracked() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.runs[upstream]++
	}
	return r
}

func (r *Run) tracked() bool { return len(r.subject.Segments) > 0 || r.subject.Fingerprint != "" }

// Begun records that the header of the response has arrived.
func (r *Run) Begun() {
	if !r.tracked() {
		return
	}
	now := time.Now()
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.begun, r.begunAt = true, now
	r.t.respondedAt[r.upstream] = now
	if r.events < soundEvents {
		r.t.started[r] = struct{}{}
	}
}

// Events records n more events of the response. After soundEvents the response counts as sound.
func (r *Run) Events(n int) {
	if !r.tracked() || n <= 0 {
		return
	}
	now := time.Now()
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	r.t.respondedAt[r.upstream] = now
	before := r.events
	r.events += n
	if before < soundEvents && r.events >= soundEvents {
		delete(r.t.started, r)
		r.t.segments.record(now, r.subject.Segments...)
		if r.subject.Fingerprint != "" {
			r.t.requests.record(now, r.subject.Fingerprint)
		}
	}
}

// Complete records that the response is complete, however many events it had.
func (r *Run) Complete() { r.Events(max(0, soundEvents-r.events)) }

// WentOn reports whether the response has gone on so far that the request does not crash its upstream.
func (r *Run) WentOn() bool { return r.events >= soundEvents }

// End records that the attempt has ended; brokeOff says that the upstream closed the connection before the end of the response.
func (r *Run) End(brokeOff bool) {
	if !r.tracked() {
		return
	}
	now := time.Now()
	t := r.t
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.started, r)
	if brokeOff {
		t.recordBreak(now, r)
	}
	if t.runs[r.upstream]--; t.runs[r.upstream] <= 0 {
		delete(t.runs, r.upstream)
		if t.breaks[r.upstream] == nil {
			delete(t.respondedAt, r.upstream)
		}
	}
}

// Reports returns the first maxReports crashes whose number is above after, and the number of the last one.
func (t *Tracker) Reports(after uint64) (l []Crash, upTo uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.segments.rotate(now)
	t.requests.rotate(now)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceTime })
	upTo = after
	for _, c := range t.crashes {
		if c.number > after && len(l) < maxReports {
			l = append(l, t.report(now, c))
			upTo = c.number
		}
	}
	return l, upTo
}

// Suspect replaces the segments and fingerprints that the leading control VM suspects.
func (t *Tracker) Suspect(l []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspected = l
}

// Clearances returns when the suspects were last seen in a sound response; those that were not are left out. Suspects of crashes that this
// VM saw lately count, too, as the leading control VM may name them only later.
func (t *Tracker) Clearances() []Clearance {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.segments.rotate(now)
	t.requests.rotate(now)
	var l []Clearance
	added := map[string]bool{}
	add := func(key string, after time.Time) {
		if last := t.soundAt(key); last.After(after) && !added[key] {
			added[key] = true
			l = append(l, Clearance{Segment: key, Age: now.Sub(last)})
		}
	}
	for _, s := range t.suspected {
		add(s, time.Time{})
	}
	for s, at := range t.recentSuspects(now) {
		add(s, at)
	}
	return l
}

// Awaited returns the suspects, as Clearances has them, with which a response has begun at an upstream that has not crashed since: it
// clears them if it goes on.
func (t *Tracker) Awaited() []string {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := t.recentSuspects(now)
	for _, s := range t.suspected {
		suspects[s] = now
	}
	if len(suspects) == 0 {
		return nil
	}
	found := map[string]bool{}
	for r := range t.started {
		// One that has begun just now may crash its upstream yet.
		if d := now.Sub(r.begunAt); d < settleTime || d > awaitedTime || t.breaks[r.upstream] != nil {
			continue
		}
		for _, s := range append([]string{r.subject.Fingerprint}, r.subject.Segments...) {
			if _, ok := suspects[s]; ok && s != "" {
				found[s] = true
			}
		}
	}
	l := slices.Sorted(maps.Keys(found))
	return l[:min(len(l), maxAwaited)]
}

// recentSuspects returns the segments and fingerprints of the suspects of the crashes that this VM saw within maxHold, with the time of
// the last one.
func (t *Tracker) recentSuspects(now time.Time) map[string]time.Time {
	m := map[string]time.Time{}
	for _, c := range t.crashes { // in the order of time
		if now.Sub(c.at) > maxHold {
			continue
		}
		for _, x := range c.suspects {
			if x.Fingerprint != "" {
				m[x.Fingerprint] = c.at
			}
			for _, s := range x.Segments {
				m[s] = c.at
			}
		}
	}
	return m
}

// soundAt returns when a segment or a request was last in a sound response; it is zero if that is not remembered.
func (t *Tracker) soundAt(key string) time.Time {
	if strings.HasPrefix(key, plan.FingerprintPrefix) {
		return t.requests.of(key).last
	}
	return t.segments.of(key).last
}

// Total returns the number of crashes seen so far.
func (t *Tracker) Total() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

// recordBreak notes a response that broke off. The upstream has crashed if no byte comes from it until settleTime is over;
// otherwise it has only cut off this response.
func (t *Tracker) recordBreak(now time.Time, r *Run) {
	b := t.breaks[r.upstream]
	if b == nil {
		b = &breakOff{at: now}
		t.breaks[r.upstream] = b
		time.AfterFunc(settleTime, func() { t.settle(r.upstream) })
	}
	if r.events < soundEvents && len(b.suspects) < maxSuspects {
		l := r.subject.Segments
		b.suspects = append(b.suspects, Suspect{Begun: r.begun, Segments: l[:min(len(l), maxHeaderSegments)], Fingerprint: r.subject.Fingerprint})
	}
}

// maxHeaderSegments bounds the segments that are kept of a suspect before common ones are left out.
const maxHeaderSegments = 1024

// settle turns a break into a crash unless the upstream has sent bytes since.
func (t *Tracker) settle(upstream string) {
	t.mu.Lock()
	b := t.breaks[upstream]
	delete(t.breaks, upstream)
	alive := t.respondedAt[upstream].After(b.at.Add(inFlightTime))
	if t.runs[upstream] == 0 {
		delete(t.respondedAt, upstream)
	}
	if alive {
		t.mu.Unlock()
		return
	}
	t.total++
	if len(b.suspects) > 0 {
		t.lastNumber++
		if len(t.crashes) >= maxCrashes {
			t.crashes = t.crashes[1:]
		}
		t.crashes = append(t.crashes, &crash{upstream: upstream, at: b.at, suspects: b.suspects, number: t.lastNumber})
	}
	t.mu.Unlock()
	t.onCrash(upstream, b.suspects)
}

// report returns what this VM saw of a crash.
func (t *Tracker) report(now time.Time, c *crash) Crash {
	n := t.segments.responses()
	r := Crash{Upstream: c.upstream, Age: now.Sub(c.at), Observed: n, ObservedRequests: t.requests.responses()}
	counted := map[string]bool{}
	addSound := func(key string, k int) {
		if k > 0 && !counted[key] {
			counted[key] = true
			r.Sound = append(r.Sound, SegmentCount{Segment: key, Count: k})
		}
	}
	for _, s := range c.suspects {
		x := Suspect{Begun: s.Begun, Fingerprint: s.Fingerprint}
		addSound(s.Fingerprint, t.requests.of(s.Fingerprint).n)
		for _, id := range s.Segments {
			k := t.segments.of(id).n
			addSound(id, k)
			if !common(k, n) && len(x.Segments) < maxSegments {
				x.Segments = append(x.Segments, id)
			}
		}
		r.Suspects = append(r.Suspects, x)
	}
	r.Sound = r.Sound[:min(len(r.Sound), maxSuspects*maxSegments)]
	for _, x := range t.frequent(n) {
		if !counted[x.Segment] {
			r.Sound = append(r.Sound, x)
		}
	}
	return r
}

// frequent returns the segments that most of n sound responses were to, the most frequent first.
func (t *Tracker) frequent(n int) []SegmentCount {
	var l []SegmentCount
	add := func(s string) {
		if k := t.segments.of(s).n; k >= frequentCount && float64(k) > frequentShare*float64(n) {
			l = append(l, SegmentCount{Segment: s, Count: k})
		}
	}
	for s := range t.segments.recent {
		add(s)
	}
	for s := range t.segments.older {
		if _, ok := t.segments.recent[s]; !ok {
			add(s)
		}
	}
	slices.SortFunc(l, func(a, b SegmentCount) int {
		return cmp.Or(b.Count-a.Count, strings.Compare(a.Segment, b.Segment))
	})
	return l[:min(len(l), maxFrequent)]
}

// common reports whether a segment that is in k of n sound responses is in too many to be what crashes upstreams.
func common(k, n int) bool {
	return n >= minObservations && float64(k) > commonFraction*float64(n)
}
