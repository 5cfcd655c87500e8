package batchrun

import (
	"time"

	"snipetack/internal/coordination/filler"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
)

// item is what the Runner knows of an open item beside the docket.
type item struct {
	run     *run      // nil while it does not run
	partial *partial  // of earlier runs; nil when there are none
	pause   time.Time // no run before
	avoid   []string  // upstreams at which it has failed
	ending  bool      // the result is being committed
	plan    *plan.Plan
	route   *plan.Route // in plan
}

// items holds the state of all items of open jobs.
type items map[string][]item

// of returns the items of a job.
func (l items) of(j *docket.Job) []item {
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

// keep drops the items of jobs that are not open.
func (l items) keep(open map[string]bool) {
	for id := range l {
		if !open[id] {
			delete(l, id)
		}
	}
}

// routeOf returns the item's route in a configuration; it is looked up once in each.
func (i *item) routeOf(p *plan.Plan, host, path string) *plan.Route {
	if i.plan != p {
		i.plan, i.route = p, p.Route(host, path)
	}
	return i.route
}
