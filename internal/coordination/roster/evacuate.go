package roster

import (
	"time"

	"snipetack/internal/state/plan"
)

// supportSettle is the time after its election in which a leader waits for the reports of the control group's members before it takes
// those that have not reported for what they were. Control VMs report every 0.5 s at most.
const supportSettle = 600 * time.Millisecond

// EvacuationSupport reports whether orders about evacuations may be committed: no member of the control group runs a build that would
// drop them. All is set when that is known from the report of each member; then it can be committed as state.EvacuationsSupported. After that a
// member without a report, such as a lost VM that is still in the group, does not stop orders.
func (r *Roster) EvacuationSupport(now time.Time, members []string, s plan.State) (ok, all bool) {
	all = len(members) > 0
	for _, a := range members {
		k := r.vms[a]
		switch {
		case k == nil || !k.known:
			all = false
		case !k.evacuates:
			return false, false
		}
	}
	return all || s.EvacuationsSupported && now.Sub(r.startedAt) >= supportSettle, all
}

// SetEvacuations adds the evacuations of a revision if the reporting VM lacks them.
func (b *Bulletin) SetEvacuations(p Report, revision uint64, l []plan.Evacuation) {
	b.EvacuationRevision, b.Evacuations = 0, nil
	if p.Evacuates && p.EvacuationRevision < revision {
		b.EvacuationRevision, b.Evacuations = revision, l
	}
}
