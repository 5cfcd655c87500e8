package batchrun

import (
	"slices"
	"time"

	"snipetack/internal/coordination/filler"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
)

// item is the Runner's state of an open item, in addition to the docket's.
type item struct {
	run        *run        // nil when it is not running
	partial    *partial    // nil before the first run and after a failed one
	notBefore  time.Time   // no run is started before
	avoid      []string    // ids of upstreams where a run failed, or that refused the item although they had free slots
	emptyRuns  int         // consecutive ones with the outcome empty
	fruitless  int         // consecutive runs that brought no event and that no full upstream refused
	committing bool        // the result is being committed; no run is started
	plan       *plan.Plan  // for which route was looked up
	route      *plan.Route // in plan; nil when it has none

	targets  []plan.Target // of route, those whose upstreams can hold the item
	homes    plan.Homes    // of route and account
	parsed   bool          // segments is set
	segments []string      // of the prompt, without the item's own
}

// promptSegments returns the segments of the item's prompt; the first result of parse is cached.
func (i *item) promptSegments(parse func(headers map[string]string) []string, headers map[string]string) []string {
	if !i.parsed {
		i.parsed, i.segments = true, parse(headers)
	}
	return i.segments
}

// items holds the state of the items of open jobs, by job id and in the job's order.
type items map[string][]item

// ofJob returns the items of a job and adds them when they are missing.
func (l items) ofJob(j *docket.Job) []item {
	x, ok := l[j.ID]
	if !ok {
		x = make([]item, len(j.Items))
		l[j.ID] = x
	}
	return x
}

// get returns an item, or nil when its job is not open any more.
func (l items) get(k filler.Key) *item {
	x := l[k.Job]
	if k.Item >= len(x) {
		return nil
	}
	return &x[k.Item]
}

// retain removes the items of jobs that are not open.
func (l items) retain(open map[string]bool) {
	for id := range l {
		if !open[id] {
			delete(l, id)
		}
	}
}

// outputBytes returns the size of the outputs of all items that are not complete.
func (l items) outputBytes() int {
	n := 0
	for _, x := range l {
		for i := range x {
			if t := x[i].partial; t != nil {
				n += len(t.output)
			}
		}
	}
	return n
}

// lookUp finds the item's route in a configuration; the result of the last call is cached.
func (i *item) lookUp(p *plan.Plan, host, account string, x *docket.Item) {
	if i.plan == p {
		return
	}
	i.plan, i.route, i.targets = p, p.Route(host, x.Path), nil
	if i.route != nil && i.route.Kind != plan.Batch { // accepted by an earlier build
		i.route = nil
	}
	if i.route != nil {
		i.targets = p.Holding(i.route, x.Tokens)
		i.homes = i.route.Homes.Meet(p.Accounts[account].Homes)
	}
}

// avoidUpstream adds an upstream to those that the item avoids.
func (i *item) avoidUpstream(id string) {
	if !slices.Contains(i.avoid, id) {
		i.avoid = append(i.avoid, id)
	}
}

// served records when each service last had an upstream.
type served map[string]map[string]time.Time // by service and region

// add records the services of a list of upstreams.
func (s served) add(now time.Time, l []roster.Upstream, regions map[string]string) {
	for _, u := range l {
		if s[u.Service] == nil {
			s[u.Service] = map[string]time.Time{}
		}
		s[u.Service][regions[u.Zone]] = now
	}
}

// without reports whether none of the targets has had an upstream in homes for d; began is when the record began.
func (s served) without(now, began time.Time, d time.Duration, targets []plan.Target, homes plan.Homes) bool {
	if now.Sub(began) < d {
		return false
	}
	return !slices.ContainsFunc(targets, func(t plan.Target) bool {
		for region, at := range s[t.Service] {
			if homes.Allow(region) && now.Sub(at) < d {
				return true
			}
		}
		return false
	})
}
