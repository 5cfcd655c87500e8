package batch

import (
	"time"

	"snipetack/internal/state/ledger"
)

// Task is a leased item with what is needed to run it.
type Task struct {
	ledger.Grant
	Job      ledger.Job
	CustomID string
	Body     []byte  // of the request
	Partial  Partial // received by an earlier, preempted run at this upstream
}

// Partial is the part of a response that a preempted run received.
type Partial struct {
	Chunks int
	Text   string
}

// Decision lists the items to start and the runs to stop.
type Decision struct {
	Start []Task
	Stop  []ledger.Ref // newest first
}

// Core schedules the leased items of one upstream. It does no I/O and is not safe for concurrent use.
type Core struct {
	s            Settings
	lender       *Lender
	ready        []Task              // preempted ones first
	running      []Task              // oldest first
	stopping     map[ledger.Ref]bool // running, but to be stopped: preempted or revoked
	revoked      map[ledger.Ref]bool // running, but revoked by the ledger; not resumed
	avgRunTime   time.Duration       // smoothed; zero until a run ends
	started      map[ledger.Ref]time.Time
	lastStart    time.Time             // when items last started
	heldBack     func(job string) bool // whether items of a job must not start; may be nil
	breaksInRow  int                   // broken or refused runs since an item was completed
	blockedUntil time.Time             // no item starts before
}

// Bounds of the pause in which nothing starts at an upstream that broke; it doubles with each break in a row.
const (
	minBreakPause = 200 * time.Millisecond
	maxBreakPause = 10 * time.Second
)

// NewCore returns a Core without items.
func NewCore(s Settings, l *Lender) *Core {
	return &Core{s: s, lender: l, stopping: map[ledger.Ref]bool{}, revoked: map[ledger.Ref]bool{}, started: map[ledger.Ref]time.Time{}}
}

// Grant adds leased items.
func (c *Core) Grant(l []Task) {
	c.ready = append(c.ready, l...)
}

// Schedule decides what to start and what to stop. It preempts the newest runs first, and none whose item may not be
// repeated.
func (c *Core) Schedule(now time.Time) Decision {
	var d Decision
	n := c.usableSlots(now)
	live := len(c.running) - len(c.stopping)
	for i := len(c.running) - 1; i >= 0 && live > n; i-- {
		r := c.running[i].Ref
		if c.stopping[r] || !c.running[i].Job.Repeatable {
			continue
		}
		c.stopping[r] = true
		d.Stop = append(d.Stop, r)
		live--
	}
	for len(c.running) < n && !c.runsIsolated() && !c.startDelayed(now) {
		i := c.nextReady()
		if i < 0 {
			break
		}
		t := c.ready[i]
		c.ready = append(c.ready[:i:i], c.ready[i+1:]...)
		c.running = append(c.running, t)
		c.started[t.Ref] = now
		d.Start = append(d.Start, t)
	}
	if len(d.Start) > 0 {
		c.lastStart = now
	}
	c.lender.SetBatchUse(len(c.running), now)
	return d
}

// RunEnded removes a running item; a preempted one becomes the next ready item and keeps its partial response.
func (c *Core) RunEnded(r ledger.Ref, preempted bool, p Partial, now time.Time) {
	for i, t := range c.running {
		if t.Ref != r {
			continue
		}
		c.running = append(c.running[:i:i], c.running[i+1:]...)
		if preempted {
			t.Partial = p
			c.ready = append([]Task{t}, c.ready...)
		} else {
			c.recordRunTime(now.Sub(c.started[r]))
		}
		break
	}
	delete(c.stopping, r)
	delete(c.revoked, r)
	delete(c.started, r)
	c.lender.SetBatchUse(len(c.running), now)
}

// Revoke drops items whose results are no longer wanted and returns the running ones, which the caller stops.
func (c *Core) Revoke(l []ledger.Ref) []ledger.Ref {
	revoked := map[ledger.Ref]bool{}
	for _, r := range l {
		revoked[r] = true
	}
	keep := c.ready[:0]
	for _, t := range c.ready {
		if !revoked[t.Ref] {
			keep = append(keep, t)
		}
	}
	c.ready = keep
	var run []ledger.Ref
	for _, t := range c.running {
		if revoked[t.Ref] {
			run = append(run, t.Ref)
			c.stopping[t.Ref] = true
			c.revoked[t.Ref] = true
		}
	}
	return run
}

