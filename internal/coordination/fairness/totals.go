package fairness

import "time"

// reportExpiry is the time after which the last report of a VM is left out.
const reportExpiry = othersExpiry

// Totals sums up the reports of several VMs and tells each what the others gave; it is not safe for concurrent use. A VM that does not report use
// gets none either: its build may be older.
type Totals struct {
	reports map[string]*report // by VM
	base    Use                // of VMs that do not report here
	baseAt  time.Time
	sentAt  time.Time // of the last sum to another Totals
}

// report is the last report of a VM.
type report struct {
	use    Use
	at     time.Time
	sentAt time.Time // when the VM was last told what others gave
}

// NewTotals returns Totals without reports.
func NewTotals() *Totals { return &Totals{reports: map[string]*report{}} }

// Set replaces the report of a VM.
func (t *Totals) Set(now time.Time, vm string, u Use) {
	r := t.reports[vm]
	if r == nil {
		r = &report{}
		t.reports[vm] = r
	}
	r.use, r.at = u, now
}

// Remove removes the report of a VM.
func (t *Totals) Remove(vm string) { delete(t.reports, vm) }

// SetBase sets the use at VMs that do not report here.
func (t *Totals) SetBase(now time.Time, u Use) { t.base, t.baseAt = u, now }

// Others returns what a VM has to be told now: the use at all others. It is nil while that is not due, or the VM does not report use.
func (t *Totals) Others(now time.Time, vm string) Use {
	r := t.reports[vm]
	if r == nil || now.Sub(r.sentAt) < ReportInterval(len(t.reports)) {
		return nil
	}
	r.sentAt = now
	m := t.sum(now, vm)
	if d := now.Sub(t.baseAt); d <= reportExpiry {
		add(m, t.base, d)
	}
	return m
}

// Sum returns the use at all VMs that report here, for the VM that collects it further. It is nil while that is not due, or no VM reports use.
func (t *Totals) Sum(now time.Time) Use {
	if now.Sub(t.sentAt) < reportInterval || len(t.reports) == 0 {
		return nil
	}
	t.sentAt = now
	return t.sum(now, "")
}

// sum adds up the reports of all VMs but one, and removes those that have expired.
func (t *Totals) sum(now time.Time, but string) Use {
	m := Use{}
	for vm, r := range t.reports {
		d := now.Sub(r.at)
		switch {
		case d > reportExpiry:
			delete(t.reports, vm)
		case vm != but:
			add(m, r.use, d)
		}
	}
	return m
}

// add adds a use as it is after a time.
func add(m, u Use, after time.Duration) {
	f := Decay(after)
	for k, v := range u {
		m[k] += v * f
	}
}
