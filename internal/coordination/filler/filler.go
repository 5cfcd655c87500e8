package filler

import (
	"slices"
	"time"
)

// Policy of a Plan.
const (
	reserve   = 1               // places of an upstream left to the next online request
	urgentDue = 8 * time.Second // items due sooner may take the reserve too
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

// Run is an item that runs.
type Run struct {
	Key      Key
	Upstream string
	Due      time.Time
}

// Want is an item that waits.
type Want struct {
	Key     Key
	Service string
	Due     time.Time
}

// Start sends an item to an upstream.
type Start struct {
	Key      Key
	Upstream string
}

// Plan returns the items to start, in order of their due times, and the runs that must give way.
func Plan(now time.Time, rooms []Room, running []Run, waiting []Want) (starts []Start, stops []Key) {
	used := map[string][]Run{}
	for _, r := range running {
		used[r.Upstream] = append(used[r.Upstream], r)
	}
	free := map[string]int{}
	services := map[string][]Room{}
	for _, r := range rooms {
		n := r.Slots - r.Online - len(used[r.ID])
		if n < 0 {
			stops = append(stops, latest(used[r.ID], min(-n, len(used[r.ID])))...)
		}
		if !r.Closed {
			free[r.ID] = n
			services[r.Service] = append(services[r.Service], r)
		}
	}
	slices.SortStableFunc(waiting, func(a, b Want) int { return a.Due.Compare(b.Due) })
	for _, w := range waiting {
		keep := reserve
		if w.Due.Sub(now) < urgentDue {
			keep = 0
		}
		if id := freest(services[w.Service], free); id != "" && free[id] > keep {
			free[id]--
			starts = append(starts, Start{Key: w.Key, Upstream: id})
		}
	}
	return starts, stops
}

// latest returns the n runs that are due last.
func latest(l []Run, n int) []Key {
	l = slices.Clone(l)
	slices.SortStableFunc(l, func(a, b Run) int { return b.Due.Compare(a.Due) })
	var k []Key
	for _, r := range l[:n] {
		k = append(k, r.Key)
	}
	return k
}

// freest returns the upstream with the most free places.
func freest(l []Room, free map[string]int) string {
	best := ""
	for _, r := range l {
		if best == "" || free[r.ID] > free[best] {
			best = r.ID
		}
	}
	return best
}
