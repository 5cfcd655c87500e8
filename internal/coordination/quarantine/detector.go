package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"snipetack/internal/state/plan"
)

// Policy of a Detector.
const (
	begunWeight   = 4     // of a crash in which a response with the segment had just begun
	waitingWeight = 1     // of a crash in which no response had just begun, and one with the segment was awaited
	minWeight     = 11    // from which on a segment is quarantined: three crashes with a response that had begun, beside few others
	chanceFactor  = 3     // multiple of what chance gives a segment of its share, in the other crashes, by which its weight must exceed minWeight
	shareFactor   = 10    // by which the share of a segment among sound prompts raises minWeight: one that was sound lately needs more evidence
	minShare      = 0.025 // assumed share of sound prompts at least: a wave of crashes hits many requests of one session, and some of many rare segments by chance
	minRequests   = 3     // different requests with a segment at its crashes
	maxEnds       = 256
	sameEnd       = time.Second // by which reports of one crash differ at most; an upstream takes longer to return
	maxQuarantine = 8           // segments of one quarantine
	maxSuspected  = 64          // segments in Suspects

	// Upstreams that share a host, a rack or a data centre end together for a cause that no request has. Crashes of one moment therefore
	// quarantine nothing until all VMs have had the time to hear of the suspects and to report that responses with them went on elsewhere.
	sameMoment = 100 * time.Millisecond  // between the first and the last of such crashes, as VMs report them
	maxHold    = 1500 * time.Millisecond // for which a quarantine waits: twice the interval of reports in a large fleet, and their way

	// Without enough sound responses nothing shows which segments are common. Then five crashes are required, and a quarantine has
	// at least two segments, of which one may be common, and explains nearly all crashes.
	minWeightUnobserved    = 20
	minSegmentsUnobserved  = 2
	minExplainedUnobserved = 0.8
)

// Detector finds the segments that crash upstreams in the reports of all VMs. It is not safe for concurrent use.
type Detector struct {
	ends    []*end
	matched map[string]time.Time // when a quarantine last held a prompt back, by its key
	cleared map[string]time.Time // when a suspected segment was last in a sound response
	refuted map[string]time.Time // when a prompt that a quarantine matches had a sound response, by its key
	awaited map[string]awaited   // by VM

	sufficientSince map[string]time.Time // when the evidence against a segment or a request became sufficient

	changed  bool     // evidence has come since Decide
	decided  string   // keys of the quarantines in force at the last Decide
	suspects []string // as of then
	waiting  []string // likewise
}

// end is the end of one upstream as all VMs saw it.
type end struct {
	upstream string
	at       time.Time
	reports  map[string]Crash // by VM
}

// awaited is what a VM has reported last of suspects whose responses may go on.
type awaited struct {
	at   time.Time
	keys []string
}

// NewDetector returns a Detector without reports.
func NewDetector() *Detector {
	return &Detector{matched: map[string]time.Time{}, cleared: map[string]time.Time{}, refuted: map[string]time.Time{}, awaited: map[string]awaited{},
		sufficientSince: map[string]time.Time{}}
}

// Await records which suspects' responses a VM awaits at upstreams that run on; nil if there are none.
func (d *Detector) Await(now time.Time, vm string, suspects []string) {
	if len(suspects) == 0 {
		delete(d.awaited, vm)
		return
	}
	d.awaited[vm] = awaited{now, suspects}
}

// Refute records the keys of quarantines in force of which a prompt that they match had a sound response.
func (d *Detector) Refute(now time.Time, keys []string) {
	for _, k := range keys {
		d.refuted[k] = now
	}
}

// Report adds the crashes that a VM has seen; a later report of the same crash by the VM replaces the earlier one. matched lists
// the keys of quarantines that held a prompt back there, and cleared the suspects that were in sound responses.
func (d *Detector) Report(now time.Time, vm string, l []Crash, matched []string, cleared []Clearance) {
	for _, c := range cleared {
		if at := now.Add(-c.Age); at.After(d.cleared[c.Segment]) {
			d.cleared[c.Segment] = at
			d.changed = true
		}
	}
	for _, k := range matched {
		d.matched[k] = now
	}
	for _, c := range l {
		if c.Age > evidenceTime {
			continue
		}
		d.endOf(c.Upstream, now.Add(-c.Age)).reports[vm] = c
		d.changed = true
	}
	d.expire(now)
}

