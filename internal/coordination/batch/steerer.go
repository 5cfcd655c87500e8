package batch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
)

// Timing and bounds of one upstream's batch scheduling.
const (
	tick          = 50 * time.Millisecond  // between scheduling passes without an event
	loadPoll      = 500 * time.Millisecond // between reads of the upstream's load report
	finishTimeout = 2 * time.Second        // for runs to end in finish; twice that for all of finish
	endedBuffer   = 256
	loadBuffer    = 256
)

// driver runs an Agent on an upstream: it starts and stops runs as the Agent decides and commits its reports.
type driver struct {
	s        *Scheduler
	upstream catalog.Upstream
	epoch    uint64
	agent    *Agent
	cancels  map[ledger.Ref]context.CancelFunc
	runs     sync.WaitGroup        // all goroutines of the driver
	ended    chan runEnd           // if full, the run waits
	replies  chan Reply            // to the one report in flight
	loads    chan vmLoad           // if full, the oldest is dropped
	reports  chan LoadReport       // if full, the new one is dropped
	changes  chan catalog.Upstream // if full, the new one is dropped; the next updateLeases sends it again
	retired  chan struct{}
}

type runEnd struct {
	ref    ledger.Ref
	ending Ending
}

type vmLoad struct {
	vm string
	n  int
}

func newDriver(s *Scheduler, u catalog.Upstream, epoch uint64, sent time.Time) *driver {
	r := rand.New(rand.NewPCG(xxhash.Sum64String(u.Name)^s.d.Seed, epoch))
	a := NewAgent(s.d.Settings, u, epoch, sent, r)
	a.HoldBack(s.holds.has)
	return &driver{
		s:        s,
		upstream: u,
		epoch:    epoch,
		agent:    a,
		cancels:  map[ledger.Ref]context.CancelFunc{},
		ended:    make(chan runEnd, endedBuffer),
		replies:  make(chan Reply, 1),
		loads:    make(chan vmLoad, loadBuffer),
		reports:  make(chan LoadReport, 1),
		changes:  make(chan catalog.Upstream, 1),
		retired:  make(chan struct{}, 1),
	}
}

// setOnline queues a VM's count of online requests for the Agent; it never blocks.
func (t *driver) setOnline(vm string, n int) {
	for {
		select {
		case t.loads <- vmLoad{vm: vm, n: n}:
			return
		default:
		}
		select {
		case <-t.loads:
		default:
		}
	}
}

// retire makes the driver start nothing more. When its running items have ended, it releases the others and the lease, and
// ends.
func (t *driver) retire() {
	select {
	case t.retired <- struct{}{}:
	default:
	}
}

// reconfigure queues a configuration entry of the upstream for the Agent; it never blocks.
func (t *driver) reconfigure(u catalog.Upstream) {
	select {
	case t.changes <- u:
	default:
	}
}

// run schedules until ctx ends, the lease ends or the driver is retired. orphans are the items that the previous
// holder had leased and may have left running.
func (t *driver) run(ctx context.Context, orphans []ledger.Ref) {
	// Runs and final reports outlive ctx until finish has stopped and committed them.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	t.runs.Go(func() { t.pollLoad(inner) })
	t.runs.Go(func() { t.cancelOrphans(inner, orphans) })
	t.loop(ctx, inner)
	t.finish(inner)
	stop()
	t.drain()
}

func (t *driver) loop(ctx, inner context.Context) {
	k := time.NewTicker(tick)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.retired:
			t.agent.Retire()
		case u := <-t.changes:
			t.agent.Reconfigure(u)
		case l := <-t.loads:
			t.agent.SetOnline(l.vm, l.n, time.Now())
		case r := <-t.reports:
			t.agent.SetLoadReport(r)
		case e := <-t.ended:
			t.handleRunEnd(e)
		case v := <-t.replies:
			t.handleReply(v)
		case <-k.C:
		}
		n := time.Now()
		if t.agent.MustStop(n) {
			return
		}
		t.schedule(inner, n)
		t.report(inner, n)
	}
}

// schedule starts and stops runs as the Agent decides.
func (t *driver) schedule(ctx context.Context, now time.Time) {
	d := t.agent.Schedule(now)
	if len(d.Stop) > 0 {
		t.s.d.Log.Info("batch items preempted", "upstream", t.upstream.Name, "items", len(d.Stop),
			"online", t.agent.lender.InFlight(now), "allowed", t.agent.lender.Allowed(now))
	}
	for _, r := range d.Stop {
		t.cancel(r)
	}
	for _, k := range d.Start {
		t.launch(ctx, k)
	}
}

func (t *driver) launch(ctx context.Context, k Task) {
	ctx, cancel := context.WithCancel(ctx)
	t.cancels[k.Ref] = cancel
	u := t.agent.upstream
	t.runs.Go(func() {
		defer cancel()
		t.ended <- runEnd{ref: k.Ref, ending: t.s.d.Runner.Run(ctx, u, k)}
	})
}

func (t *driver) cancel(r ledger.Ref) {
	if f := t.cancels[r]; f != nil {
		f()
	}
}

