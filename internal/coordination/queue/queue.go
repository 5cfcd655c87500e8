package queue

import (
	"context"
	"sync"
	"time"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// capacityInterval is the time between two updates of the capacity while requests wait.
const capacityInterval = 50 * time.Millisecond

// Capacity is the capacity of a service's upstreams as one VM knows it.
type Capacity struct {
	Slots  int // of all usable upstreams
	Others int // in flight from other VMs, as last reported
	Limit  int // requests that this VM may have in flight, by the adaptive limits of the upstreams
	VMs    int // that may send to the service, this one included
}

// CapacityProvider reports the capacity of a service's upstreams.
type CapacityProvider interface {
	Capacity(service string) Capacity
}

// Request holds what the queue needs to know of a request.
type Request struct {
	Class Class
	Work  float64 // cost relative to other requests, such as output tokens
	Bytes int     // size of the body, which stays in memory while the request waits
}

// Queue holds back requests at one VM until the service's upstreams have free slots; it is safe for concurrent use.
type Queue struct {
	provider CapacityProvider
	mu       sync.Mutex // guards all below
	services map[string]*Service
	waiting  map[*Ticket]chan *result.Failure // closed without a value when started
	wakeup   chan struct{}
}

// New returns a Queue; it needs Run to learn of capacity that becomes free elsewhere while requests wait.
func New(r CapacityProvider) *Queue {
	return &Queue{
		provider: r,
		services: map[string]*Service{},
		waiting:  map[*Ticket]chan *result.Failure{},
		wakeup:   make(chan struct{}, 1),
	}
}

// Run updates the capacity of services with waiting requests until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	t := time.NewTicker(capacityInterval)
	defer t.Stop()
	for {
		if q.updateCapacity() {
			t.Reset(capacityInterval)
		} else {
			t.Stop()
		}
		select {
		case <-t.C:
		case <-q.wakeup:
		case <-ctx.Done():
			return nil
		}
	}
}

// Enter waits for a request's turn; leave must be called when the request has ended. The deadline of ctx counts for the
// whole request: a request that is not expected to meet it is refused immediately, and one that waits is refused as soon as less than the mean
// run time is left.
//
// It returns a result.Failure with the code QueueFull, QueueDeadline or, if ctx ended just as the request was started,
// DeadlineExceeded; leave is then nil.
func (q *Queue) Enter(ctx context.Context, s catalog.Service, a catalog.Account, r Request) (leave func(), err error) {
	t := &Ticket{Account: a.Name, Weight: a.Weight, Class: r.Class, Work: r.Work, Bytes: r.Bytes}
	if t.Weight <= 0 {
		t.Weight = 1
	}
	t.Deadline, _ = ctx.Deadline()
	w, runTime := q.enter(s, t)
	var tooLate <-chan time.Time // never without a deadline
	if !t.Deadline.IsZero() {
		l := time.NewTimer(time.Until(t.Deadline) - runTime)
		defer l.Stop()
		tooLate = l.C
	}
	select {
	case f, refused := <-w:
		if refused {
			return nil, f
		}
		return func() { q.done(s.Name, t) }, nil
	case <-tooLate:
	case <-ctx.Done():
	}
	return nil, q.abandon(s.Name, t, w)
}

// Waiting returns how many requests wait, by service.
func (q *Queue) Waiting() map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := map[string]int{}
	for n, s := range q.services {
		if l := s.Len(); l > 0 {
			m[n] = l
		}
	}
	return m
}

// enter queues a ticket and returns the channel of its outcome, and the mean run time of the service's requests.
func (q *Queue) enter(c catalog.Service, t *Ticket) (outcome chan *result.Failure, runTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := make(chan *result.Failure, 1)
	q.waiting[t] = w
	s := q.service(c.Name)
	s.SetLimit(c.QueueLimit)
	n := time.Now()
	q.apply(c.Name, s.SetCapacity(n, q.capacity(c.Name)))
	q.apply(c.Name, s.Enter(n, t))
	if s.Len() > 0 {
		q.wake()
	}
	return w, s.runTime
}

func (q *Queue) done(service string, t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(service)
	n := time.Now()
	q.apply(service, s.Done(n, t))
	q.apply(service, s.SetCapacity(n, q.capacity(service)))
}

// abandon gives up a wait whose caller left or whose deadline can't be met any more.
func (q *Queue) abandon(service string, t *Ticket, w chan *result.Failure) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.service(service)
	if s.Leave(t) {
		delete(q.waiting, t)
		return result.New(result.QueueDeadline, "no upstream of service %s was free in time", service).After(max(s.EstimateWait(t), minRetryAfter))
	}
	if f, refused := <-w; refused {
		return f
	}
	q.apply(service, s.Done(time.Now(), t))
	return result.New(result.DeadlineExceeded, "the caller left or its deadline passed in the queue of service %s", service)
}

// updateCapacity starts what the current capacity of each service allows and reports whether requests still wait.
func (q *Queue) updateCapacity() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := false
	for n, s := range q.services {
		if s.Len() > 0 {
			q.apply(n, s.SetCapacity(time.Now(), q.capacity(n)))
		}
		wait = wait || s.Len() > 0
	}
	return wait
}

func (q *Queue) apply(service string, e Effects) {
	for _, t := range e.Started {
		close(q.waiting[t])
		delete(q.waiting, t)
	}
	for _, r := range e.Refused {
		q.waiting[r.Ticket] <- refusal(service, r)
		delete(q.waiting, r.Ticket)
	}
}

func (q *Queue) service(name string) *Service {
	s := q.services[name]
	if s == nil {
		s = NewService()
		q.services[name] = s
	}
	return s
}

func (q *Queue) capacity(service string) int {
	return Share(q.provider.Capacity(service))
}

func (q *Queue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// Share returns how many requests a VM may have in flight: the slots that the other VMs leave free, but no less than an
// equal share of all slots and no more than the VM's limit. It is never less than 1.
func Share(r Capacity) int {
	if r.Slots <= 0 {
		return 1 // one request goes through, so that its error tells why no upstream is usable
	}
	v := max(1, r.VMs)
	return max(1, min(r.Limit, max(r.Slots-r.Others, (r.Slots+v-1)/v)))
}

func refusal(service string, r Refusal) *result.Failure {
	if r.Code == result.QueueFull {
		return result.New(r.Code, "the queue of service %s has no room for account %s", service, r.Ticket.Account).After(r.After)
	}
	return result.New(r.Code, "the deadline can't be met in the queue of service %s", service).After(r.After)
}