// endOf returns the end of an upstream at about a time. An upstream may return under its id and crash again.
func (d *Detector) endOf(upstream string, at time.Time) *end {
	for _, e := range d.ends {
		if e.upstream == upstream && at.Sub(e.at).Abs() < sameEnd {
			return e
		}
	}
	e := &end{upstream: upstream, at: at, reports: map[string]Crash{}}
	d.ends = append(d.ends, e)
	return e
}

// Decide returns the quarantines to add to those in force.
//
// Of the segments that explain enough crashes it takes the one that explains most. Segments that all suspects with it have, too,
// can't be told apart from it: they form one quarantine, which holds back only prompts that have all of them, and a further crash
// narrows it.
func (d *Detector) Decide(now time.Time, inForce []plan.Quarantine) []plan.Quarantine {
	d.expire(now)
	keys := ""
	for _, q := range inForce {
		keys += q.Key() + "\n"
	}
	if !d.changed && keys == d.decided {
		return nil
	}
	d.decided = keys
	h := &hold{d: d, now: now, since: map[string]time.Time{}, waiting: map[string]bool{}}
	out := d.requests(h, inForce)
	for {
		q, ok := d.next(h, slices.Concat(inForce, out))
		if !ok {
			break
		}
		out = append(out, q)
	}
	d.sufficientSince, d.waiting = h.since, slices.Sorted(maps.Keys(h.waiting))
	d.changed = len(out)+len(d.waiting) > 0 // the caller may fail to put them in force
	d.suspects = d.mostSuspected(slices.Concat(inForce, out))
	return out
}

// Suspects returns the segments and the fingerprints of requests against which there was most evidence at the last Decide, a bounded number of each.
func (d *Detector) Suspects() []string { return d.suspects }

// Waiting returns the segments and the fingerprints of requests whose quarantine waited at the last Decide, although there was evidence enough.
func (d *Detector) Waiting() []string { return d.waiting }

func (d *Detector) mostSuspected(quarantines []plan.Quarantine) []string {
	shares, observed := d.shares()
	e := d.evidence(shares, observed, quarantines)
	l := slices.SortedFunc(maps.Keys(e), func(a, b string) int {
		return cmp.Or(cmp.Compare(e[b].weight, e[a].weight), strings.Compare(a, b))
	})
	return append(l[:min(len(l), maxSuspected)], d.suspectedRequests()...)
}

// next returns the quarantine of the segment that explains most crashes beyond those that quarantines explain already. While
// common segments are not observed, it prefers the quarantine with most segments and narrows none.
func (d *Detector) next(h *hold, quarantines []plan.Quarantine) (plan.Quarantine, bool) {
	shares, observed := d.shares()
	evidence := d.evidence(shares, observed, quarantines)
	var candidates []string
	for s, e := range evidence {
		if e.sufficient(observed) && !h.holds(s, e.first, e.last) {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b string) int {
		x, y := evidence[a], evidence[b]
		if !observed {
			return cmp.Or(len(y.companions)-len(x.companions), cmp.Compare(y.weight, x.weight), strings.Compare(a, b))
		}
		return cmp.Or(cmp.Compare(y.weight, x.weight), strings.Compare(a, b))
	})
	for _, s := range candidates {
		q := plan.Quarantine{Segments: evidence[s].companions}
		if !slices.ContainsFunc(quarantines, func(x plan.Quarantine) bool { return x.Key() == q.Key() }) {
			return q, true
		}
	}
	return plan.Quarantine{}, false
}

// hold is which verdicts wait at one Decide.
type hold struct {
	d       *Detector
	now     time.Time
	since   map[string]time.Time // when the evidence became sufficient, by segment or fingerprint
	waiting map[string]bool
}

// holds reports whether the verdict on a segment or a request with sufficient evidence has to wait: its crashes, the first and the last of
// which were at these times, may have a common cause, or a response that has begun elsewhere may clear it.
func (h *hold) holds(key string, first, last time.Time) bool {
	since, ok := h.d.sufficientSince[key]
	if !ok {
		since = h.now
	}
	h.since[key] = since
	if h.now.Sub(since) >= maxHold {
		return false
	}
	if last.Sub(first) >= sameMoment && !h.d.awaits(h.now, key) {
		return false
	}
	h.waiting[key] = true
	return true
}

