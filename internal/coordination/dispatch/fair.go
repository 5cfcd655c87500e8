package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Policy of the fair order.
const (
	overdraft      = 1               // requests beyond an upstream's slots, from accounts that have got less than their share; the engine starts them after an eighth of a run on average
	urgencyExpires = 5 * time.Second // in which a more urgent request is expected to come again; callers' deadlines
)

// Reasons of Deps.OnShed.
const (
	ShedFull    = "queue_full" // the request is last in a full queue
	ShedYielded = "yielded"    // the same, after it has waited
	ShedLate    = "late"       // the request is expected to wait for too long
)

// urgency is the most urgent priority of a service's requests lately.
type urgency struct {
	priority int
	at       time.Time
}

// arrange returns queued requests in the order of service: by priority, then so that each account gets its share, and within an account as before.
func (p *Pool) arrange(now time.Time, service string, l []*waiter) []*waiter {
	if p.d.Fairness == nil || len(l) < 2 {
		return l
	}
	slices.SortFunc(l, before)
	tag := p.d.Fairness.Line(now, service)
	for _, w := range l {
		w.tag = tag(w.Account, w.Size)
	}
	slices.SortStableFunc(l, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.tag, b.tag))
	})
	return l
}

// enqueueFairly queues a request in fair order, or returns nil when it can't be served in time. When the queue is full, the last in fair order has to go: a
// request, among the least urgent ones, of the account that has got and asks for the most in relation to its share.
func (p *Pool) enqueueFairly(now time.Time, w *waiter) <-chan Choice {
	l := p.arrange(now, w.Service, append(slices.Clone(p.waiters[w.Service]), w))
	i := slices.Index(l, w)
	switch {
	case i >= waitersMax:
		p.shed(ShedFull)
		return nil
	case p.forecast(now, w.Service, w.Homes, i) > w.MaxWait:
		p.shed(ShedLate)
		return nil
	}
	if len(l) > waitersMax {
		close(l[waitersMax].assigned)
		l = l[:waitersMax]
		p.shed(ShedYielded)
	}
	p.waiters[w.Service] = l
	p.serveWaiters(now, w.Service)
	p.scheduleWake(now, w.Service)
	return w.assigned
}

func (p *Pool) shed(reason string) {
	if p.d.OnShed != nil {
		p.d.OnShed(reason)
	}
}

// pickFairly is pick with slots by standing: a request of an account that has got less than its share may take one beyond those of an upstream, and the others
// leave one free where accounts within their share need it.
//
// A slot that ends is taken by a request that waits at the same VM, so an entry VM with few slots of its own would get none for its callers, however
// little their accounts have got. With the overdraft, the next request that ends at that upstream frees no slot for the VM that had it; with the headroom
// a request need not wait for that.
func (p *Pool) pickFairly(now time.Time, r Request) *upstream {
	if p.d.Fairness == nil {
		return p.place(now, r)
	}
	if !p.d.Fairness.Within(now, r.Service, r.Account) {
		r.headroom = p.d.Fairness.WithinSlots(now, r.Service) / float64(max(1, len(p.services[r.Service])))
		return p.place(now, r)
	}
	u := p.place(now, r)
	if m := p.urgencies[r.Service]; u != nil || r.Priority > m.priority && now.Sub(m.at) < urgencyExpires {
		return u // beyond the slots, the engine would start it before a more urgent one that waits at another VM
	}
	r.overdraft = overdraft
	return p.place(now, r)
}

// slotsFor returns how many requests an upstream may have in flight once a request has a slot there.
func (r *Request) slotsFor(u *upstream) int {
	n := u.Slots + r.overdraft
	if r.headroom > 0 && u.Slots > 1 && affinity("headroom", u.ID) < r.headroom {
		n--
	}
	return n
}

// noteUrgency records the priority of a request that has come.
func (p *Pool) noteUrgency(now time.Time, r Request) {
	if p.d.Fairness == nil {
		return
	}
	if m, ok := p.urgencies[r.Service]; !ok || r.Priority <= m.priority || now.Sub(m.at) >= urgencyExpires {
		p.urgencies[r.Service] = urgency{r.Priority, now}
	}
}

// charge charges the expected cost of a request to its account.
func (p *Pool) charge(now time.Time, r Request, c *Choice) {
	if p.d.Fairness == nil {
		return
	}
	c.service, c.account, c.charged = r.Service, r.Account, r.Size
	if r.Size <= 0 {
		c.charged = p.slotTimes[r.Service]
	}
	c.Standing = p.d.Fairness.Standing(now, r.Service, r.Account)
	p.d.Fairness.Charge(now, r.Service, r.Account, c.charged)
}

// settle corrects what was charged for a choice by the time for which it had its slot. ran is false when the request was not sent.
func (p *Pool) settle(now time.Time, c Choice, ran bool) {
	if p.d.Fairness == nil || c.service == "" {
		return
	}
	cost := time.Duration(0)
	if ran {
		cost = now.Sub(c.takenAt)
		p.d.Fairness.Observe(c.service, cost)
	}
	p.d.Fairness.Charge(now, c.service, c.account, cost-c.charged)
}

// Standing returns what an account got of a service in relation to its share, and false without fairness.
func (p *Pool) Standing(now time.Time, service, account string) (float64, bool) {
	if p.d.Fairness == nil {
		return 0, false
	}
	return p.d.Fairness.Standing(now, service, account), true
}

// ForecastFor returns how long a further request like r is expected to wait.
func (p *Pool) ForecastFor(now time.Time, r Request) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.waiters[r.Service]
	if p.d.Fairness == nil {
		return p.forecast(now, r.Service, r.Homes, len(l))
	}
	w := &waiter{Request: r, seq: p.lastSeq + 1}
	return p.forecast(now, r.Service, r.Homes, slices.Index(p.arrange(now, r.Service, append(slices.Clone(l), w)), w))
}
