package queue_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"snipetack/internal/coordination/queue"
	"snipetack/internal/coordination/quota"
	"snipetack/internal/testing/quotafleet"
)

// The benchmark's fleet.
const (
	contendedFrom = 20 * time.Second
	contendedTo   = 140 * time.Second
	reportDelay   = 300 * time.Millisecond // age of the other VMs' reported requests in flight
	deadline      = 10 * time.Second
	worstShare    = 0.95
)

// BenchmarkWorstServedAccount loads a service with fewer upstreams than the accounts together need. Each account is
// entitled to its weighted max-min fair share of the requests that the upstreams served.
func BenchmarkWorstServedAccount(b *testing.B) {
	for _, d := range quotafleet.Deployments() {
		for n, lost := range map[string]int{"4_of_10_replicas_lost": 4, "7_of_10_replicas_lost": 7} {
			b.Run(d.Name+"/"+n, func(b *testing.B) {
				for b.Loop() {
					c := newContention(d, lost)
					c.run()
					worst := c.worst()
					b.ReportMetric(worst, "worst_share")
					b.ReportMetric(float64(c.refused)/float64(c.arrived), "refused_by_queue")
					b.ReportMetric(c.busy(), "slots_busy")
					if worst < worstShare {
						b.Errorf("worst_share %.4f, at least %v", worst, worstShare)
					}
				}
			})
		}
	}
}

// contention simulates a fleet whose VMs queue requests for one service.
type contention struct {
	d        quotafleet.Deployment
	rand     *rand.Rand
	slots    int
	vms      []*queue.Service
	reported []int
	events   eventHeap
	served   map[string]int
	arrived  int
	refused  int
}

func newContention(d quotafleet.Deployment, lost int) *contention {
	c := &contention{
		d:        d,
		rand:     rand.New(rand.NewPCG(3, 3)),
		slots:    (d.Replicas - lost) * d.Slots,
		reported: make([]int, d.VMs),
		served:   map[string]int{},
	}
	for range d.VMs {
		s := queue.NewService()
		s.SetLimit(1000)
		c.vms = append(c.vms, s)
	}
	return c
}

func (c *contention) run() {
	w := map[string]float64{}
	for _, a := range c.d.Accounts {
		w[a.Name] = a.Weight
	}
	for _, a := range c.d.Arrivals(c.rand, 0, contendedTo) {
		c.at(a.At, func(now time.Time) { c.arrive(now, a.Holder, a.Key, w[a.Key.Account]) })
	}
	for t := time.Duration(0); t < contendedTo; t += reportDelay {
		c.at(t, c.report)
	}
	for len(c.events) > 0 {
		h := heap.Pop(&c.events).(event)
		if h.at >= contendedTo {
			return
		}
		h.f(time.Unix(0, int64(h.at)))
	}
}

func (c *contention) arrive(now time.Time, vm int, k quota.Key, weight float64) {
	c.arrived++
	t := &queue.Ticket{Account: k.Account, Weight: weight, Work: float64(20 + c.rand.IntN(200)), Deadline: now.Add(deadline)}
	s := c.vms[vm]
	c.apply(vm, now, s.SetCapacity(now, c.share(vm)))
	c.apply(vm, now, s.Enter(now, t))
	c.at(time.Duration(now.UnixNano())+deadline, func(time.Time) {
		if s.Leave(t) {
			c.refused++
		}
	})
}

func (c *contention) apply(vm int, now time.Time, e queue.Effects) {
	c.refused += len(e.Refused)
	for _, t := range e.Started {
		if now.After(t.Deadline) {
			panic("started after its deadline")
		}
		// The run time grows with the work, 0.6 s on average.
		d := time.Duration(float64(c.d.RunTime) * t.Work / 120)
		c.at(time.Duration(now.UnixNano())+d, func(now time.Time) {
			if time.Duration(now.UnixNano()) >= contendedFrom {
				c.served[t.Account]++
			}
			c.apply(vm, now, c.vms[vm].Done(now, t))
			c.apply(vm, now, c.vms[vm].SetCapacity(now, c.share(vm)))
		})
	}
}

// share returns a VM's capacity, given what the others last reported as in flight.
func (c *contention) share(vm int) int {
	others := 0
	for i, n := range c.reported {
		if i != vm {
			others += n
		}
	}
	return queue.Share(queue.Capacity{Slots: c.slots, Others: others, Limit: c.slots, VMs: len(c.vms)})
}

func (c *contention) report(now time.Time) {
	for i, s := range c.vms {
		c.reported[i] = s.InFlight()
		c.apply(i, now, s.SetCapacity(now, c.share(i)))
	}
}

// worst returns the min fraction that an account got of its entitlement.
func (c *contention) worst() float64 {
	total := 0
	for _, n := range c.served {
		total += n
	}
	span := (contendedTo - contendedFrom).Seconds()
	left := float64(total) / span
	open := c.d.Accounts
	entitled := map[string]float64{}
	for len(open) > 0 {
		sum := 0.0
		for _, a := range open {
			sum += a.Weight
		}
		var rest []quotafleet.Account
		given := 0.0
		for _, a := range open {
			if need := c.demand(a); need <= left*a.Weight/sum {
				entitled[a.Name] = need
				given += need
			} else {
				rest = append(rest, a)
			}
		}
		left -= given
		if len(rest) == len(open) {
			for _, a := range rest {
				entitled[a.Name] = left * a.Weight / sum
			}
			break
		}
		open = rest
	}
	worst := 1.0
	for n, e := range entitled {
		worst = min(worst, float64(c.served[n])/span/e)
	}
	return worst
}

// busy returns the fraction of the slots' time that completed requests used.
func (c *contention) busy() float64 {
	total := 0
	for _, n := range c.served {
		total += n
	}
	return float64(total) * c.d.RunTime.Seconds() / (float64(c.slots) * (contendedTo - contendedFrom).Seconds())
}

// demand returns an account's arrivals a second, from the same random sequence as the run.
func (c *contention) demand(a quotafleet.Account) float64 {
	n := 0
	for _, x := range c.d.Arrivals(rand.New(rand.NewPCG(3, 3)), 0, contendedTo) {
		if x.Key.Account == a.Name && x.At >= contendedFrom {
			n++
		}
	}
	return float64(n) / (contendedTo - contendedFrom).Seconds()
}

func (c *contention) at(t time.Duration, f func(now time.Time)) {
	heap.Push(&c.events, event{at: t, f: f, order: c.events.next()})
}

type event struct {
	at    time.Duration
	order int
	f     func(now time.Time)
}

type eventHeap []event

func (h eventHeap) next() int {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].order + 1
}
func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	l := *h
	x := l[len(l)-1]
	*h = l[:len(l)-1]
	return x
}
