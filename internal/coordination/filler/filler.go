package filler

import (
	"cmp"
	"slices"
	"time"

	"snipetack/internal/state/plan"
)

// Key identifies an item by its job and its index there.
type Key struct {
	Job  string
	Item int
}

// Capacity holds how many slots an upstream has and how many online requests occupy them.
type Capacity struct {
	ID      string
	Service string
	Version string // of its software
	Region  string // "" if it is not known
	Slots   int
	Online  int  // online requests in flight, from all VMs
	Closed  bool // takes no batch items now; running ones continue
	Settled bool // Closed, and no online requests come either: no run is preempted for headroom

	// Headroom is how many slots to leave free for online requests that are on their way: the counts are up to a tenth of a second old.
	// Urgent items use these slots.
	Headroom int

	// KeepRuns says that the headroom binds only items that start; runs are preempted by online requests alone.
	KeepRuns bool

	// Turn is the time in which an item that gives way has its turn again; see Forecast.Turn.
	Turn time.Duration
}

// Task is an item with what determines its urgency.
type Task struct {
	Key  Key
	Due  time.Time
	Left time.Duration // estimated remaining run time; 0 when unknown

	Tokens int // size of the item
}

// Run is a running item.
type Run struct {
	Task
	Upstream string
}

// Pending is an item that waits for a slot.
type Pending struct {
	Task
	Service string
	Avoid   []string // upstreams at which it failed; used only when the service has no other

	// Pinned says that the item has output of Version, which it loses at an upstream of another one; such an upstream is used only when
	// the service has no other.
	Pinned  bool
	Version string

	Homes plan.Homes // an upstream elsewhere is never used
}

// Start assigns an item to an upstream.
type Start struct {
	Key      Key
	Upstream string
}

// Late reports whether an item will miss its due time even if it runs without a break from now on.
func (t Task) Late(now time.Time) bool {
	return now.Add(t.Left).After(t.Due)
}

// urgent reports whether an item has to run now to be on time: it could miss its due time if it waited for its next turn.
func (t Task) urgent(now time.Time, turn time.Duration) bool {
	return !t.Late(now) && t.Due.Sub(now)-t.Left < turn
}

// before orders runs that can be on time before late ones, and both groups by due time. The due time is what was promised when a job was accepted; a late
// item gets the slots that the others leave, and ends at the latest when its route allows to give it up.
func before(now time.Time, a, b Task) int {
	x, y := a.Late(now), b.Late(now)
	switch {
	case x == y:
		return a.Due.Compare(b.Due)
	case x:
		return 1
	}
	return -1
}

// Decision lists the items to start and to stop.
type Decision struct {
	Starts    []Start // the most urgent first
	Preempted []Key   // runs stopped for online requests
	Displaced []Key   // late runs stopped for pending items that can be on time
}

// Plan decides what to start and to stop.
//
// Items take the free slots beyond the headroom, since they can be preempted immediately, and urgent ones also the headroom. The
// least urgent runs are preempted for online requests and, as long as they can be on time later and KeepRuns is not set, for the headroom; runs that will be late
// anyway are preempted for pending items that can still be on time. Those pending items start in a later pass, once the slots are free.
func Plan(now time.Time, capacities []Capacity, running []Run, pending []Pending) Decision {
	var d Decision
	used := map[string][]Run{}
	for _, r := range running {
		used[r.Upstream] = append(used[r.Upstream], r)
	}
	services := map[string]*freeSlots{}
	for _, r := range capacities {
		n := r.Slots - r.Online - len(used[r.ID])
		if n < 0 {
			d.Preempted = append(d.Preempted, leastUrgent(now, used[r.ID], -n)...)
		} else if n < r.Headroom && !r.KeepRuns && !r.Settled {
			d.Preempted = append(d.Preempted, notUrgent(now, r.Turn, leastUrgent(now, used[r.ID], 1), used[r.ID])...)
		}
		if r.Closed {
			continue
		}
		s := services[r.Service]
		if s == nil {
			s = &freeSlots{turn: r.Turn}
			services[r.Service] = s
		}
		s.add(r, n)
	}
	unassigned := map[string][]*Pending{}
	for _, w := range ordered(now, pending) {
		id := ""
		if s := services[w.Service]; s != nil {
			id = s.take(w, w.urgent(now, s.turn))
		}
		switch {
		case id != "":
			d.Starts = append(d.Starts, Start{Key: w.Key, Upstream: id})
		case !w.Late(now):
			unassigned[w.Service] = append(unassigned[w.Service], w)
		}
	}
	d.Displaced = displaced(now, capacities, used, unassigned, d.Preempted)
	return d
}

