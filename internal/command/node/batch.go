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

// Timing of a batch VM.
const (
	initialMembersPoll = 50 * time.Millisecond // between checks whether the initial members of the group are known
	loadForward        = 30 * time.Millisecond // between a collector's reports to the leading batch VM
	urgentForward      = 10 * time.Millisecond // the same after a request has taken the slot of a batch item
)

// bodiesFraction is the fraction of the VM's memory that the bodies of open items may take; a snapshot needs as much once more.
const bodiesFraction = 0.25

// batch is the role of a batch VM: it replicates batch jobs and, while it leads the group, runs their items.
type batch struct {
	n       *Node
	docket  *docket.Docket
	hub     *batchrun.Hub
	changed chan bool // signals that a report has changed what entry VMs here have in flight; capacity 1, true when urgent
	runner  *batchrun.Runner
	replica atomic.Pointer[replica.Replica] // nil until the group is known
	server  atomic.Pointer[jobs.Server]     // nil until the group is known
}

func newBatch(n *Node) (*batch, error) {
	b := &batch{n: n, docket: docket.New(), hub: batchrun.NewHub(n.Log), changed: make(chan bool, 1)}
	b.runner = batchrun.New(batchrun.Deps{
		Docket:    b.docket,
		Upstreams: n.Adapters.Upstreams(n.conns),
		Propose:   b.propose,
		Leads:     b.holdsLease,
		Plan:      n.member.Plan,
		List:      func() []roster.Upstream { l, _ := n.member.Upstreams(); return l },
		Segments:  n.Adapters.Segments,
		Regions:   n.Settings.Zones,
		Retention: n.Settings.Retention,
		LoadAge:   n.member.loadAge,
		MaxBodies: int(bodiesFraction * float64(n.Settings.MemoryMB) * (1 << 20)),
		LoadKnown: b.loadKnown,
		Waves:     n.Settings.Contention,
		Log:       n.Log,

		Limits:      newLimiter(n.link, n.member, true),
		Departures:  departures{n.member},
		Quarantines: n.member.quarantines,
		Crashes:     n.member.crashes,
		Restarts:    n.member.restarts,
	}, b.hub)
	b.hub.OnChange(b.loadsChanged)
	n.member.report = b.report
	n.link.Receive(link.Consensus, b.receive)
	n.link.Receive(link.Load, b.hub.Receive)
	n.link.Receive(link.Loads, b.receiveLoads)
	n.link.Receive(link.Paces, b.receivePaces)
	n.link.Handle(link.Job, b.handle)
	n.member.restoreVersions()
	serveOrigins(n.link, n.member)
	err := n.registerGauges(append(groupGauges(group.FirstJobs, b.replica.Load), gauge{"items_running", "Batch items at upstreams.", func() float64 {
		sum := 0
		for _, x := range b.runner.InFlight() {
			sum += x
		}
		return float64(sum)
	}}))
	return b, err
}

// run waits for the group, then replicates and runs jobs until ctx ends.
func (b *batch) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return b.collect(ctx) })
	g.Go(func() error { return b.serve(ctx) })
	g.Go(func() error { return b.n.member.keepVersions(ctx, func() bool { return b.replica.Load() != nil }) })
	return g.Wait()
}

// serve joins the group and takes part in it until ctx ends.
func (b *batch) serve(ctx context.Context) error {
	r, err := b.join(ctx)
	if err != nil || r == nil {
		return err
	}
	b.server.Store(jobs.NewServer(group.FirstJobs, r, b.docket, b.runner, b.n.Log))
	b.replica.Store(r)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx) })
	g.Go(func() error { return b.runner.Run(ctx) })
	return g.Wait()
}

// collect serves as collector of the requests in flight in this data centre until ctx ends, whether or not this VM is in the group.
func (b *batch) collect(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return b.sendHints(ctx) })
	g.Go(func() error { return b.forwardLoads(ctx) })
	return g.Wait()
}

// loadsChanged starts a scheduling pass where this VM leads; elsewhere it lets forwardLoads report to the leader.
func (b *batch) loadsChanged(urgent bool) {
	if b.holdsLease() {
		b.runner.Wake()
		return
	}
	select {
	case b.changed <- urgent:
	default:
	}
}

// receiveLoads takes over the loads from other data centres that the leading batch VM sends to a collector.
func (b *batch) receiveLoads(_ string, x []byte) {
	ids, _ := b.n.member.upstreamIDs()
	if l, ok := batchrun.DecodeLoads(x, ids); ok {
		b.hub.SetBase(time.Now(), l)
	}
	if u := batchrun.DecodeUse(x); u != nil {
		b.hub.SetBaseUse(time.Now(), u)
	}
}