// awaits reports whether a VM awaits a response with a segment or to a request at an upstream that runs on.
func (d *Detector) awaits(now time.Time, key string) bool {
	for _, a := range d.awaited {
		if now.Sub(a.at) < awaitedTime && slices.Contains(a.keys, key) {
			return true
		}
	}
	return false
}

// Released returns the quarantines that a sound response has refuted. Crashes before it don't count against their segments any more.
func (d *Detector) Released(inForce []plan.Quarantine) []plan.Quarantine {
	var l []plan.Quarantine
	for _, q := range inForce {
		at, ok := d.refuted[q.Key()]
		if !ok {
			continue
		}
		l = append(l, q)
		for _, s := range q.Segments {
			if at.After(d.cleared[s]) {
				d.cleared[s], d.changed = at, true
			}
		}
	}
	maps.DeleteFunc(d.refuted, func(k string, _ time.Time) bool {
		return !slices.ContainsFunc(l, func(q plan.Quarantine) bool { return q.Key() == k })
	})
	return l
}

// Expired returns the quarantines that held no prompt back for Retention; those that this Detector has not seen before count
// from now on.
func (d *Detector) Expired(now time.Time, inForce []plan.Quarantine) []plan.Quarantine {
	keys := map[string]bool{}
	var l []plan.Quarantine
	for _, q := range inForce {
		k := q.Key()
		keys[k] = true
		at, ok := d.matched[k]
		if !ok {
			d.matched[k] = now
		}
		if ok && now.Sub(at) > Retention {
			l = append(l, q)
		}
	}
	for k := range d.matched {
		if !keys[k] {
			delete(d.matched, k)
		}
	}
	return l
}

// expire drops ends that are older than evidenceTime, and the oldest ones beyond maxEnds.
func (d *Detector) expire(now time.Time) {
	n := len(d.ends)
	d.ends = slices.DeleteFunc(d.ends, func(e *end) bool { return now.Sub(e.at) > evidenceTime })
	if len(d.ends) > maxEnds {
		slices.SortStableFunc(d.ends, func(a, b *end) int { return a.at.Compare(b.at) })
		d.ends = slices.Delete(d.ends, 0, len(d.ends)-maxEnds)
	}
	d.changed = d.changed || len(d.ends) != n
	for s, at := range d.cleared {
		if now.Sub(at) > evidenceTime {
			delete(d.cleared, s)
		}
	}
	maps.DeleteFunc(d.awaited, func(_ string, a awaited) bool { return now.Sub(a.at) >= awaitedTime })
}

// shares returns the share of sound prompts that have a segment, and whether enough of them were seen: the greatest of the shares that single
// VMs have seen and of that of all VMs together. In a large fleet each VM sees few prompts of its own.
func (d *Detector) shares() (shares map[string]float64, observed bool) {
	shares = map[string]float64{}
	total := 0
	counts := map[string]int{} // by segment
	for _, l := range d.crashesByVM() {
		n, byVM := 0, map[string]int{}
		for _, c := range l {
			n = max(n, c.Observed)
			for _, x := range c.Sound {
				byVM[x.Segment] = max(byVM[x.Segment], x.Count)
			}
		}
		total += n
		for s, k := range byVM {
			counts[s] += k
			if n >= minObservations {
				shares[s] = max(shares[s], float64(k)/float64(n))
			}
		}
		observed = observed || n >= minObservations
	}
	if total >= minObservations {
		for s, k := range counts {
			shares[s] = max(shares[s], float64(k)/float64(total))
		}
	}
	return shares, observed
}

// crashesByVM returns what each VM has reported.
func (d *Detector) crashesByVM() map[string][]Crash {
	m := map[string][]Crash{}
	for _, e := range d.ends {
		for vm, c := range e.reports {
			m[vm] = append(m[vm], c)
		}
	}
	return m
}

// evidence is what speaks against one segment.
type evidence struct {
	first      time.Time       // of its crashes
	last       time.Time       // of its crashes
	weight     float64         // of the crashes that it explains
	share      float64         // of sound prompts with the segment
	chance     float64         // weight that chance gives a segment of its share in the other crashes
	sizes      map[int]float64 // weight of its crashes, by the number of suspects
	requests   map[string]bool // with the segment, at its crashes
	unknown    int             // suspects with the segment and without a fingerprint
	fraction   float64         // of the weight of all crashes
	companions []string        // segments of all suspects that have it, itself included, sorted
}

