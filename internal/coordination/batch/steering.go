package batch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
)

// Deps are the dependencies of a Scheduler.
type Deps struct {
	VM       string
	VMs      []string // all VMs of the fleet
	Settings Settings
	Ledger   LedgerProvider
	Runner   RunnerProvider
	Copy     CopyProvider
	Load     LoadProvider
	Send     SendProvider
	Seed     uint64 // of backoff jitter
	Log      *slog.Logger
}

// Scheduler is a VM's part in batch work: it takes leases of upstreams with open jobs and schedules their items.
type Scheduler struct {
	d         Deps
	payloads  *payloads
	openJobs  *openJobs
	holds     *holds
	mu        sync.Mutex
	drivers   map[string]*driver
	holders   map[string]string // VMs that hold the leases, by upstream
	contender *Contender        // used by Run only
	wait      sync.WaitGroup
}

// New returns a Scheduler that does nothing until Run.
func New(d Deps) *Scheduler {
	return &Scheduler{
		d:         d,
		payloads:  &payloads{ledger: d.Ledger},
		openJobs:  newOpenJobs(d.Settings),
		holds:     newHolds(),
		drivers:   map[string]*driver{},
		holders:   map[string]string{},
		contender: NewContender(d.Settings, d.VM, d.VMs),
	}
}

// Run schedules until ctx ends, and then releases all items and leases.
func (s *Scheduler) Run(ctx context.Context) error {
	s.wait.Go(func() { s.publishLoad(ctx) })
	wait := s.d.Settings.IdlePoll
	for pause.For(ctx, wait) {
		wait = s.d.Settings.IdlePoll
		c, cancel := context.WithTimeout(ctx, s.d.Settings.LeaseTime)
		a, err := s.d.Ledger.Read(c, ledger.Query{Subject: ledger.Open})
		cancel()
		if err != nil {
			s.d.Log.Debug("reading open jobs failed; retrying", "error", err)
			continue
		}
		s.updateLeases(ctx, a, time.Now())
		if len(a.Jobs) > 0 {
			wait = s.d.Settings.Poll
		}
	}
	s.wait.Wait()
	return nil
}

// TakeLoad receives a VM's count of online requests. It never blocks, and ignores upstreams whose lease this VM does
// not hold.
func (s *Scheduler) TakeLoad(from string, l Load) {
	s.mu.Lock()
	t := s.drivers[l.Upstream]
	s.mu.Unlock()
	if t != nil {
		t.setOnline(from, l.InFlight)
	}
}

// Hold keeps this VM from starting items of a job for holdTime. It is called before a cancel is committed.
func (s *Scheduler) Hold(job string) {
	s.holds.add(job, time.Now())
}

// updateLeases takes the leases of engines that have open jobs and are not leaving, and retires all others.
func (s *Scheduler) updateLeases(ctx context.Context, a ledger.Response, now time.Time) {
	c := s.d.Copy.Current()
	s.openJobs.update(a.Jobs, now)
	openServices := map[string]bool{}
	for _, j := range a.Jobs {
		openServices[j.Service] = true
	}
	leases := map[string]ledger.Lease{}
	s.mu.Lock()
	for _, l := range a.Leases {
		leases[l.Upstream] = l
		s.holders[l.Upstream] = l.VM
	}
	s.mu.Unlock()
	usable := map[string]bool{}
	for n, u := range c.Upstreams {
		if u.Leaving || !openServices[u.Service] || c.Services[u.Service].Kind != catalog.Engine {
			continue
		}
		usable[n] = true
		l, ok := leases[n]
		if !ok {
			l = ledger.Lease{Upstream: n}
		}
		s.tryTakeLease(ctx, u, l, now, true)
	}
	for n, l := range leases {
		if !usable[n] {
			s.retire(ctx, l, now)
		}
	}
}

// retire ends batch scheduling of an upstream. If no driver of this VM runs it, an expired lease with items is taken
// and released, which makes the items claimable again.
func (s *Scheduler) retire(ctx context.Context, l ledger.Lease, now time.Time) {
	s.mu.Lock()
	t := s.drivers[l.Upstream]
	s.mu.Unlock()
	if t != nil {
		t.retire()
		return
	}
	if l.VM != "" && l.Held > 0 {
		s.tryTakeLease(ctx, catalog.Upstream{Name: l.Upstream}, l, now, false)
	}
}

// tryTakeLease takes a lease that is free or expired and starts to schedule, or releases it immediately if keep is
// false. If this VM holds the lease, it passes on the configuration entry only.
func (s *Scheduler) tryTakeLease(ctx context.Context, u catalog.Upstream, l ledger.Lease, now time.Time, keep bool) {
	s.mu.Lock()
	t := s.drivers[u.Name]
	s.mu.Unlock()
	if t != nil {
		t.reconfigure(u)
		return
	}
	if !s.contender.MayTake(l, now) {
		return
	}
	sent := time.Now()
	o, err := s.propose(ctx, ledger.Command{Take: &ledger.Take{Upstream: u.Name, VM: s.d.VM, Epoch: l.Epoch, Renewal: l.Renewal}})
	if err != nil || o.Stale {
		return
	}
	s.d.Log.Info("batch lease taken", "upstream", u.Name, "epoch", o.Epoch, "before", l.VM, "reason", takeReason(l))
	if !keep {
		_, _ = s.propose(ctx, ledger.Command{Release: &ledger.Release{Upstream: u.Name, Epoch: o.Epoch}})
		return
	}
	s.start(ctx, u, o, sent)
}

func (s *Scheduler) start(ctx context.Context, u catalog.Upstream, o ledger.Outcome, sent time.Time) {
	t := newDriver(s, u, o.Epoch, sent)
	s.mu.Lock()
	s.drivers[u.Name] = t
	s.holders[u.Name] = s.d.VM
	s.mu.Unlock()
	s.wait.Go(func() {
		t.run(ctx, o.Revoked)
		s.mu.Lock()
		delete(s.drivers, u.Name)
		s.mu.Unlock()
	})
}

func (s *Scheduler) propose(ctx context.Context, c ledger.Command) (ledger.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, s.d.Settings.LeaseTime)
	defer cancel()
	c.At = time.Now()
	return s.d.Ledger.Propose(ctx, c)
}

// publishLoad sends the lease holder of each upstream how many online requests this VM has there: changes
// immediately, and counts above zero again every MaxReportInterval, since they expire.
func (s *Scheduler) publishLoad(ctx context.Context) {
	t := time.NewTicker(s.d.Settings.MaxReportInterval)
	defer t.Stop()
	last := map[string]int{}
	for {
		periodic := false
		select {
		case <-s.d.Load.Changed():
		case <-t.C:
			periodic = true
		case <-ctx.Done():
			return
		}
		for n, vm := range s.currentHolders() {
			v := s.d.Load.InFlight(n)
			if v == last[n] && (!periodic || v == 0) {
				continue
			}
			s.sendLoad(vm, Load{Upstream: n, InFlight: v, Burst: v > last[n]})
			last[n] = v
		}
	}
}

func (s *Scheduler) currentHolders() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]string, len(s.holders))
	for n, vm := range s.holders {
		if vm != "" {
			m[n] = vm
		}
	}
	return m
}

func (s *Scheduler) sendLoad(vm string, l Load) {
	if vm == s.d.VM {
		s.TakeLoad(vm, l)
		return
	}
	s.d.Send.SendLoad(vm, l)
}

func takeReason(l ledger.Lease) string {
	if l.VM == "" {
		return "free"
	}
	return "lapsed"
}