// forwardLoads reports the requests in flight of the entry VMs here to the leading batch VM when they change.
func (b *batch) forwardLoads(ctx context.Context) error {
	t := time.NewTicker(loadRefresh)
	defer t.Stop()
	receiver := ""
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case urgent = <-b.changed:
		}
		online := b.hub.Online(time.Now())
		vm := b.n.member.BatchLeader()
		if vm == b.n.link.Self() || b.hub.Reporters() == 0 {
			vm = ""
		}
		if vm != receiver && receiver != "" { // what it had from here is counted elsewhere, or is gone
			b.n.link.Send(receiver, link.Load, batchrun.EncodeCounts(batchrun.Counts{Moved: true}))
		}
		receiver = vm
		if vm == "" {
			continue
		}
		b.n.link.Send(vm, link.Load, batchrun.EncodeCounts(batchrun.Counts{Requests: online, Urgent: urgent, Hashed: true, Paced: true,
			Paces: b.hub.Paces.Due(time.Now(), vm), Use: b.hub.SumOfUse(time.Now())}))
		if urgent {
			pause.For(ctx, urgentForward)
		} else {
			pause.For(ctx, loadForward)
		}
	}
}

// join returns this VM's replica of the batch group. A VM with an empty disk first waits until the control VMs report the
// group's initial members; join returns nil when ctx ends before.
func (b *batch) join(ctx context.Context) (*replica.Replica, error) {
	l, err := b.n.Disk.List()
	if err != nil {
		return nil, err
	}
	initialMembers := b.initialMembers()
	for len(l) == 0 && len(initialMembers) == 0 {
		if !pause.For(ctx, initialMembersPoll) {
			return nil, nil
		}
		initialMembers = b.initialMembers()
	}
	return replica.New(replica.Deps{
		VM:             b.n.link.Self(),
		InitialMembers: initialMembers,
		Contacts:       func() []string { return slices.Concat(b.initialMembers(), b.n.member.BatchVMs()) },
		Growth: &replica.Growth{Candidates: b.n.member.BatchVMs, Leaving: b.n.member.leavingAddresses, MaxVoters: b.n.voters(),
			MinVoters: b.n.minRemaining(), DeadAfter: deadAfter},
		Folder:   b.n.Disk,
		Machines: map[uint32]replica.Machine{group.FirstJobs: b.docket},
		Send:     sender{b.n.link},
		Forward:  forwarder{b.n.link},
		Timing:   groupTiming(),
		Log:      b.n.Log,
	})
}

// initialMembers returns the addresses of the batch group's initial members, or none while they are unknown.
func (b *batch) initialMembers() []string {
	m := b.n.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.initialMembers
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

// holdsLease reports whether this VM leads the batch group with a valid lease.
func (b *batch) holdsLease() bool {
	r := b.replica.Load()
	if r == nil {
		return false
	}
	_, _, ok := r.Lease(group.FirstJobs)
	return ok
}

// loadKnown reports whether all that report online requests in flight to the leading batch VM have done so: in a large fleet a batch VM of each
// data centre, elsewhere each entry VM.
func (b *batch) loadKnown() bool {
	m := b.n.member
	if !m.mirrored() {
		n := m.entryVMs()
		return n > 0 && b.hub.Reporters() >= n
	}
	missing, collectors := map[string]bool{}, 0
	for zone, vms := range m.batchZones() {
		missing[zone] = true
		for _, vm := range vms {
			if b.hub.HasReport(vm) {
				collectors++
				delete(missing, zone)
			}
		}
	}
	if b.hub.Reporters() > collectors { // entry VMs of this data centre, which this VM itself collects
		delete(missing, b.n.Settings.Zone)
	}
	return b.hub.Reporters() > 0 && len(missing) == 0
}

func (b *batch) propose(ctx context.Context, command []byte) error {
	_, err := b.replica.Load().ProposeHere(ctx, group.FirstJobs, command)
	return err
}

// report adds the group's members to a report while this VM leads the group. A VM whose removal is not committed is still
// one of them: the group may need it after the next failure.
func (b *batch) report(p *roster.Report) {
	if !b.holdsLease() {
		return
	}
	p.Leads = true
	for _, s := range b.replica.Load().Status() {
		for _, m := range s.Committed.Members() {
			p.Members = append(p.Members, m.VM)
		}
	}
}

// sendHints sends each VM that reports here the load that other VMs put on the upstreams, while this VM leads or is a collector.
func (b *batch) sendHints(ctx context.Context) error {
	for pause.For(ctx, b.hub.Interval()) {
		leads := b.holdsLease()
		if !leads && !b.n.member.mirrored() {
			continue
		}
		var items map[string]int
		if leads {
			items = b.runner.InFlight()
			b.hub.SetBaseUse(time.Time{}, nil)
			b.hub.SetBase(time.Time{}, nil) // all VMs report here, directly or through a collector
		}
		ids, tag := b.n.member.upstreamIDs()
		for vm, l := range b.hub.Due(time.Now(), items) {
			if b.hub.Hashed(vm) {
				m := batchrun.EncodeLoads(l)
				if u := b.hub.OthersUse(time.Now(), vm); u != nil {
					m = batchrun.AppendUse(m, u)
				}
				b.n.link.Send(vm, link.Loads, m)
			} else {
				b.n.link.Send(vm, link.Hint, batchrun.EncodeHint(tag, ids, l))
			}
		}
		b.sendPaces()
	}
	return nil
}

// stop transfers leadership, so that the group need not wait for an election timeout.
func (b *batch) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if r := b.replica.Load(); r != nil {
		if err := r.Transfer(ctx); err != nil {
			b.n.Log.Warn("leadership not transferred; the group elects a leader after its election timeout", "error", err)
		}
	}
}
