package ledger

import (
	"fmt"
	"time"

	"snipetack/internal/state/result"
)

func (m *Machine) create(c Create, at time.Time) Outcome {
	if w := m.existingJob(c, at); w != nil {
		if w.Digest != c.Job.Digest {
			return refused(result.IdempotencyClash, "the idempotency key belongs to job "+w.ID+" with another content")
		}
		return jobOutcome(w)
	}
	f, ok := m.files[c.Job.File]
	if !ok || f.Account != c.Job.Account || !f.Sealed {
		return refused(result.FileUnknown, "the account has no file "+c.Job.File)
	}
	n := 0
	for _, w := range m.jobs {
		if w.Account == c.Job.Account && w.EndedAt.IsZero() {
			n++
		}
	}
	if n >= m.limits.OpenJobs {
		return refused(result.JobLimit, fmt.Sprintf("account %s has %d open jobs", c.Job.Account, n))
	}
	j := c.Job
	j.CreatedAt = at
	j.Status = InProgress
	j.Items = f.Lines
	j.Tokens = f.Tokens
	w := newJobState(j)
	m.jobs[j.ID] = w
	w.finishIfDone(at)
	return jobOutcome(w)
}

// existingJob returns the job that is the same as the one to create, as Create defines it, or nil.
func (m *Machine) existingJob(c Create, at time.Time) *jobState {
	if w, ok := m.jobs[c.Job.ID]; ok {
		return w
	}
	var found *jobState
	for _, w := range m.jobs {
		if w.Account != c.Job.Account || w.Key != c.Job.Key {
			continue
		}
		if c.Job.Key != "" {
			return w
		}
		recent := at.Sub(w.CreatedAt) <= c.Resend && c.Resend > 0
		if w.Digest != c.Job.Digest || !recent {
			continue
		}
		if found == nil || earlier(w, found) {
			found = w
		}
	}
	return found
}

// earlier orders jobs by creation time, and by id where it is equal.
func earlier(a, b *jobState) bool {
	if !a.CreatedAt.Equal(b.CreatedAt) {
		return a.CreatedAt.Before(b.CreatedAt)
	}
	return a.ID < b.ID
}

func (m *Machine) cancel(c Cancel, at time.Time) Outcome {
	w, ok := m.jobs[c.Job]
	if !ok || w.Account != c.Account {
		return refused(result.JobUnknown, "the account has no job "+c.Job)
	}
	if w.Status == InProgress {
		w.Status = Cancelling
		w.CancelledAt = at
		w.returned = nil
		w.finishIfDone(at)
	}
	return jobOutcome(w)
}

func jobOutcome(w *jobState) Outcome {
	h := w.header()
	return Outcome{Job: &h}
}
