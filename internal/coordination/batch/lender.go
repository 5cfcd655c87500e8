package batch

import (
	"math"
	"time"
)

// loadTTL is how long a VM's count of online requests, or an upstream's load report, is valid.
const loadTTL = 3 * time.Second

// Lender decides how many of an upstream's slots batch may use beside its online requests. It does no I/O and is not
// safe for concurrent use.
type Lender struct {
	s           Settings
	slots       int
	online      map[string]count // by VM
	lastOnline  time.Time        // last time a VM reported online requests
	lastAllowed time.Time        // last time batch was allowed a slot
	report      LoadReport
	batchUse    []count // slots in use within loadTTL, to tell online from batch in a lagged report
}

// count is a number of requests at a moment.
type count struct {
	n  int
	at time.Time
}

// LoadReport is an upstream's own report of its sequences, online and batch together; it lags.
type LoadReport struct {
	Running int
	Waiting int
	At      time.Time // time it describes
}

// NewLender returns a Lender for an upstream with the given number of slots.
func NewLender(s Settings, slots int) *Lender {
	return &Lender{s: s, slots: slots, online: map[string]count{}}
}

// SetOnline records how many online requests a VM has in flight at the upstream.
func (l *Lender) SetOnline(vm string, n int, now time.Time) {
	l.online[vm] = count{n: n, at: now}
	if n > 0 {
		l.lastOnline = now
	}
}

// SetLoadReport records the last load report.
func (l *Lender) SetLoadReport(r LoadReport) {
	l.report = r
}

// SetBatchUse records how many slots batch uses from now on.
func (l *Lender) SetBatchUse(n int, now time.Time) {
	l.batchUse = append(l.batchUse, count{n: n, at: now})
	i := 0
	for i < len(l.batchUse)-1 && now.Sub(l.batchUse[i+1].at) > loadTTL {
		i++
	}
	l.batchUse = l.batchUse[i:]
}

// InFlight returns the number of online requests at the upstream: the sum of the VMs' valid counts, or what the load
// report implies if that is more.
func (l *Lender) InFlight(now time.Time) int {
	n := 0
	for _, c := range l.online {
		if now.Sub(c.at) <= loadTTL {
			n += c.n
		}
	}
	return max(n, l.onlineFromReport(now))
}

// Allowed returns how many slots batch may use now.
func (l *Lender) Allowed(now time.Time) int {
	n := l.InFlight(now)
	free := l.slots - n
	if n > 0 || now.Sub(l.lastOnline) < l.s.QuietPeriod {
		free -= int(math.Ceil(l.s.Reserve * float64(l.slots)))
	}
	if n > 0 {
		free = min(free, l.maxSequences(n)-n)
	}
	if free > 0 {
		l.lastAllowed = now
	}
	return max(0, free)
}

// maxSequences returns how many sequences, online and batch, may run so that a step is at most GapTarget times as
// long as with n online ones alone.
func (l *Lender) maxSequences(n int) int {
	step := 1 + l.s.StepGrowth*float64(n-1)
	return 1 + int((l.s.GapTarget*step-1)/l.s.StepGrowth+1e-9)
}

// onlineFromReport returns the online requests that a valid load report implies, also of VMs whose counts are
// missing: all sequences less the most that batch ran around the time of the report.
func (l *Lender) onlineFromReport(now time.Time) int {
	if l.report.At.IsZero() || now.Sub(l.report.At) > loadTTL {
		return 0
	}
	maxBatch := 0
	for i, c := range l.batchUse {
		overlaps := i == len(l.batchUse)-1 || l.batchUse[i+1].at.After(l.report.At.Add(-loadTTL/8))
		if overlaps && c.at.Before(l.report.At.Add(loadTTL/8)) {
			maxBatch = max(maxBatch, c.n)
		}
	}
	return max(0, l.report.Running+l.report.Waiting-maxBatch)
}