// handleRunEnd passes the end of a run to the Agent.
func (t *driver) handleRunEnd(e runEnd) {
	delete(t.cancels, e.ref)
	if v := t.agent.RunEnded(e.ref, e.ending, time.Now()); v == Broken || v == Refused {
		t.s.d.Log.Info("batch paused at upstream", "upstream", t.upstream.Name, "job", e.ref.Job, "item", e.ref.Item, "reason", v.String())
	}
}

// report starts to commit the next report, if one is due.
func (t *driver) report(ctx context.Context, now time.Time) {
	r, err := t.agent.NextReport(now, func(n int) []ledger.Claim { return t.s.openJobs.pick(t.upstream.Service, n, now) })
	if err != nil {
		t.s.d.Log.Error("packing a batch report failed; retrying", "upstream", t.upstream.Name, "error", err)
		return
	}
	if r == nil {
		return
	}
	until := t.agent.LeaseEnd()
	t.runs.Go(func() { t.replies <- t.send(ctx, r, now, until) })
}

// send commits a report, retried until the lease ends, and reads the payloads of the granted items.
func (t *driver) send(ctx context.Context, r *ledger.Report, now, until time.Time) Reply {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	o, err := t.s.d.Ledger.Propose(ctx, ledger.Command{At: now, Report: r})
	v := Reply{Outcome: o, Failed: err != nil}
	for _, g := range o.Grants {
		k, err := t.read(ctx, g)
		if err != nil {
			t.s.d.Log.Debug("reading a leased item failed; releasing it", "job", g.Ref.Job, "item", g.Ref.Item, "error", err)
			v.Unread = append(v.Unread, g.Ref)
			continue
		}
		v.Tasks = append(v.Tasks, k)
	}
	return v
}

func (t *driver) read(ctx context.Context, g ledger.Grant) (Task, error) {
	k := Task{Grant: g}
	k.Job, _ = t.s.openJobs.job(g.Ref.Job)
	l, err := t.s.payloads.line(ctx, k.Job.File, g.Ref.Item)
	if err != nil {
		return k, err
	}
	k.CustomID, k.Body, err = t.s.d.Runner.Parse(l)
	return k, err
}

// handleReply passes the reply to a report to the Agent and stops the runs of revoked items.
func (t *driver) handleReply(v Reply) {
	for _, r := range t.agent.HandleReply(v) {
		t.cancel(r)
	}
	jobs := map[string]int{}
	for _, g := range v.Outcome.Grants {
		jobs[g.Ref.Job]++
	}
	for j, n := range jobs {
		t.s.openJobs.addLeased(j, n)
		t.s.d.Log.Info("leased", "upstream", t.upstream.Name, "job", j, "items", n, "epoch", t.epoch)
	}
}

// finish stops all runs and commits their results, then releases the other items and the lease. If the commits
// don't succeed in time, the lease expires and the next holder's Take releases the items.
func (t *driver) finish(inner context.Context) {
	c, cancel := context.WithTimeout(inner, 2*finishTimeout)
	defer cancel()
	limit := time.NewTimer(finishTimeout)
	defer limit.Stop()
	for _, f := range t.cancels {
		f()
	}
	for timedOut := false; len(t.agent.tasks) > 0 && !timedOut; {
		select {
		case e := <-t.ended:
			t.handleRunEnd(e)
		case v := <-t.replies:
			t.handleReply(v)
		case <-limit.C:
			timedOut = true
		}
	}
	l, err := t.agent.Close()
	if err != nil {
		t.s.d.Log.Error("packing the final batch report failed; its results are lost", "upstream", t.upstream.Name, "error", err)
	}
	for _, r := range l {
		_, _ = t.s.d.Ledger.Propose(c, ledger.Command{At: time.Now(), Report: r})
	}
	_, _ = t.s.d.Ledger.Propose(c, ledger.Command{At: time.Now(), Release: &ledger.Release{Upstream: t.upstream.Name, Epoch: t.epoch}})
	t.s.d.Log.Info("batch scheduling of upstream ended", "upstream", t.upstream.Name, "epoch", t.epoch)
}

// drain waits for all goroutines of the driver and drops what they still send.
func (t *driver) drain() {
	done := make(chan struct{})
	go func() {
		t.runs.Wait()
		close(done)
	}()
	for {
		select {
		case <-t.ended:
		case <-t.replies:
		case <-done:
			return
		}
	}
}

// cancelOrphans frees slots that items of the previous holder may still occupy.
func (t *driver) cancelOrphans(ctx context.Context, orphans []ledger.Ref) {
	for _, r := range orphans {
		t.s.d.Runner.Cancel(ctx, t.upstream, r)
	}
}

// pollLoad reads the upstream's load reports; one that can't be read is skipped.
func (t *driver) pollLoad(ctx context.Context) {
	k := time.NewTicker(loadPoll)
	defer k.Stop()
	for {
		select {
		case <-k.C:
		case <-ctx.Done():
			return
		}
		r, err := t.s.d.Runner.Load(ctx, t.upstream)
		if err != nil {
			continue
		}
		select {
		case t.reports <- r:
		default:
		}
	}
}
