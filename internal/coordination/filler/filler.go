package filler

import (
	"slices"
	"time"
)

// Key names an item.
type Key struct {
	Job  string
	Item int
}

// Room is what an upstream has.
type Room struct {
	ID      string
	Service string
	Slots   int
	Online  int  // online requests in flight, from all VMs
	Closed  bool // takes no batch items now
}

// Task is an item with what its place in the order depends on.
type Task struct {
	Key  Key
	Due  time.Time
	Left time.Duration // that it still has to run, as far as is known
}

// Run is an item that runs.
type Run struct {
	Task
	Upstream string
}

// Want is an item that waits.
type Want struct {
	Task
	Service string
	Avoid   []string // upstreams at which it failed; another one is better
}

// Start sends an item to an upstream.
type Start struct {
	Key      Key
	Upstream string
}

// late reports whether an item will miss its due time even if it runs from now on.
func (t Task) late(now time.Time) bool {
	return now.Add(t.Left).After(t.Due)
}

// before orders items: those that can be on time by their due times, then the others by theirs.
func before(now time.Time, a, b Task) int {
	x, y := a.late(now), b.late(now)
	switch {
	case x == y:
		return a.Due.Compare(b.Due)
	case x:
		return 1
	}
	return -1
}

// Decision is what to start and to stop.
type Decision struct {
	Starts    []Start // the most urgent first
	Preempted []Key   // runs that give way to online requests
	Yielding  []Key   // late runs that give way to items that can be on time
}

// Plan decides what to start and to stop.
//
// Items take every free place, as they give way at once. Runs give way to online requests, and those that will be late anyway to items that can still be on time.
func Plan(now time.Time, rooms []Room, running []Run, waiting []Want) Decision {
	var d Decision
	used := map[string][]Run{}
	for _, r := range running {
		used[r.Upstream] = append(used[r.Upstream], r)
	}
	services := map[string]*places{}
	for _, r := range rooms {
		n := r.Slots - r.Online - len(used[r.ID])
		if n < 0 {
			d.Preempted = append(d.Preempted, last(now, used[r.ID], -n)...)
		}
		if r.Closed {
			continue
		}
		s := services[r.Service]
		if s == nil {
			s = &places{}
			services[r.Service] = s
		}
		s.add(r.ID, n)
	}
	unplaced := map[string]int{}
	for _, w := range ordered(now, waiting) {
		id := ""
		if s := services[w.Service]; s != nil {
			id = s.take(w.Avoid)
		}
		switch {
		case id != "":
			d.Starts = append(d.Starts, Start{Key: w.Key, Upstream: id})
		case !w.late(now):
			unplaced[w.Service]++
		}
	}
	d.Yielding = yield(now, rooms, used, unplaced, d.Preempted)
	return d
}

// yield returns the late runs that make room for items that can be on time.
func yield(now time.Time, rooms []Room, used map[string][]Run, unplaced map[string]int, stopped []Key) []Key {
	var l []Key
	for _, r := range rooms {
		for _, x := range used[r.ID] {
			if unplaced[r.Service] > 0 && !r.Closed && x.late(now) && !slices.Contains(stopped, x.Key) {
				unplaced[r.Service]--
				l = append(l, x.Key)
			}
		}
	}
	return l
}

// last returns the n runs that matter least.
func last(now time.Time, l []Run, n int) []Key {
	l = slices.Clone(l)
	slices.SortStableFunc(l, func(a, b Run) int { return before(now, b.Task, a.Task) })
	var k []Key
	for _, r := range l[:min(n, len(l))] {
		k = append(k, r.Key)
	}
	return k
}

// ordered returns the items that can be on time by their due times, then the others by theirs.
func ordered(now time.Time, l []Want) []*Want {
	timely, late := make([]*Want, 0, len(l)), make([]*Want, 0, len(l))
	for i := range l {
		if l[i].late(now) {
			late = append(late, &l[i])
		} else {
			timely = append(timely, &l[i])
		}
	}
	byDue := func(a, b *Want) int { return a.Due.Compare(b.Due) }
	slices.SortStableFunc(timely, byDue)
	slices.SortStableFunc(late, byDue)
	return append(timely, late...)
}

// places are the free places of a service's upstreams.
type places struct {
	ids  []string
	free []int // by upstream; negative where online requests wait for room
	sum  int   // of those that are positive
}

func (p *places) add(id string, free int) {
	p.ids, p.free = append(p.ids, id), append(p.free, free)
	p.sum += max(0, free)
}

// take takes a place at the upstream that has the most, or returns ""; one to avoid is chosen only when no other is known.
func (p *places) take(avoid []string) string {
	if p.sum == 0 {
		return ""
	}
	best, good := -1, false
	for i, id := range p.ids {
		g := len(avoid) == 0 || !slices.Contains(avoid, id)
		if best < 0 || g && !good || g == good && p.free[i] > p.free[best] {
			best, good = i, g
		}
	}
	if p.free[best] <= 0 {
		return ""
	}
	p.free[best]--
	p.sum--
	return p.ids[best]
}
