package dispatch

import (
	"sync"
	"time"
)

// Policy of RunTimes.
const (
	runTimeWeight  = 0.125 // of one request in the averages
	deviationsKept = 2     // above the mean, in which nearly all requests run
	maxRunTimeKeys = 4096  // routes beyond these are not learned
)

// RunTimes estimates how long the requests of each route run at upstreams. The zero value knows nothing; it is safe for concurrent use.
type RunTimes struct {
	mu     sync.Mutex
	routes map[string]runTime // by name
}

// runTime holds moving averages of run times and of their distance from the mean.
type runTime struct {
	mean, deviation time.Duration
}

// Observe records the run time of a request that was served.
func (r *RunTimes) Observe(route string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.routes[route]
	switch {
	case !ok && len(r.routes) >= maxRunTimeKeys:
		return
	case !ok:
		t.mean = d
	default:
		off := d - t.mean
		t.mean += time.Duration(runTimeWeight * float64(off))
		t.deviation += time.Duration(runTimeWeight * float64(max(off, -off)-t.deviation))
	}
	if r.routes == nil {
		r.routes = map[string]runTime{}
	}
	r.routes[route] = t
}

// Mean returns the average run time of the requests of a route, or 0 if none has been served.
func (r *RunTimes) Mean(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routes[route].mean
}

// Allowance returns the time in which nearly all requests of a route run: the mean plus two mean deviations. It is 0 for a route
// of which none has been served.
func (r *RunTimes) Allowance(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.routes[route]
	return t.mean + deviationsKept*t.deviation
}
