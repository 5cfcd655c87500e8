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
	orderRing         = 64          // orders under way at once; more wait for the next step
)

// placer leads placement whenever its keeper leads the placement group.
type placer struct {
	core    *placement.Core
	state   *order.Machine
	replica *replica.Replica
	copy    *feed.Copy
	send    func(ctx context.Context, u catalog.Upstream, i order.Intent) placement.OrderResult
	log     *slog.Logger
	term    uint64
	answers chan answered
	free    chan struct{} // a token for each order that may still be sent
	wait    sync.WaitGroup
	asked   chan question
}

var _ operator.PlacementProvider = (*placer)(nil)

// answered is an upstream's answer to an order.
type answered struct {
	term   uint64
	intent order.Intent
	answer placement.OrderResult
}

// question asks the leader for its decisions.
type question struct {
	about string
	reply chan []placement.Decision // nil when this keeper does not lead
}

// newPlacer returns a placer that leads nothing until Run; copy and send are set before.
func newPlacer(s settings.WeightStore, m *order.Machine, r *replica.Replica, l *slog.Logger) *placer {
	d := placement.DefaultSettings()
	if s.Rate > 0 {
		d.PullRate, d.PullBurst = s.Rate, s.Burst
	}
	p := &placer{
		core:    placement.New(d),
		state:   m,
		replica: r,
		log:     l,
		answers: make(chan answered, orderRing),
		free:    make(chan struct{}, orderRing),
		asked:   make(chan question),
	}
	for range orderRing {
		p.free <- struct{}{}
	}
	return p
}

// Run leads until ctx ends.
func (p *placer) Run(ctx context.Context) error {
	defer p.wait.Wait()
	t := time.NewTicker(placementInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.step(ctx)
		case a := <-p.answers:
			p.take(ctx, a)
		case q := <-p.asked:
			q.reply <- p.explain(q.about)
		case <-ctx.Done():
			return nil
		}
	}
}

// State returns what is committed, as this keeper knows it.
func (p *placer) State() order.State {
	return p.state.State()
}

// Explain returns the leader's decisions about a name, or false when this keeper does not lead.
func (p *placer) Explain(ctx context.Context, about string) ([]placement.Decision, bool) {
	q := question{about: about, reply: make(chan []placement.Decision, 1)}
	select {
	case p.asked <- q:
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

func (p *placer) step(ctx context.Context) {
	if !p.lead(ctx) {
		p.core.Follow()
		return
	}
	in := placementInput(p.copy.Current())
	e := p.core.Step(time.Now(), in)
	for _, d := range e.Decisions {
		p.log.Info("placed", "action", string(d.Action), "upstream", d.Upstream, "target", d.Target, "reason", d.Reason)
	}
	if !p.propose(ctx, e) {
		p.core.Follow()
		return
	}
	p.order(ctx, in)
}

// lead reports whether this keeper leads; a new term starts from all that was committed before it.
func (p *placer) lead(ctx context.Context) bool {
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

// commit commits a command here; a failure may have been committed, so that the term has to start again.
func (p *placer) commit(ctx context.Context, c order.Command) (order.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, placementTimeout)
	defer cancel()
	b, err := p.replica.ProposeHere(ctx, group.Placement, order.EncodeCommand(c))
	if err != nil {
		p.log.Info("placement not committed", "term", c.Term, "error", err)
		return order.Outcome{}, false
	}
	o, err := order.DecodeOutcome(b)
	return o, err == nil && !o.Stale
}

// order sends the orders that are due; each goes out only while the lease holds.
func (p *placer) order(ctx context.Context, in placement.Input) {
	l := p.copy.Current().Upstreams
	for _, i := range p.core.Orders(time.Now(), in, len(p.free)) {
		<-p.free
		term := p.term
		p.wait.Go(func() { p.carry(ctx, term, l[i.Upstream], i) })
	}
}

func (p *placer) carry(ctx context.Context, term uint64, u catalog.Upstream, i order.Intent) {
	a := placement.Failed
	if t, _, ok := p.replica.Lease(group.Placement); ok && t == term {
		a = p.send(ctx, u, i)
	}
	p.log.Info("order", "action", string(i.Action), "upstream", i.Upstream, "target", i.Target, "fence", i.Fence, "answer", a.String())
	p.answers <- answered{term, i, a} // has room for each token
	p.free <- struct{}{}
}

func (p *placer) take(ctx context.Context, a answered) {
	if a.term != p.term {
		return
	}
	for _, f := range p.core.ResultReceived(time.Now(), a.intent, a.answer) {
		if _, ok := p.commit(ctx, order.Command{Term: p.term, Finish: []order.Finish{f}}); !ok {
			p.core.Follow()
			return
		}
		p.core.Finished(time.Now(), f, p.state.State())
	}
}

// placementInput wants every artifact of a service on each of its upstreams that state their memory.
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
