package ledger

import (
	"bytes"
	"encoding/json"
	"time"

	"snipetack/internal/state/result"
)

func (m *Machine) take(t Take, at time.Time) Outcome {
	h, ok := m.leases[t.Upstream]
	if !ok {
		h = &leaseState{Lease: Lease{Upstream: t.Upstream}, held: map[Ref]bool{}}
		m.leases[t.Upstream] = h
	}
	// A repeated Take: the VM already holds the lease that the first one gave it and has not reported yet.
	if h.VM == t.VM && h.Epoch == t.Epoch+1 && h.sequence == 0 {
		return Outcome{Epoch: h.Epoch}
	}
	if h.Epoch != t.Epoch || h.Renewal != t.Renewal {
		return Outcome{Epoch: h.Epoch, Stale: true}
	}
	o := Outcome{Epoch: h.Epoch + 1, Revoked: h.refs()}
	m.resetLease(h, at)
	h.VM = t.VM
	h.Epoch++
	return o
}

func (m *Machine) release(r Release, at time.Time) Outcome {
	h, ok := m.leases[r.Upstream]
	if !ok || h.Epoch != r.Epoch {
		return Outcome{Stale: true}
	}
	m.resetLease(h, at)
	h.VM = ""
	return Outcome{Epoch: h.Epoch}
}

// resetLease returns all items of a lease to their jobs and clears its report state for the next epoch. An item that
// must not be repeated may have run already, so it ends as uncertain.
func (m *Machine) resetLease(h *leaseState, at time.Time) {
	for _, r := range h.refs() {
		w, ok := m.jobs[r.Job]
		if !ok {
			continue
		}
		if w.Repeatable {
			w.returnItem(r.Item, time.Time{})
		} else {
			m.failUncertain(w, r.Item)
		}
		w.finishIfDone(at)
	}
	h.held = map[Ref]bool{}
	h.sequence = 0
	h.outcome = nil
	h.Renewal++
}

// failUncertain ends an item whose only permitted run has an unknown outcome, with a line in the errors file.
func (m *Machine) failUncertain(w *jobState, item int) {
	if !w.endItem(item, failed) {
		return
	}
	code := result.ItemUncertain
	l, err := json.Marshal(errorLine{
		ID:       LineID(w.ID, item),
		CustomID: m.customID(w, item),
		Error:    lineError{Code: code.Meaning().Name, Message: code.Meaning().Text},
	})
	if err != nil {
		return
	}
	l = append(l, '\n')
	d, err := Compress(l)
	if err != nil {
		return
	}
	m.stored += w.errors.add(Chunk{Lines: 1, Raw: len(l), Data: d})
}

// customID returns the caller's id of an item from its input line, or an empty string if that can't be read.
func (m *Machine) customID(w *jobState, item int) string {
	f, ok := m.files[w.File]
	if !ok {
		return ""
	}
	c, ok := f.chunkWithLine(item)
	if !ok {
		return ""
	}
	l, err := c.Line(item)
	if err != nil {
		return ""
	}
	var v struct {
		CustomID string `json:"custom_id"`
	}
	_ = json.Unmarshal(bytes.TrimSpace(l), &v)
	return v.CustomID
}

// report executes a report. A repeat of the newest one returns its first outcome, so that no items are leased twice. A
// report under a lost lease still commits its results.
func (m *Machine) report(r *Report, at time.Time) []byte {
	h, ok := m.leases[r.Upstream]
	current := ok && h.Epoch == r.Epoch && h.VM != ""
	if current && r.Sequence <= h.sequence {
		if r.Sequence == h.sequence {
			return h.outcome
		}
		return EncodeOutcome(Outcome{Epoch: h.Epoch, Stale: true})
	}
	touched := m.commit(r)
	if !current {
		m.finishJobs(touched, at)
		return EncodeOutcome(Outcome{Stale: true})
	}
	for _, b := range r.Bundles {
		for _, i := range b.Items {
			delete(h.held, Ref{Job: b.Job, Item: i})
		}
	}
	m.returnItems(h, r)
	o := Outcome{Epoch: h.Epoch, Revoked: m.revoked(h)}
	for _, c := range r.Claims {
		o.Grants = append(o.Grants, m.claim(h, c, at)...)
	}
	m.finishJobs(touched, at)
	for _, l := range [][]Ref{r.Released, r.Broken} {
		for _, x := range l {
			m.finishJobs([]string{x.Job}, at)
		}
	}
	h.Renewal++
	h.sequence = r.Sequence
	h.outcome = EncodeOutcome(o)
	return h.outcome
}