// add adds a suspect of a crash; counted says that another suspect of the same crash has the segment as well.
func (e *evidence) add(at time.Time, x Suspect, suspects int, weight float64, counted bool) {
	if e.first.IsZero() || at.Before(e.first) {
		e.first = at
	}
	if at.After(e.last) {
		e.last = at
	}
	e.companions = slices.DeleteFunc(e.companions, func(c string) bool { return !slices.Contains(x.Segments, c) })
	if x.Fingerprint == "" {
		e.unknown++
	} else {
		e.requests[x.Fingerprint+"\n"+strings.Join(x.Segments, ",")] = true // callers may send one body for several prompts
	}
	if !counted {
		e.weight += weight
		e.sizes[suspects] += weight
	}
}

// sufficient reports whether a segment is to be quarantined. One or two requests that crash one upstream after the other say nothing of the
// other prompts with their segments.
func (e *evidence) sufficient(observed bool) bool {
	if len(e.requests)+e.unknown < minRequests {
		return false
	}
	if observed {
		return e.weight >= minWeight*(1+shareFactor*e.share)+chanceFactor*e.chance
	}
	return e.weight >= minWeightUnobserved && len(e.companions) >= minSegmentsUnobserved && e.fraction >= minExplainedUnobserved
}

// evidence returns the evidence against each segment that is not common. Crashes before its last sound response do not count. A
// crash that a quarantine explains counts only where quarantines may be narrowed, for the segments of that quarantine, and only
// while it has several.
func (d *Detector) evidence(shares map[string]float64, narrow bool, quarantines []plan.Quarantine) map[string]*evidence {
	m := map[string]*evidence{}
	sizes := map[int]float64{} // weight of all crashes, by the number of suspects
	total := 0.0
	for _, e := range d.ends {
		suspects, weight := e.suspects(shares)
		sizes[len(suspects)] += weight
		total += weight
		var explaining []plan.Quarantine
		for _, q := range quarantines {
			if slices.ContainsFunc(suspects, func(x Suspect) bool { return q.Matches(x.Segments) }) {
				explaining = append(explaining, q)
			}
		}
		elsewhere := func(s string) bool { // whether a quarantine explains the crash without s
			return slices.ContainsFunc(explaining, func(q plan.Quarantine) bool {
				return !narrow || len(q.Segments) == 1 || !slices.Contains(q.Segments, s)
			})
		}
		counted := map[string]bool{}
		for _, x := range suspects {
			for _, s := range x.Segments {
				if !e.at.After(d.cleared[s]) || elsewhere(s) {
					continue
				}
				if m[s] == nil {
					m[s] = &evidence{companions: sortedSet(x.Segments), sizes: map[int]float64{}, requests: map[string]bool{}}
				}
				m[s].add(e.at, x, len(suspects), weight, counted[s])
				counted[s] = true
			}
		}
	}
	for s, v := range m {
		others := slices.DeleteFunc(v.companions, func(c string) bool { return c == s })
		v.companions = sortedSet(append([]string{s}, others[:min(len(others), maxQuarantine-1)]...))
		v.fraction = v.weight / total
		v.share = shares[s]
		for n, w := range sizes {
			v.chance += (w - v.sizes[n]) * (1 - math.Pow(1-max(minShare, shares[s]), float64(n)))
		}
	}
	return m
}

func sortedSet(l []string) []string {
	l = slices.Clone(l)
	slices.Sort(l)
	return slices.Compact(l)
}

// suspects returns the suspects of an end without common segments, and the weight of this evidence. Requests whose
// response had begun are the only suspects if there are any.
func (e *end) suspects(shares map[string]float64) (l []Suspect, weight float64) {
	var begun, waiting []Suspect
	for _, c := range e.reports {
		for _, x := range c.Suspects {
			x.Segments = slices.DeleteFunc(slices.Clone(x.Segments), func(s string) bool { return shares[s] > commonFraction })
			switch {
			case len(x.Segments) == 0:
			case x.Begun:
				begun = append(begun, x)
			default:
				waiting = append(waiting, x)
			}
		}
	}
	if len(begun) > 0 {
		return begun, begunWeight
	}
	return waiting, waitingWeight
}
