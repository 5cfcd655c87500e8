package docket

import (
	"sync"
	"time"
)

// Outcome tells how an item ended.
type Outcome uint8

// The outcomes; an item that waits or runs is Open.
const (
	Open     Outcome = 0
	Complete Outcome = 1
	Errored  Outcome = 2
)

// Job is a batch job.
type Job struct {
	ID       string
	Account  string
	Route    string    // name
	Host     string    // that the items are sent to
	Accepted time.Time // by the clock of the leader that took it
	Items    []Item
	Ended    bool  // by its caller
	Listed   []int // items in the order of their results
}

// Item is one request of a job.
type Item struct {
	ID       string
	Path     string
	Headers  map[string]string
	Body     []byte
	Tokens   int // of the prompt and at most of the answer
	Failures int // answers that say the run failed
	Outcome  Outcome
	Output   string
}

// Docket holds the jobs; it is safe for concurrent use.
type Docket struct {
	mu      sync.RWMutex
	jobs    map[string]*Job
	order   []string // ids in the order of acceptance
	changed chan struct{}
}

// New returns an empty Docket.
func New() *Docket {
	return &Docket{jobs: map[string]*Job{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (d *Docket) Changed() <-chan struct{} {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changed
}

// View calls f with the jobs in the order of acceptance; f must keep nothing and change nothing.
func (d *Docket) View(f func(j *Job) bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, id := range d.order {
		if !f(d.jobs[id]) {
			return
		}
	}
}

// Read calls f with a job and reports whether there is one; f must keep nothing and change nothing.
func (d *Docket) Read(id string, f func(j *Job)) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	j, ok := d.jobs[id]
	if ok {
		f(j)
	}
	return ok
}

// Done reports whether nothing of a job is left to do.
func (j *Job) Done() bool {
	return j.Ended || len(j.Listed) == len(j.Items)
}

// waiting returns the tokens of an account's open items on a route.
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
