package queue

import (
	"time"

	"snipetack/internal/state/result"
)

// Bounds of one service's queue at a VM.
const (
	defaultLimit     = 256                    // waiting requests, if the configuration sets no limit
	bytesLimit       = 256 << 20              // total bytes of waiting requests
	runTimeWeight    = 0.1                    // weight of the newest run in the mean run time and the mean work
	maxIdleFlowDelay = 250 * time.Millisecond // max delay of the first request of an account that was idle, for what the account used before
	minRetryAfter    = time.Second            // Retry-After has whole seconds here
)

// Class is a strict priority: a batch request starts only while no online request waits.
type Class uint8

// The classes of work.
const (
	Online Class = iota
	Batch
)

// Ticket is one request in a queue.
type Ticket struct {
	Account  string
	Weight   float64
	Class    Class
	Work     float64 // cost relative to other requests, such as output tokens
	Bytes    int
	Deadline time.Time // when the response is due; zero means no deadline
	started  time.Time
}

// Refusal is a ticket that will not be served.
type Refusal struct {
	Ticket *Ticket
	Code   result.Code
	After  time.Duration // how long to wait before a retry may succeed
}

// Effects are the tickets that a call on a Service started or refused.
type Effects struct {
	Started []*Ticket
	Refused []Refusal
}

// Service is the queue of one service at one VM; it is not safe for concurrent use.
type Service struct {
	limit    int // max waiting requests
	classes  [2]*Fair[*Ticket]
	bytes    int
	inFlight int
	capacity int
	runTime  time.Duration // mean time from start to end
	work     float64       // mean work of an ended request
}

// NewService returns an empty queue without capacity.
func NewService() *Service {
	return &Service{limit: defaultLimit, classes: [2]*Fair[*Ticket]{NewFair[*Ticket](), NewFair[*Ticket]()}}
}

// SetLimit sets how many requests may wait; zero or less sets the default.
func (s *Service) SetLimit(n int) {
	if n <= 0 {
		n = defaultLimit
	}
	s.limit = n
}

// SetCapacity sets how many requests may be in flight and starts the tickets that this allows.
func (s *Service) SetCapacity(now time.Time, n int) Effects {
	s.capacity = n
	return s.start(now, Effects{})
}

// Enter starts or queues a ticket, or refuses it if its deadline can't be met. In a full queue it refuses either t or, to
// make space for t, others that wait (see evict).
func (s *Service) Enter(now time.Time, t *Ticket) Effects {
	if w := s.EstimateWait(t); !t.Deadline.IsZero() && now.Add(w+s.runTime).After(t.Deadline) {
		return Effects{Refused: []Refusal{{Ticket: t, Code: result.QueueDeadline, After: max(w, minRetryAfter)}}}
	}
	s.classes[t.Class].SetMaxLag(s.rate() * maxIdleFlowDelay.Seconds())
	var e Effects
	for s.Len() >= s.limit || s.Len() > 0 && s.bytes+t.Bytes > bytesLimit {
		o, ok := s.evict(t)
		if !ok {
			e.Refused = append(e.Refused, Refusal{Ticket: t, Code: result.QueueFull, After: max(s.EstimateWait(t), minRetryAfter)})
			return e
		}
		e.Refused = append(e.Refused, o)
	}
	s.classes[t.Class].Push(t.Account, t.Weight, t.Work, t)
	s.bytes += t.Bytes
	return s.start(now, e)
}

// Done ends a started ticket and starts the tickets that this allows.
func (s *Service) Done(now time.Time, t *Ticket) Effects {
	s.inFlight--
	d := now.Sub(t.started)
	w := max(t.Work, minCost)
	if s.runTime == 0 {
		s.runTime, s.work = d, w
	}
	s.work += (w - s.work) * runTimeWeight
	s.runTime += time.Duration(float64(d-s.runTime) * runTimeWeight)
	return s.start(now, Effects{})
}

// Leave removes a waiting ticket and reports whether it was still waiting.
func (s *Service) Leave(t *Ticket) bool {
	if !s.classes[t.Class].Remove(t.Account, t) {
		return false
	}
	s.bytes -= t.Bytes
	return true
}

// Len returns how many requests wait.
func (s *Service) Len() int {
	return s.classes[Online].Len() + s.classes[Batch].Len()
}

// InFlight returns how many requests run.
func (s *Service) InFlight() int { return s.inFlight }

// EstimateWait estimates how long a ticket that enters now would wait, from its account's share of the service. It
// returns zero if a slot is free or no request has been completed yet.
func (s *Service) EstimateWait(t *Ticket) time.Duration {
	if s.inFlight < s.capacity && s.Len() == 0 || s.runTime == 0 {
		return 0
	}
	ahead := s.classes[t.Class].WorkAhead(t.Account, t.Weight)/s.work + 1
	if t.Class == Batch {
		ahead += float64(s.classes[Online].Len())
	}
	return time.Duration(ahead / float64(max(1, s.capacity)) * float64(s.runTime))
}

// rate estimates how much work the service completes in a second.
func (s *Service) rate() float64 {
	if s.runTime <= 0 {
		return 0
	}
	return float64(max(1, s.capacity)) * s.work / s.runTime.Seconds()
}

// evict makes space for a ticket by refusing the newest one of the longest flow: of the batch flows, if any wait, and
// otherwise of t's own class, unless the longest flow there is that of t's account. It never refuses online for batch.
func (s *Service) evict(t *Ticket) (Refusal, bool) {
	for c := Batch; ; c-- {
		n, o, ok := s.classes[c].Longest()
		if ok && (c > t.Class || n != t.Account) {
			s.Leave(o)
			return Refusal{Ticket: o, Code: result.QueueFull, After: max(s.EstimateWait(o), minRetryAfter)}, true
		}
		if ok || c == t.Class {
			return Refusal{}, false
		}
	}
}

func (s *Service) start(now time.Time, e Effects) Effects {
	for s.inFlight < s.capacity {
		t, ok := s.pop()
		if !ok {
			break
		}
		s.inFlight++
		s.bytes -= t.Bytes
		t.started = now
		e.Started = append(e.Started, t)
	}
	return e
}

func (s *Service) pop() (*Ticket, bool) {
	for _, f := range s.classes {
		if t, ok := f.Pop(); ok {
			return t, true
		}
	}
	return nil, false
}
