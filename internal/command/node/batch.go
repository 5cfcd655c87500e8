package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/group"
	"snipetack/internal/transport/batchrun"
	"snipetack/internal/transport/jobs"
	"snipetack/internal/transport/link"
)

// foundersWait is between looks for the VMs that found the group.
const foundersWait = 50 * time.Millisecond

// batch keeps and runs batch jobs.
type batch struct {
	n       *Node
	docket  *docket.Docket
	hub     *batchrun.Hub
	runner  *batchrun.Runner
	replica atomic.Pointer[replica.Replica] // nil until the founders are known
	server  atomic.Pointer[jobs.Server]
}

func newBatch(n *Node) (*batch, error) {
	b := &batch{n: n, docket: docket.New(), hub: batchrun.NewHub(n.Log)}
	b.runner = batchrun.New(batchrun.Deps{
		Docket:    b.docket,
		Upstreams: n.Surroundings.Upstreams(n.conns),
		Propose:   b.propose,
		Leads:     b.leads,
		Plan:      n.member.Plan,
		List:      func() []roster.Upstream { l, _ := n.member.Upstreams(); return l },
		Retention: n.Settings.Retention,
		Log:       n.Log,
	}, b.hub)
	n.member.report = b.report
	n.link.Receive(link.Consensus, b.receive)
	n.link.Receive(link.Load, b.hub.Receive)
	n.link.Handle(link.Job, b.handle)
	err := n.gauges(append(groupGauges(group.FirstJobs, b.replica.Load), gauge{"items_running", "Batch items at upstreams.", func() float64 {
		sum := 0
		for _, x := range b.runner.InFlight() {
			sum += x
		}
		return float64(sum)
	}}))
	return b, err
}

func (b *batch) run(ctx context.Context) error {
	r, err := b.join(ctx)
	if err != nil || r == nil {
		return err
	}
	b.server.Store(jobs.NewServer(group.FirstJobs, r, b.docket, b.n.Log))
	b.replica.Store(r)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx) })
	g.Go(func() error { return b.runner.Run(ctx) })
	g.Go(func() error { return b.tell(ctx) })
	return g.Wait()
}

// join waits until the disk or the control VMs tell which group this VM belongs to.
func (b *batch) join(ctx context.Context) (*replica.Replica, error) {
	l, err := b.n.Disk.List()
	if err != nil {
		return nil, err
	}
	founders := b.founders()
	for len(l) == 0 && len(founders) == 0 {
		if !pause.For(ctx, foundersWait) {
			return nil, nil
		}
		founders = b.founders()
	}
	return replica.New(replica.Deps{
		VM:             b.n.link.Self(),
		InitialMembers: founders,
		Contacts:       func() []string { return slices.Concat(b.founders(), b.n.member.BatchVMs()) },
		Growth: &replica.Growth{MaxVoters: b.n.voters(), DeadAfter: deadAfter, Leaving: b.n.member.leavingAddresses,
			MinVoters: b.n.fewest()},
		Folder:   b.n.Disk,
		Machines: map[uint32]replica.Machine{group.FirstJobs: b.docket},
		Send:     sender{b.n.link},
		Forward:  forwarder{b.n.link},
		Timing:   groupTiming(),
		Log:      b.n.Log,
	})
}

func (b *batch) founders() []string {
	m := b.n.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.founders
}

func (b *batch) receive(from string, f []byte) {
	if r := b.replica.Load(); r != nil {
		r.Receive(from, f)
	}
}

func (b *batch) handle(ctx context.Context, from string, q []byte) ([]byte, error) {
	if s := b.server.Load(); s != nil {
		return s.Handle(ctx, from, q)
	}
	return jobs.NotHere(), nil
}

func (b *batch) leads() bool {
	r := b.replica.Load()
	if r == nil {
		return false
	}
	_, _, ok := r.Lease(group.FirstJobs)
	return ok
}

func (b *batch) propose(ctx context.Context, command []byte) error {
	_, err := b.replica.Load().ProposeHere(ctx, group.FirstJobs, command)
	return err
}

// report adds who is in the group, when this VM leads it.
func (b *batch) report(p *roster.Report) {
	if !b.leads() {
		return
	}
	p.Leads = true
	for _, s := range b.replica.Load().Status() {
		for _, m := range s.Configuration.Members() {
			p.Members = append(p.Members, m.VM)
		}
	}
}

// tell sends the entry VMs what is in flight, while this VM leads.
func (b *batch) tell(ctx context.Context) error {
	for pause.For(ctx, b.hub.Interval()) {
		if !b.leads() {
			continue
		}
		ids, tag := b.n.member.order()
		for vm, l := range b.hub.Due(time.Now(), b.runner.InFlight()) {
			b.n.link.Send(vm, link.Hint, batchrun.EncodeHint(tag, ids, l))
		}
	}
	return nil
}

func (b *batch) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTime)
	defer cancel()
	if r := b.replica.Load(); r != nil {
		if err := r.Transfer(ctx); err != nil {
			b.n.Log.Warn("leadership not handed on", "error", err)
		}
	}
}