// commit stores the results of items that have none yet, whichever lease they ran under, and returns the ids of their
// jobs.
func (m *Machine) commit(r *Report) []string {
	var touched []string
	for _, b := range r.Bundles {
		w, ok := m.jobs[b.Job]
		if !ok || len(b.Items) != len(b.Lengths) {
			continue
		}
		m.store(w, b)
		touched = append(touched, w.ID)
	}
	return touched
}

// store adds a bundle to a job's results or errors file. Lines of items that already have a result are cut; a bundle of
// only such lines is not stored.
func (m *Machine) store(w *jobState, b Bundle) {
	s, f := done, &w.output
	if b.Failed {
		s, f = failed, &w.errors
	}
	c := Chunk{Data: b.Data}
	at := 0
	for i, item := range b.Items {
		if w.endItem(item, s) {
			c.Lines++
			c.Raw += b.Lengths[i]
		} else {
			c.Cuts = append(c.Cuts, Cut{At: at, Length: b.Lengths[i]})
		}
		at += b.Lengths[i]
	}
	if c.Lines > 0 {
		m.stored += f.add(c)
	}
}

// returnItems returns the items of a report that have no result to their jobs, as far as the lease holds them.
// An item that was in flight when the upstream failed ends as uncertain if it must not be repeated.
func (m *Machine) returnItems(h *leaseState, r *Report) {
	for _, x := range r.Released {
		if w := m.removeHeld(h, x); w != nil {
			w.returnItem(x.Item, time.Time{})
		}
	}
	for _, x := range r.Retries {
		if w := m.removeHeld(h, x.Ref); w != nil {
			w.attempts[x.Ref.Item]++
			w.returnItem(x.Ref.Item, x.NotBefore)
		}
	}
	for _, x := range r.Broken {
		w := m.removeHeld(h, x)
		switch {
		case w == nil:
		case !w.Repeatable:
			m.failUncertain(w, x.Item)
		default:
			w.suspicion[x.Item]++
			w.returnItem(x.Item, time.Time{})
		}
	}
}

// removeHeld removes an item from a lease and returns its job, or nil if the lease does not hold the item or the item
// has ended.
func (m *Machine) removeHeld(h *leaseState, r Ref) *jobState {
	if !h.held[r] {
		return nil
	}
	delete(h.held, r)
	w, ok := m.jobs[r.Job]
	if !ok || w.states[r.Item] != leased {
		return nil
	}
	return w
}

// revoked removes items that have ended from the lease, and returns them and the items of jobs that are being
// cancelled, which stay leased until the holder reports on them.
func (m *Machine) revoked(h *leaseState) []Ref {
	var l []Ref
	for _, r := range h.refs() {
		w, ok := m.jobs[r.Job]
		switch {
		case !ok || w.states[r.Item] != leased:
			delete(h.held, r)
			l = append(l, r)
		case !w.Open():
			l = append(l, r)
		}
	}
	return l
}

// claim leases items of a job under a lease.
func (m *Machine) claim(h *leaseState, c Claim, at time.Time) []Grant {
	w, ok := m.jobs[c.Job]
	if !ok {
		return nil
	}
	l := w.leaseItems(c.Items, at)
	for _, g := range l {
		h.held[g.Ref] = true
	}
	return l
}

// finishJobs ends those of the jobs that are done, see jobState.finishIfDone.
func (m *Machine) finishJobs(jobs []string, at time.Time) {
	for _, id := range jobs {
		if w, ok := m.jobs[id]; ok {
			w.finishIfDone(at)
		}
	}
}
