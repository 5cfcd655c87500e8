package placement

import (
	"time"

	"snipetack/internal/state/order"
)

// Core makes the placement decisions of one keeper, while it leads. It is not safe for concurrent use.
type Core struct {
	s            Settings
	term         uint64
	leads        bool
	state        order.State
	pulls        *pullLimiter
	scalers      map[string]*scaler
	open         map[string]*openIntent // by upstream
	failedAt     map[string]time.Time   // last failed order, by upstream
	decisions    []Decision             // the latest, oldest first
	newDecisions []Decision             // of the current step
	lastReason   map[string]string      // of the last decision, by action and target
}

// openIntent is a committed intent whose end is not committed yet.
type openIntent struct {
	intent     order.Intent
	sentAt     time.Time // zero until Orders has returned the order
	uncertain  bool      // the outcome of the order is unknown, so that it must be retried
	mayHaveRun bool      // an earlier order for the same action and target may have been carried out
	released   bool      // its bytes are no longer reserved in the pull limiter
}

// Effects are what a step asks its caller to do.
type Effects struct {
	Propose   []order.Intent // intents to commit; Committed takes each with its fencing number
	Forget    []string       // upstreams that are no longer configured, whose state is to be dropped by a commit
	Decisions []Decision     // decisions to log
}

// OrderResult is what became of an order that was sent to an upstream.
type OrderResult int

// The results of an order.
const (
	Done    OrderResult = iota
	Refused             // the upstream has accepted an order with a newer fencing number, so there is a newer leader
	Failed              // the order was not carried out
	Unknown             // the order may have been carried out, or may still be
)

// String returns the name of the result for the log.
func (a OrderResult) String() string {
	switch a {
	case Done:
		return "done"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// New returns a Core that does not lead until Lead is called.
func New(s Settings) *Core {
	return &Core{s: s, scalers: map[string]*scaler{}, lastReason: map[string]string{}}
}

// Lead starts a term with the committed state s. The leases of all former leaders must have ended by now, so that each
// order that may still be under way belongs to an intent that is pending in s.
func (c *Core) Lead(now time.Time, term uint64, s order.State) {
	c.term, c.leads, c.state = term, true, s
	c.open = map[string]*openIntent{}
	c.failedAt = map[string]time.Time{}
	c.scalers = map[string]*scaler{}
	pendingBytes := 0.0
	for u, p := range s.Upstreams {
		for a := range p.Loaded {
			c.scaler(a).desired++
		}
		if p.Pending != nil {
			// The former leader may have sent this order up to the end of its lease, so its lifetime counts from now.
			c.open[u] = &openIntent{intent: *p.Pending, sentAt: now, uncertain: true, mayHaveRun: true}
			pendingBytes += float64(p.Pending.Bytes)
		}
	}
	c.pulls = newPullLimiter(c.s, now, pendingBytes)
}

// Leads reports whether the Core leads.
func (c *Core) Leads() bool {
	return c.leads
}

// Follow ends the term: until the next Lead the Core decides nothing and ignores results.
func (c *Core) Follow() {
	c.leads = false
}

// Step returns what is to be done now; its Effects are empty while the Core does not lead.
func (c *Core) Step(now time.Time, in Input) Effects {
	var e Effects
	c.newDecisions = nil
	if !c.leads {
		return e
	}
	c.expire(now)
	p := newPlan(c, now, in)
	e.Forget = p.forget()
	p.retry()
	p.roles()
	p.loads()
	e.Propose = p.proposed
	e.Decisions = c.newDecisions
	return e
}

// Orders returns up to limit orders that may be sent now. Each order is returned once; the caller sends it and reports
// its result with ResultReceived.
func (c *Core) Orders(now time.Time, in Input, limit int) []order.Intent {
	if !c.leads {
		return nil
	}
	var l []order.Intent
	for _, h := range in.Hosts {
		o := c.open[h.Name]
		if len(l) == limit {
			break
		}
		if o == nil || o.uncertain || !o.sentAt.IsZero() || !h.Usable {
			continue
		}
		o.sentAt = now
		l = append(l, o.intent)
	}
	return l
}

// Committed takes an intent that Step proposed and that was committed, with its fencing number, and the state after the
// commit.
func (c *Core) Committed(now time.Time, i order.Intent, s order.State) {
	if !c.leads {
		return
	}
	c.state = s
	c.release(now, c.open[i.Upstream])
	c.open[i.Upstream] = &openIntent{intent: i, mayHaveRun: c.open[i.Upstream] != nil}
}

// ResultReceived takes the result of the order of intent i and returns what is to be committed about it. Refused ends
// the term.
func (c *Core) ResultReceived(now time.Time, i order.Intent, a OrderResult) []order.Finish {
	o := c.open[i.Upstream]
	if !c.leads || o == nil || o.intent.Fence != i.Fence {
		return nil
	}
	switch a {
	case Unknown:
		o.uncertain = true
		return nil
	case Refused:
		c.leads = false
		return nil
	case Failed:
		c.failedAt[i.Upstream] = now
		if o.mayHaveRun {
			o.uncertain = true // says nothing about the earlier order, which may have been carried out
			return nil
		}
		return []order.Finish{{Upstream: i.Upstream, Fence: i.Fence}}
	default:
		return []order.Finish{{Upstream: i.Upstream, Fence: i.Fence, Done: true}}
	}
}

// Finished takes a Finish that was committed and the state after the commit.
func (c *Core) Finished(now time.Time, f order.Finish, s order.State) {
	if !c.leads {
		return
	}
	c.state = s
	if o := c.open[f.Upstream]; o != nil && o.intent.Fence == f.Fence {
		c.release(now, o)
		delete(c.open, f.Upstream)
	}
}

// expire releases the reserved bytes of orders that can no longer take effect.
func (c *Core) expire(now time.Time) {
	for _, o := range c.open {
		if !o.sentAt.IsZero() && !now.Before(o.sentAt.Add(c.s.OrderLifetime)) {
			c.release(now, o)
		}
	}
}

// release releases the reserved bytes of an intent, once.
func (c *Core) release(now time.Time, o *openIntent) {
	if o == nil || o.released {
		return
	}
	o.released = true
	c.pulls.release(now, o.intent.Bytes)
}

// scaler returns the scaler of an artifact, which it creates if there is none.
func (c *Core) scaler(artifact string) *scaler {
	t := c.scalers[artifact]
	if t == nil {
		t = &scaler{}
		c.scalers[artifact] = t
	}
	return t
}
