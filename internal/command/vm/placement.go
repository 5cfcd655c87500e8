package vm

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"snipetack/internal/command/settings"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/coordination/placement"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/group"
	"snipetack/internal/state/order"
	"snipetack/internal/transport/operator"
)

// Timing and bounds of placement.
const (
	placementInterval = time.Second
	placementTimeout  = time.Second // of a barrier or a commit
	maxOrders         = 64          // in flight; further orders wait for the next step
)

// placer is the I/O around placement.Core: while its keeper leads the placement group, it commits the core's decisions
// and sends its orders to upstreams. The core is used by the goroutine of Run alone.
type placer struct {
	core            *placement.Core
	state           *order.Machine
	replica         *replica.Replica
	copy            *feed.Copy
	send            func(ctx context.Context, u catalog.Upstream, i order.Intent) placement.OrderResult
	log             *slog.Logger
	term            uint64 // last led; results of orders of other terms are dropped
	results         chan orderResult
	freeSlots       chan struct{} // holds a token for each order that may still be sent
	sending         sync.WaitGroup
	explainRequests chan explainRequest
}

var _ operator.PlacementProvider = (*placer)(nil)

// orderResult is the result of an order that was sent in a term.
type orderResult struct {
	term   uint64
	intent order.Intent
	result placement.OrderResult
}

// explainRequest asks the goroutine of Run for the core's decisions about an upstream or artifact.
type explainRequest struct {
	about string                    // name of an upstream or artifact; empty for all
	reply chan []placement.Decision // receives nil if this keeper does not lead
}

// newPlacer returns a placer that does nothing until Run. The caller sets copy and send before Run.
func newPlacer(s settings.WeightStore, m *order.Machine, r *replica.Replica, l *slog.Logger) *placer {
	d := placement.DefaultSettings()
	if s.Rate > 0 {
		d.PullRate, d.PullBurst = s.Rate, s.Burst
	}
	p := &placer{
		core:            placement.New(d),
		state:           m,
		replica:         r,
		log:             l,
		results:         make(chan orderResult, maxOrders),
		freeSlots:       make(chan struct{}, maxOrders),
		explainRequests: make(chan explainRequest),
	}
	for range maxOrders {
		p.freeSlots <- struct{}{}
	}
	return p
}

// Run decides placement whenever this keeper leads, until ctx ends. It waits for the orders in flight and returns nil.
func (p *placer) Run(ctx context.Context) error {
	defer p.sending.Wait()
	t := time.NewTicker(placementInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.step(ctx)
		case a := <-p.results:
			p.handleResult(ctx, a)
		case q := <-p.explainRequests:
			q.reply <- p.explain(q.about)
		case <-ctx.Done():
			return nil
		}
	}
}

// State returns the committed state that this keeper has applied; a follower's may lag behind the leader's.
func (p *placer) State() order.State {
	return p.state.State()
}

// Explain returns the latest decisions about an upstream or artifact, or about all if the name is empty. It returns
// false if this keeper does not lead or ctx ends first.
func (p *placer) Explain(ctx context.Context, about string) ([]placement.Decision, bool) {
	q := explainRequest{about: about, reply: make(chan []placement.Decision, 1)}
	select {
	case p.explainRequests <- q:
	case <-ctx.Done():
		return nil, false
	}
	l := <-q.reply
	return l, l != nil
}

func (p *placer) explain(about string) []placement.Decision {
	if !p.core.Leads() {
		return nil
	}
	return append([]placement.Decision{}, p.core.Explain(about)...)
}

// step commits what the core proposes now and sends the orders that are due. After a failed commit the core stops
// leading, and the next step restarts from the committed state.
func (p *placer) step(ctx context.Context) {
	if !p.ensureLeading(ctx) {
		p.core.Follow()
		return
	}
	in := placementInput(p.copy.Current())
	e := p.core.Step(time.Now(), in)
	for _, d := range e.Decisions {
		p.log.Info("placement decision", "action", string(d.Action), "upstream", d.Upstream, "target", d.Target, "reason", d.Reason)
	}
	if !p.propose(ctx, e) {
		p.core.Follow()
		return
	}
	p.sendOrders(ctx, in)
}

// ensureLeading reports whether this keeper leads. In a new term, or after Follow, it lets the core lead from all that
// was committed before: it passes a barrier and checks that the lease is still of the same term.
func (p *placer) ensureLeading(ctx context.Context) bool {
	term, _, ok := p.replica.Lease(group.Placement)
	if !ok {
		return false
	}
	if term == p.term && p.core.Leads() {
		return true
	}
	c, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	if err := p.replica.Barrier(c, group.Placement); err != nil {
		return false
	}
	if again, _, ok := p.replica.Lease(group.Placement); !ok || again != term {
		return false
	}
	p.term = term
	p.core.Lead(time.Now(), term, p.state.State())
	return true
}

