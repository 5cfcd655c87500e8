package batch

import (
	"math/rand/v2"
	"time"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
)

// maxClaim bounds the items requested with one report.
const maxClaim = 64

// Agent schedules batch items on one upstream under one epoch of its lease. It does no I/O and is not safe for
// concurrent use.
//
// After every input the caller calls Schedule and NextReport, starts and stops runs as the Decision says, and commits
// the report if there is one. At most one report is in flight.
type Agent struct {
	s           Settings
	upstream    catalog.Upstream
	epoch       uint64
	lender      *Lender
	core        *Core
	outbox      *outbox
	tasks       map[ledger.Ref]Task // running
	sequence    uint64              // of the last report built
	validTo     time.Time           // end of the lease: LeaseTime after the last confirmed report was sent
	sentAt      time.Time           // when the last report was sent
	inFlight    *ledger.Report      // sent, without a reply yet
	unconfirmed *ledger.Report      // without a reply in time; it may or may not be committed
	stale       bool                // another VM holds the lease
	retiring    bool
}

// Reply is the result of committing a report.
type Reply struct {
	Outcome ledger.Outcome
	Tasks   []Task       // granted
	Unread  []ledger.Ref // granted, but their payload could not be read; released with the next report
	Failed  bool         // no reply in time; the report may or may not be committed
}

// NewAgent returns the Agent of a lease that was requested at sent; r draws the jitter of retries.
func NewAgent(s Settings, u catalog.Upstream, epoch uint64, sent time.Time, r *rand.Rand) *Agent {
	l := NewLender(s, u.Slots)
	return &Agent{
		s:        s,
		upstream: u,
		epoch:    epoch,
		lender:   l,
		core:     NewCore(s, l),
		outbox:   newOutbox(s, r),
		tasks:    map[ledger.Ref]Task{},
		sentAt:   sent,
		validTo:  sent.Add(s.LeaseTime),
	}
}

// SetOnline records how many online requests a VM has in flight at the upstream.
func (a *Agent) SetOnline(vm string, n int, now time.Time) { a.lender.SetOnline(vm, n, now) }

// SetLoadReport records the last load report of the upstream.
func (a *Agent) SetLoadReport(r LoadReport) { a.lender.SetLoadReport(r) }

// Reconfigure applies a changed configuration entry of the upstream.
func (a *Agent) Reconfigure(u catalog.Upstream) {
	a.upstream = u
	a.lender.slots = u.Slots
}

// HoldBack sets the function that reports whether items of a job must not start for now.
func (a *Agent) HoldBack(f func(job string) bool) { a.core.heldBack = f }

// Retire ends starts, preemption and claims. Running items run to their end; Close releases the others.
func (a *Agent) Retire() { a.retiring = true }

// MustStop reports whether the caller must stop all runs and close the Agent: the lease is lost or expired, a report
// got no reply in time, or the Agent is retired and has no run or report left.
func (a *Agent) MustStop(now time.Time) bool {
	return a.stale || a.unconfirmed != nil || !now.Before(a.validTo) || a.retiring && len(a.tasks) == 0 && a.inFlight == nil
}

// Schedule decides which runs to start and stop.
func (a *Agent) Schedule(now time.Time) Decision {
	if a.retiring {
		return Decision{}
	}
	d := a.core.Schedule(now)
	for _, t := range d.Start {
		a.tasks[t.Ref] = t
	}
	a.outbox.released = append(a.outbox.released, a.core.ReleaseReady(now)...)
	return d
}

// RunEnded records the end of a run and returns how it counts: Preempted becomes Uncertain if the item may not be
// repeated.
func (a *Agent) RunEnded(r ledger.Ref, e Ending, now time.Time) End {
	t, ok := a.tasks[r]
	if !ok {
		return e.End
	}
	delete(a.tasks, r)
	if e.End == Preempted && !t.Job.Repeatable {
		e.End = Uncertain
	}
	again := e.End == Preempted && a.core.resumable(r)
	a.core.RunEnded(r, again, e.Partial, now)
	switch e.End {
	case Preempted:
		if !again {
			a.outbox.released = append(a.outbox.released, r)
		}
		return e.End
	case Broken, Refused:
		a.core.RecordBreak(now)
	case Finished, Failed:
		a.core.RecordCompleted()
	}
	a.outbox.add(t, e, now)
	return e.End
}

// NextReport returns the report to commit now, or nil if none is due or one is in flight; pick chooses up to n items
// to claim.
func (a *Agent) NextReport(now time.Time, pick func(n int) []ledger.Claim) (*ledger.Report, error) {
	since := now.Sub(a.sentAt)
	if a.inFlight != nil || since < a.s.MinReportInterval && a.sequence > 0 {
		return nil, nil
	}
	var claims []ledger.Claim
	if n := min(a.core.ClaimCount(now), maxClaim); n > 0 && !a.retiring {
		claims = pick(n)
	}
	if a.outbox.empty() && len(claims) == 0 && since < a.s.MaxReportInterval {
		return nil, nil
	}
	r, err := a.buildReport()
	if err != nil {
		return nil, err
	}
	r.Claims = claims
	a.inFlight = r
	a.sentAt = now
	return r, nil
}

// LeaseEnd returns when the lease expires. Of a report that commits after another VM took the lease, the ledger stores only
// the results.
func (a *Agent) LeaseEnd() time.Time { return a.validTo }

// HandleReply processes the reply to the report in flight and returns the runs to stop, whose items are revoked.
func (a *Agent) HandleReply(v Reply) []ledger.Ref {
	r := a.inFlight
	a.inFlight = nil
	if v.Failed {
		a.unconfirmed = r
		return nil
	}
	if v.Outcome.Stale {
		a.stale = true
		return nil
	}
	a.validTo = a.sentAt.Add(a.s.LeaseTime)
	// Revoked items that run are released when their run has ended, all others with the next report.
	for _, x := range v.Outcome.Revoked {
		if _, ok := a.tasks[x]; !ok {
			a.outbox.released = append(a.outbox.released, x)
		}
	}
	a.outbox.released = append(a.outbox.released, v.Unread...)
	stop := a.core.Revoke(v.Outcome.Revoked)
	a.core.Grant(v.Tasks)
	return stop
}

// Close returns the final reports, to be committed in order after the runs have been stopped: those without a reply,
// then one that releases all items still held. Their results count even if the lease is lost.
func (a *Agent) Close() ([]*ledger.Report, error) {
	var l []*ledger.Report
	for _, r := range []*ledger.Report{a.unconfirmed, a.inFlight} {
		if r != nil {
			l = append(l, r)
		}
	}
	for _, t := range a.core.Held() {
		a.outbox.released = append(a.outbox.released, t.Ref)
	}
	r, err := a.buildReport()
	if err != nil {
		return l, err
	}
	return append(l, r), nil
}

func (a *Agent) buildReport() (*ledger.Report, error) {
	r, err := a.outbox.report()
	if err != nil {
		return nil, err
	}
	a.sequence++
	r.Upstream, r.Epoch, r.Sequence = a.upstream.Name, a.epoch, a.sequence
	return r, nil
}
