package docket

import (
	"sync"
	"time"
)

// Outcome is the state of an item's result.
type Outcome uint8

// The outcomes; numbers are stored.
const (
	Open     Outcome = 0 // the item is pending or runs
	Complete Outcome = 1 // Output holds the response
	Errored  Outcome = 2 // the item will not run again
)

// Job is a batch job.
type Job struct {
	ID       string
	Account  string
	Route    string    // name of the route; Command.MaxWaiting applies to each account on it
	Host     string    // of the items' requests; selects the route together with Item.Path
	Accepted time.Time // by the clock of the leader that accepted it
	Items    []Item
	Ended    bool // the caller has ended the job; its open items are stopped and not run again
	// ResultOrder holds the indexes of the items that have a result, in the order in which the results were committed.
	ResultOrder []int
}

// Item is one request of a job.
type Item struct {
	ID       string
	Path     string
	Headers  map[string]string
	Body     []byte // of the request; nil once the item has a result
	Tokens   int    // prompt tokens plus max response tokens
	Failures int    // runs that ended with a failure response
	Outcome  Outcome
	Output   string // response, if Outcome is Complete
}

// Docket holds the jobs. It is safe for concurrent use.
type Docket struct {
	mu      sync.RWMutex
	jobs    map[string]*Job
	order   []string // ids in the order of acceptance
	changed chan struct{}

	timePerToken time.Duration // run time of items per token, a moving average; 0 before the first result
	bodyBytes    int           // of the request bodies of all items without a result
}

// New returns an empty Docket.
func New() *Docket {
	return &Docket{jobs: map[string]*Job{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the next command is applied or a snapshot is restored.
func (d *Docket) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// TimePerToken returns the moving average of the run time of items per token; it is 0 before the first result.
func (d *Docket) TimePerToken() time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.timePerToken
}

// BodyBytes returns the size of the request bodies that are kept: those of all items without a result.
func (d *Docket) BodyBytes() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.bodyBytes
}

// View calls f with each job, in the order of acceptance, until f returns false. f runs under the read lock and must
// neither retain nor change the job.
func (d *Docket) View(f func(j *Job) bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, id := range d.order {
		if !f(d.jobs[id]) {
			return
		}
	}
}

// Read calls f with the job of an id, if there is one, and reports whether there is. f runs under the read lock and must
// neither retain nor change the job.
func (d *Docket) Read(id string, f func(j *Job)) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	j, ok := d.jobs[id]
	if ok {
		f(j)
	}
	return ok
}

// Done reports whether the job needs no more runs: every item has a result or the caller has ended the job.
func (j *Job) Done() bool {
	return j.Ended || len(j.ResultOrder) == len(j.Items)
}

// BodyBytes returns the size of the job's request bodies that are kept.
func (j *Job) BodyBytes() int {
	n := 0
	for i := range j.Items {
		n += len(j.Items[i].Body)
	}
	return n
}

// Waiting returns the tokens of an account's open items on a route, those that run included.
func (d *Docket) Waiting(account, route string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.waiting(account, route)
}

func (d *Docket) waiting(account, route string) int {
	n := 0
	for _, j := range d.jobs {
		if j.Account != account || j.Route != route || j.Ended {
			continue
		}
		for i := range j.Items {
			if j.Items[i].Outcome == Open {
				n += j.Items[i].Tokens
			}
		}
	}
	return n
}