// ReleaseReady removes and returns the ready items if they would wait too long here: the upstream broke, or batch
// has had no slot for QuietPeriod.
func (c *Core) ReleaseReady(now time.Time) []ledger.Ref {
	broken := c.breaksInRow > 0
	if !broken && (c.lender.Allowed(now) > 0 || now.Sub(c.lender.lastAllowed) < c.s.QuietPeriod) {
		return nil
	}
	var l []ledger.Ref
	for _, t := range c.ready {
		l = append(l, t.Ref)
	}
	c.ready = nil
	return l
}

// ClaimCount returns how many items to claim so that slots stay filled until the next report: one for each free
// slot and, for each usable slot, as many as end within MaxReportInterval (at most 4, and 1 while the run time is
// unknown), less the ready ones.
func (c *Core) ClaimCount(now time.Time) int {
	n := c.usableSlots(now)
	if n == 0 {
		return 0
	}
	perSlot := 1.0
	if c.avgRunTime > 0 {
		perSlot = min(4, float64(c.s.MaxReportInterval)/float64(c.avgRunTime))
	}
	return max(0, n-len(c.running)+int(float64(n)*perSlot+0.5)-len(c.ready))
}

// Running returns how many items run.
func (c *Core) Running() int { return len(c.running) }

// Held returns all items, running ones first.
func (c *Core) Held() []Task {
	return append(append([]Task(nil), c.running...), c.ready...)
}

// RecordBreak records that the upstream broke or refused work: nothing starts for a pause, then one item at a
// time until one is completed.
func (c *Core) RecordBreak(now time.Time) {
	c.breaksInRow++
	c.blockedUntil = now.Add(min(maxBreakPause, minBreakPause<<min(c.breaksInRow-1, 10)))
}

// RecordCompleted records that the upstream completed an item, successfully or not, which ends the restrictions
// after a break.
func (c *Core) RecordCompleted() {
	c.breaksInRow = 0
}

// usableSlots returns how many slots batch may use now: none in the pause after a break, then one until an item is
// completed.
func (c *Core) usableSlots(now time.Time) int {
	n := c.lender.Allowed(now)
	switch {
	case now.Before(c.blockedUntil):
		return 0
	case c.breaksInRow > 0:
		return min(n, 1)
	}
	return n
}

// startDelayed reports whether starts wait for StartPause to pass. A prompt lengthens the engine step that reads it,
// so while online requests run, starts are grouped to share one step.
func (c *Core) startDelayed(now time.Time) bool {
	return c.lender.InFlight(now) > 0 && now.After(c.lastStart) && now.Sub(c.lastStart) < c.s.StartPause
}

// nextReady returns the index of the ready item to start, or -1. An item that broke MaxBreaks upstreams runs alone.
// Items that may not be repeated can't be preempted, so only one of them runs at a time.
func (c *Core) nextReady() int {
	unrepeatableRuns := false
	for _, t := range c.running {
		unrepeatableRuns = unrepeatableRuns || !t.Job.Repeatable
	}
	for i, t := range c.ready {
		if c.heldBack != nil && c.heldBack(t.Ref.Job) || unrepeatableRuns && !t.Job.Repeatable || c.isolated(t) && len(c.running) > 0 {
			continue
		}
		return i
	}
	return -1
}

func (c *Core) isolated(t Task) bool {
	return t.Suspicion >= c.s.MaxBreaks
}

func (c *Core) runsIsolated() bool {
	return len(c.running) == 1 && c.isolated(c.running[0])
}

func (c *Core) recordRunTime(d time.Duration) {
	if c.avgRunTime == 0 {
		c.avgRunTime = d
	}
	c.avgRunTime += (d - c.avgRunTime) / 8
}

// resumable reports whether a running item has not been revoked.
func (c *Core) resumable(r ledger.Ref) bool {
	return !c.revoked[r]
}
