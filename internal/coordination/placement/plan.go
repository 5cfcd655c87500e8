package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"snipetack/internal/state/order"
)

// plan is the view of the fleet in one step, updated with each proposal of the step.
type plan struct {
	c             *Core
	now           time.Time
	in            Input
	configured    map[string]bool           // artifacts
	copies        map[string]int            // on usable upstreams, those being loaded included, by artifact
	desired       map[string]int            // copies, by artifact, at most the upstreams that could hold it
	perDataCentre map[string]map[string]int // the same as copies, by artifact and data centre
	freeBytes     map[string]int64          // memory left by what is loaded and being loaded, by upstream
	proposed      []order.Intent
}

func newPlan(c *Core, now time.Time, in Input) *plan {
	p := &plan{
		c:             c,
		now:           now,
		in:            in,
		configured:    map[string]bool{},
		copies:        map[string]int{},
		desired:       map[string]int{},
		perDataCentre: map[string]map[string]int{},
		freeBytes:     map[string]int64{},
	}
	for _, a := range in.Artifacts {
		p.configured[a.Name] = true
		p.perDataCentre[a.Name] = map[string]int{}
		t := c.scaler(a.Name)
		t.update(now, c.s, a, in.Demand[a.Name])
		p.desired[a.Name] = min(t.desired, countHosts(a, in.Hosts))
	}
	for _, h := range in.Hosts {
		p.count(h)
	}
	return p
}

// count adds up the copies that an upstream holds and is loading, and the memory that they leave free.
func (p *plan) count(h Host) {
	free := h.Memory
	for a, v := range p.c.state.Upstreams[h.Name].Loaded {
		free -= v.Bytes
		p.countCopy(h, a)
	}
	if o := p.c.open[h.Name]; o != nil && o.intent.Action == order.Load && !p.holds(h, o.intent.Target) {
		free -= o.intent.Bytes
		p.countCopy(h, o.intent.Target)
	}
	p.freeBytes[h.Name] = free
}

// countCopy counts a copy if its upstream is usable and the artifact is configured.
func (p *plan) countCopy(h Host, artifact string) {
	if h.Usable && p.perDataCentre[artifact] != nil {
		p.copies[artifact]++
		p.perDataCentre[artifact][h.DataCentre]++
	}
}

// forget returns the upstreams that are no longer configured and to which no order can take effect any more.
func (p *plan) forget() []string {
	configured := map[string]bool{}
	for _, h := range p.in.Hosts {
		configured[h.Name] = true
	}
	var l []string
	for u := range p.c.state.Upstreams {
		if o := p.c.open[u]; configured[u] || (o != nil && !o.released) {
			continue
		}
		delete(p.c.open, u)
		l = append(l, u)
	}
	slices.Sort(l)
	return l
}

// retry proposes again the intents whose orders have an unknown outcome.
//
// An upstream that does not check fencing numbers gets no order until the last one can no longer take effect.
func (p *plan) retry() {
	for _, h := range p.in.Hosts {
		o := p.c.open[h.Name]
		if o == nil || !o.uncertain || !h.Usable || p.inBackoff(h) || p.full() {
			continue
		}
		if p.now.Before(o.sentAt.Add(p.c.s.OrderLifetime)) && !h.ChecksFencing {
			continue
		}
		if o.intent.Bytes > 0 && !p.c.pulls.take(p.now, o.intent.Bytes) {
			continue
		}
		p.propose(h, o.intent.Action, o.intent.Target, o.intent.Bytes, "the outcome of the last order is not known")
	}
}

// roles proposes the configured roles of the upstreams that have another one.
func (p *plan) roles() {
	for _, h := range p.in.Hosts {
		if h.Role == "" || h.Role == p.c.state.Upstreams[h.Name].Role || !p.available(h) || p.full() {
			continue
		}
		p.propose(h, order.Role, h.Role, 0, "the configuration wants this role")
	}
}

// loads proposes new copies, first of the artifacts with the smallest ratio of current to desired copies.
func (p *plan) loads() {
	l := slices.Clone(p.in.Artifacts)
	slices.SortFunc(l, func(a, b Artifact) int {
		x := p.copies[a.Name] * max(1, p.desired[b.Name])
		y := p.copies[b.Name] * max(1, p.desired[a.Name])
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Name, b.Name))
	})
	for _, a := range l {
		if float64(a.Size) > p.c.s.PullBurst {
			p.recordWait(a, "it is larger than the weight store's burst")
			continue
		}
		for p.copies[a.Name] < p.desired[a.Name] && !p.full() {
			h, ok := p.pickHost(a)
			if !ok {
				p.unloadFor(a)
				break
			}
			if !p.load(a, h) {
				return // artifacts further down must not take the tokens that this one waits for
			}
		}
	}
}

