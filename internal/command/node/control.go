package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/share"
	"snipetack/internal/state/group"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/link"
)

// Timing of a control VM.
const (
	listInterval  = 500 * time.Millisecond // each read is charged; an upstream that leaves is known in time
	leadInterval  = 40 * time.Millisecond
	deadAfter     = 1500 * time.Millisecond // a voter may be replaced; well within the time for catching up
	commitTimeout = 2500 * time.Millisecond // of an operator's change
	retireSettle  = time.Second             // until the batch VMs know who leaves
	transferTime  = 1500 * time.Millisecond
)

// control keeps the configuration and tells the other VMs what is new.
type control struct {
	n       *Node
	machine *plan.Control
	replica *replica.Replica
	newest  chan []byte // the last committed configuration that is not in force here yet; has room for one

	mu      sync.Mutex
	roster  *roster.Roster       // nil unless this VM leads
	ledger  *share.Ledger        // with roster
	leaving map[string]time.Time // since when this VM knows who leaves, by name
}

func newControl(n *Node) (*control, error) {
	c := &control{n: n, leaving: map[string]time.Time{}, newest: make(chan []byte, 1)}
	c.machine = plan.NewControl(c.observe)
	var founders []string
	if n.Settings.Bootstrap {
		founders = n.member.seeds
	}
	r, err := replica.New(replica.Deps{
		VM:             n.link.Self(),
		InitialMembers: founders,
		Contacts:       n.member.controls,
		Growth:         &replica.Growth{MaxVoters: n.voters(), DeadAfter: deadAfter, Leaving: func() []string { return nil }, MinVoters: 1},
		Folder:         n.Disk,
		Machines:       map[uint32]replica.Machine{group.Control: c.machine},
		Send:           sender{n.link},
		Forward:        forwarder{n.link},
		Timing:         groupTiming(),
		Log:            n.Log,
	})
	c.replica = r
	n.link.Receive(link.Consensus, func(from string, b []byte) { r.Receive(from, b) })
	n.link.Handle(link.Propose, func(ctx context.Context, _ string, b []byte) ([]byte, error) {
		return r.ProposeHere(ctx, group.Control, b)
	})
	n.link.Handle(link.Sync, c.sync)
	n.link.Handle(link.Quota, c.quota)
	if err == nil {
		err = n.gauges(groupGauges(group.Control, func() *replica.Replica { return c.replica }))
	}
	return c, err
}

// groupTiming finds a lost leader soon; the VMs of a region answer within a few milliseconds.
func groupTiming() consensus.Timing {
	return consensus.Timing{
		Heartbeat:   80 * time.Millisecond,
		ElectionMin: 350 * time.Millisecond,
		ElectionMax: 600 * time.Millisecond,
		RetryMax:    200 * time.Millisecond,
		Resend:      300 * time.Millisecond,
		DriftDenom:  20,
	}
}

// sender carries messages of the groups.
type sender struct{ l *link.Link }

// Send sends a frame to another VM.
func (s sender) Send(vm string, b []byte) { s.l.Send(vm, link.Consensus, slices.Clone(b)) }

// forwarder carries commands to the VM that leads a group.
type forwarder struct{ l *link.Link }

// Forward commits a command through another VM.
func (f forwarder) Forward(ctx context.Context, vm string, _ uint32, command []byte) ([]byte, error) {
	return f.l.Call(ctx, vm, link.Propose, command)
}

// observe takes committed states; of many that come at once, as after a start, only the last is worth reading.
func (c *control) observe(s plan.State) {
	c.noteLeaving(time.Now(), s.Leaving)
	if len(s.Document) == 0 {
		return
	}
	select {
	case <-c.newest:
	default:
	}
	c.newest <- s.Document
}

func (c *control) noteLeaving(now time.Time, names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range names {
		if _, ok := c.leaving[n]; !ok {
			c.leaving[n] = now
		}
	}
}

// adopt puts committed configurations in force here.
func (c *control) adopt(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case b := <-c.newest:
			c.n.member.adoptDocument(b)
		}
	}
}

func (c *control) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.replica.Run(ctx) })
	g.Go(func() error { return c.adopt(ctx) })
	g.Go(func() error { return c.lead(ctx) })
	g.Go(func() error { return c.readList(ctx) })
	g.Go(func() error {
		return serveHTTP(ctx, c.n, c.n.Settings.Operators, c.n.Surroundings.Operators(c))
	})
	return g.Wait()
}

func (c *control) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTime)
	defer cancel()
	if err := c.replica.Transfer(ctx); err != nil {
		c.n.Log.Warn("leadership not handed on", "error", err)
	}
}

// lead keeps a roster while this VM leads.
func (c *control) lead(ctx context.Context) error {
	for pause.For(ctx, leadInterval) {
		_, _, leads := c.replica.Lease(group.Control)
		now := time.Now()
		c.mu.Lock()
		if !leads {
			c.roster = nil
			c.mu.Unlock()
			continue
		}
		if c.roster == nil {
			c.roster = c.newRoster(now)
			c.ledger = share.NewLedger(c.n.Settings.QuotaSlack / 2)
		}
		c.roster.Expire(now)
		founders := c.roster.InitialMembers(now, c.n.voters())
		c.mu.Unlock()
		if len(founders) == 0 || len(c.machine.State().Founders) > 0 {
			continue
		}
		if err := c.propose(ctx, plan.Command{Founders: founders}); err == nil {
			c.n.Log.Info("founders of the batch group chosen", "founders", founders)
		}
	}
	return nil
}