// propose commits the core's new intents and the removal of old ones, and gives each new intent its fencing number.
func (p *placer) propose(ctx context.Context, e placement.Effects) bool {
	if len(e.Propose)+len(e.Forget) == 0 {
		return true
	}
	o, ok := p.commit(ctx, order.Command{Term: p.term, Begin: e.Propose, Forget: e.Forget})
	if !ok || len(o.Fences) != len(e.Propose) {
		return false
	}
	for n, i := range e.Propose {
		i.Fence = o.Fences[n]
		p.core.Committed(time.Now(), i, p.state.State())
	}
	return true
}

// commit commits a command if this keeper leads. It returns false on a failure or a stale term. After a failure the
// command may still be committed, so the caller must let the core restart from the committed state.
func (p *placer) commit(ctx context.Context, c order.Command) (order.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	b, err := p.replica.ProposeHere(ctx, group.Placement, order.EncodeCommand(c))
	if err != nil {
		p.log.Info("placement command not committed; the core restarts from the committed state", "term", c.Term, "error", err)
		return order.Outcome{}, false
	}
	o, err := order.DecodeOutcome(b)
	return o, err == nil && !o.Stale
}

// sendOrders sends the orders that are due, as many as there are free slots, each in a goroutine of its own.
func (p *placer) sendOrders(ctx context.Context, in placement.Input) {
	l := p.copy.Current().Upstreams
	for _, i := range p.core.Orders(time.Now(), in, len(p.freeSlots)) {
		<-p.freeSlots
		term := p.term
		p.sending.Go(func() { p.sendOrder(ctx, term, l[i.Upstream], i) })
	}
}

// sendOrder sends an order if the lease of its term still holds; if not, the order counts as failed. The result goes to
// Run.
func (p *placer) sendOrder(ctx context.Context, term uint64, u catalog.Upstream, i order.Intent) {
	a := placement.Failed
	if t, _, ok := p.replica.Lease(group.Placement); ok && t == term {
		a = p.send(ctx, u, i)
	}
	p.log.Info("placement order finished", "action", string(i.Action), "upstream", i.Upstream, "target", i.Target, "fence", i.Fence, "answer", a.String())
	p.results <- orderResult{term, i, a} // never blocks: the channel's size is the number of tokens
	p.freeSlots <- struct{}{}
}

// handleResult commits what follows from the result of an order of the current term.
func (p *placer) handleResult(ctx context.Context, a orderResult) {
	if a.term != p.term {
		return
	}
	for _, f := range p.core.ResultReceived(time.Now(), a.intent, a.result) {
		if _, ok := p.commit(ctx, order.Command{Term: p.term, Finish: []order.Finish{f}}); !ok {
			p.core.Follow()
			return
		}
		p.core.Finished(time.Now(), f, p.state.State())
	}
}

// placementInput derives the core's input from the configuration. An artifact gets a copy on each upstream of its
// services that states its memory and is not leaving. Upstreams that state neither memory nor a role are left out.
func placementInput(c *catalog.Configuration) placement.Input {
	var in placement.Input
	hosts := map[string]int{}
	for _, n := range c.ServiceNames() {
		for _, u := range c.UpstreamsOf(n) {
			if u.Memory == 0 && u.Role == "" {
				continue
			}
			in.Hosts = append(in.Hosts, placement.Host{
				Name:          u.Name,
				Service:       n,
				DataCentre:    u.DataCentre,
				Memory:        u.Memory,
				Role:          u.Role,
				ChecksFencing: u.ChecksFencing,
				Usable:        !u.Leaving,
			})
			if !u.Leaving && u.Memory > 0 {
				hosts[n]++
			}
		}
	}
	at := map[string]int{}
	for _, n := range c.ServiceNames() {
		for _, a := range c.Services[n].Artifacts {
			i, ok := at[a.Name]
			if !ok {
				i = len(in.Artifacts)
				at[a.Name] = i
				in.Artifacts = append(in.Artifacts, placement.Artifact{Name: a.Name, Size: a.Size})
			}
			in.Artifacts[i].Services = append(in.Artifacts[i].Services, n)
			in.Artifacts[i].MinCopies += hosts[n]
		}
	}
	return in
}