// load proposes one copy on h. It reports false if the pull limiter lacks the tokens for it.
func (p *plan) load(a Artifact, h Host) bool {
	if !p.c.pulls.take(p.now, a.Size) {
		p.recordWait(a, "the weight store's rate is used up")
		return false
	}
	p.propose(h, order.Load, a.Name, a.Size, fmt.Sprintf("%d of %d copies for %.3g requests a second; %d bytes free, %d copies in %s",
		p.copies[a.Name], p.desired[a.Name], p.in.Demand[a.Name], p.freeBytes[h.Name], p.perDataCentre[a.Name][h.DataCentre], h.DataCentre))
	p.freeBytes[h.Name] -= a.Size
	p.countCopy(h, a.Name)
	return true
}

// pickHost returns the available upstream with enough free memory whose data centre has the fewest copies of a; among
// these, the one with the most free memory.
func (p *plan) pickHost(a Artifact) (Host, bool) {
	var best Host
	found := false
	for _, h := range p.in.Hosts {
		if !p.available(h) || !canHost(a, h) || p.holds(h, a.Name) || p.freeBytes[h.Name] < a.Size {
			continue
		}
		if !found || p.better(a.Name, h, best) {
			best, found = h, true
		}
	}
	return best, found
}

// better reports whether pickHost prefers a to b.
func (p *plan) better(artifact string, a, b Host) bool {
	c := p.perDataCentre[artifact]
	return cmp.Or(
		cmp.Compare(c[a.DataCentre], c[b.DataCentre]),
		cmp.Compare(p.freeBytes[b.Name], p.freeBytes[a.Name]),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

// unloadFor proposes to unload a spare copy on an upstream whose spare copies together free enough memory for a; if one
// is not enough, later steps propose the others. Spare copies stay loaded until their memory is needed.
func (p *plan) unloadFor(a Artifact) {
	for _, h := range p.in.Hosts {
		if !p.available(h) || !canHost(a, h) || p.holds(h, a.Name) {
			continue
		}
		l := p.unloadable(h)
		freeable := p.freeBytes[h.Name]
		for _, s := range l {
			freeable += p.c.state.Upstreams[h.Name].Loaded[s].Bytes
		}
		if freeable < a.Size || len(l) == 0 {
			continue
		}
		s := l[0]
		reason := fmt.Sprintf("%d of %d copies are spare, and %s needs room", p.copies[s]-p.desired[s], p.copies[s], a.Name)
		if !p.configured[s] {
			reason = "it is no longer configured, and " + a.Name + " needs room"
		}
		p.propose(h, order.Unload, s, 0, reason)
		p.copies[s]--
		if c := p.perDataCentre[s]; c != nil {
			c[h.DataCentre]--
		}
		return
	}
	p.recordWait(a, "no usable upstream has room, and no copy that makes room is spare for long enough")
}

// unloadable returns the artifacts on an upstream that are no longer configured, or that have more copies than desired
// and have been loaded for MinStay.
func (p *plan) unloadable(h Host) []string {
	var l []string
	for a, v := range p.c.state.Upstreams[h.Name].Loaded {
		if !p.configured[a] {
			l = append(l, a)
			continue
		}
		if p.copies[a] > p.desired[a] && p.now.Sub(v.Since) >= p.c.s.MinStay {
			l = append(l, a)
		}
	}
	slices.Sort(l)
	return l
}

// propose adds an intent to the step and records the decision with its reason.
func (p *plan) propose(h Host, a order.Action, target string, bytes int64, reason string) {
	p.proposed = append(p.proposed, order.Intent{Term: p.c.term, Upstream: h.Name, Action: a, Target: target, Bytes: bytes, At: p.now})
	p.c.record(Decision{At: p.now, Upstream: h.Name, Action: a, Target: target, Reason: reason})
}

// recordWait records why an artifact can't be loaded in this step.
func (p *plan) recordWait(a Artifact, reason string) {
	p.c.record(Decision{At: p.now, Action: order.Load, Target: a.Name, Reason: reason})
}

// available reports whether an upstream can get an order now: it is usable, has no other order and is not in backoff.
func (p *plan) available(h Host) bool {
	if !h.Usable || p.c.open[h.Name] != nil {
		return false
	}
	if p.inBackoff(h) {
		return false
	}
	return !slices.ContainsFunc(p.proposed, func(i order.Intent) bool { return i.Upstream == h.Name })
}

func (p *plan) inBackoff(h Host) bool {
	t, ok := p.c.failedAt[h.Name]
	return ok && p.now.Sub(t) < p.c.s.Backoff
}

func (p *plan) holds(h Host, artifact string) bool {
	_, ok := p.c.state.Upstreams[h.Name].Loaded[artifact]
	return ok
}

// countHosts returns how many usable upstreams could hold an artifact, going by their total memory.
func countHosts(a Artifact, l []Host) int {
	n := 0
	for _, h := range l {
		if h.Usable && canHost(a, h) && h.Memory >= a.Size {
			n++
		}
	}
	return n
}

func canHost(a Artifact, h Host) bool {
	return len(a.Services) == 0 || slices.Contains(a.Services, h.Service)
}

// full reports whether the step has proposed as many intents as it may.
func (p *plan) full() bool {
	return len(p.proposed) >= p.c.s.MaxIntentsPerStep
}