func (c *control) newRoster(now time.Time) *roster.Roster {
	c.n.Log.Info("leads the control group")
	m := c.n.member
	l, read := m.Upstreams()
	m.mu.RLock()
	defer m.mu.RUnlock()
	return roster.New(now, m.vms, l, read)
}

// readList reads the list of upstreams for all VMs while this VM leads, and once after a start, since entries that
// start with it need a list before there is a leader.
func (c *control) readList(ctx context.Context) error {
	var at time.Time
	for pause.For(ctx, leadInterval/2) {
		c.mu.Lock()
		leads := c.roster != nil
		c.mu.Unlock()
		_, read := c.n.member.Upstreams()
		due := (leads || read.IsZero()) && time.Since(at) >= listInterval
		if !due {
			continue
		}
		at = time.Now()
		l, err := c.n.list.Read(ctx)
		if err != nil {
			c.n.Log.Warn("list of upstreams not read", "error", err)
			continue
		}
		if read.IsZero() {
			c.n.member.adoptList(l, at)
		}
		c.mu.Lock()
		if c.roster != nil {
			c.roster.SetUpstreams(l, at)
		}
		c.mu.Unlock()
	}
	return nil
}

// sync answers the report of a VM.
func (c *control) sync(_ context.Context, _ string, b []byte) ([]byte, error) {
	r, err := roster.DecodeReport(b)
	if err != nil {
		return nil, err
	}
	s := c.machine.State()
	_, _, leads := c.replica.Lease(group.Control)
	c.mu.Lock()
	defer c.mu.Unlock()
	if leads && c.roster != nil {
		return roster.EncodeBulletin(c.roster.Report(time.Now(), r, s, c.accounts())), nil
	}
	l, _ := c.replica.Leader(group.Control)
	m := c.n.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	x := roster.Bulletin{Leader: l, Version: s.Version, InitialMembers: s.Founders, Leaving: s.Leaving, BatchLeader: m.batchLeader,
		BatchMembers: m.batchMembers}
	if r.Version < s.Version {
		x.Document = s.Document
	}
	if age := time.Since(m.listRead); r.ListTag == 0 && age < listStale {
		x.Upstreams, x.ListTag, x.ListAge = m.upstreams, m.listTag, age
	}
	return roster.EncodeBulletin(x), nil
}

// quota admits requests of accounts while this VM leads.
func (c *control) quota(_ context.Context, _ string, b []byte) ([]byte, error) {
	l, err := decodeTokens(b)
	if err != nil {
		return nil, err
	}
	_, _, leads := c.replica.Lease(group.Control)
	p := c.n.member.Plan()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leads || c.roster == nil || p == nil {
		return nil, errors.New("this VM does not lead")
	}
	now := time.Now()
	for i := range l {
		a := p.Accounts[l[i].account]
		l[i].count, l[i].after = c.ledger.Take(now, l[i].account, l[i].count, share.Limit{Rate: a.Rate, Burst: a.Burst})
	}
	return encodeTokens(l), nil
}

func (c *control) accounts() []string {
	p := c.n.member.Plan()
	if p == nil {
		return nil
	}
	var l []string
	for n, a := range p.Accounts {
		if a.Rate > 0 {
			l = append(l, n)
		}
	}
	return l
}

func (c *control) propose(ctx context.Context, m plan.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := c.replica.Propose(ctx, group.Control, plan.EncodeCommand(m))
	if err != nil {
		c.n.Log.Warn("control command not confirmed", "error", err)
	}
	return err
}

// Put commits a configuration; one that is not newer changes nothing.
func (c *control) Put(ctx context.Context, p *plan.Plan, document []byte) error {
	err := c.propose(ctx, plan.Command{Version: p.Version, Document: document})
	c.n.Log.Info("configuration put", "version", p.Version, "error", err)
	return err
}

// Get returns the newest committed configuration.
func (c *control) Get(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := c.replica.Barrier(ctx, group.Control); err != nil {
		return nil, err
	}
	s := c.machine.State()
	if len(s.Document) == 0 {
		return nil, result.New(result.NotReady, "there is no configuration yet")
	}
	return s.Document, nil
}

// Retire begins to empty a batch VM.
func (c *control) Retire(ctx context.Context, vm string) error {
	if err := c.replica.Barrier(ctx, group.Control); err != nil {
		return err
	}
	s := c.machine.State()
	if slices.Contains(s.Leaving, vm) {
		return nil
	}
	m := c.n.member
	m.mu.RLock()
	l := m.vms
	m.mu.RUnlock()
	if f := roster.CheckLeave(l, s.Leaving, vm, c.n.fewest()); f != nil {
		return f
	}
	return c.propose(ctx, plan.Command{Leave: vm})
}

// Retired reports whether a batch VM is empty.
func (c *control) Retired(ctx context.Context, vm string) (bool, error) {
	if err := c.replica.Barrier(ctx, group.Control); err != nil {
		return false, err
	}
	if !slices.Contains(c.machine.State().Leaving, vm) {
		return false, result.New(result.VMUnknown, "batch VM %q is not leaving", vm)
	}
	c.mu.Lock()
	since := c.leaving[vm]
	c.mu.Unlock()
	m := c.n.member
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.batchLeader == "" || len(m.batchMembers) == 0 || time.Since(since) < retireSettle {
		return false, nil
	}
	for _, v := range m.vms {
		if v.Name == vm && slices.Contains(m.batchMembers, v.Address) {
			return false, nil
		}
	}
	return true, nil
}