// notUrgent returns those of the keys whose runs can still be on time when they go on later.
func notUrgent(now time.Time, turn time.Duration, keys []Key, l []Run) []Key {
	return slices.DeleteFunc(keys, func(k Key) bool {
		i := slices.IndexFunc(l, func(r Run) bool { return r.Key == k })
		return l[i].urgent(now, turn)
	})
}

// displaced returns the late runs to stop for unassigned pending items that can be on time; unassigned has these by service
// and stopped lists the runs that are preempted already.
func displaced(now time.Time, capacities []Capacity, used map[string][]Run, unassigned map[string][]*Pending, stopped []Key) []Key {
	var l []Key
	for _, r := range capacities {
		for _, x := range used[r.ID] {
			if len(unassigned[r.Service]) == 0 || r.Closed || !x.Late(now) || slices.Contains(stopped, x.Key) {
				continue
			}
			i := slices.IndexFunc(unassigned[r.Service], func(w *Pending) bool { return w.Homes.Allow(r.Region) })
			if i >= 0 {
				unassigned[r.Service] = slices.Delete(unassigned[r.Service], i, i+1)
				l = append(l, x.Key)
			}
		}
	}
	return l
}

// leastUrgent returns the n least urgent runs.
func leastUrgent(now time.Time, l []Run, n int) []Key {
	l = slices.Clone(l)
	slices.SortStableFunc(l, func(a, b Run) int { return before(now, b.Task, a.Task) })
	var k []Key
	for _, r := range l[:min(n, len(l))] {
		k = append(k, r.Key)
	}
	return k
}

// ordered returns the pending items that can be on time before late ones, and both groups by their latest start: by due time alone, long items
// would start too late.
func ordered(now time.Time, l []Pending) []*Pending {
	timely, late := make([]*Pending, 0, len(l)), make([]*Pending, 0, len(l))
	for i := range l {
		if l[i].Late(now) {
			late = append(late, &l[i])
		} else {
			timely = append(timely, &l[i])
		}
	}
	byStart := func(a, b *Pending) int { return cmp.Compare(a.Due.Sub(now)-a.Left, b.Due.Sub(now)-b.Left) }
	slices.SortStableFunc(timely, byStart)
	slices.SortStableFunc(late, byStart)
	return append(timely, late...)
}

// freeSlots counts the free slots of a service's upstreams.
type freeSlots struct {
	ids      []string
	versions []string
	regions  []string
	free     []int // by upstream; negative where runs have to be preempted for online requests
	headroom []int // by upstream
	sum      int   // of the positive counts
	beyond   int   // of those, how many are not headroom
	turn     time.Duration
}

func (p *freeSlots) add(c Capacity, free int) {
	p.ids, p.versions, p.regions = append(p.ids, c.ID), append(p.versions, c.Version), append(p.regions, c.Region)
	p.free, p.headroom = append(p.free, free), append(p.headroom, c.Headroom)
	p.sum += max(0, free)
	p.beyond += max(0, free-c.Headroom)
}

// take takes a slot at the upstream with the most free ones and returns its id, or "" when there is none; only urgent items get slots of the
// headroom. An upstream that the item avoids, or of another version than it is pinned to, is considered only when the service has no other, even if
// the others are full.
func (p *freeSlots) take(w *Pending, urgent bool) string {
	if p.sum == 0 || !urgent && p.beyond == 0 {
		return ""
	}
	best, good := -1, false
	left := func(i int) int {
		if urgent {
			return p.free[i]
		}
		return p.free[i] - p.headroom[i]
	}
	for i, id := range p.ids {
		if !w.Homes.Allow(p.regions[i]) {
			continue
		}
		g := (!w.Pinned || p.versions[i] == w.Version) && (len(w.Avoid) == 0 || !slices.Contains(w.Avoid, id))
		if best < 0 || g && !good || g == good && left(i) > left(best) {
			best, good = i, g
		}
	}
	if best < 0 || left(best) <= 0 {
		return ""
	}
	if p.free[best] > p.headroom[best] {
		p.beyond--
	}
	p.free[best]--
	p.sum--
	return p.ids[best]
}
