package roster

import (
	"slices"
	"time"

	"snipetack/internal/coordination/throttle"
	"snipetack/internal/state/plan"
)

// mirrorMaxAge is the age above which a copy is not passed on as current: several report intervals of a control VM.
const mirrorMaxAge = 1200 * time.Millisecond

// Mirror is a control VM's copy of what the leading control VM tells all VMs. From it a control VM that does not lead responds to
// reports, so that the leader hears each VM of a large fleet only now and then. It is not safe for concurrent use.
type Mirror struct {
	leader    string
	copiedAt  time.Time
	b         Bulletin // the parts that are the same for all VMs
	lists     Lists
	listRead  time.Time
	confirmed bool // the leader has responded, and was not lost since
}

// Update takes over a bulletin of the leading control VM. The directory and the list of upstreams are those that this VM has once it has
// adopted the bulletin, which omits what the VM had before. Other parts that it lacks have not changed.
func (m *Mirror) Update(now time.Time, leader string, b Bulletin, directory []VM, upstreams []Upstream) {
	if len(b.Document) == 0 && b.Version == m.b.Version {
		b.Document = m.b.Document
	}
	b.VMs = directory
	m.lists.Set(upstreams, b.ListTag)
	if b.QuarantineRevision == 0 {
		b.QuarantineRevision, b.Quarantines = m.b.QuarantineRevision, m.b.Quarantines
	}
	b.Shares, b.Even = nil, 0
	m.b, m.leader, m.copiedAt, m.confirmed = b, leader, now, true
	m.listRead = now.Add(-b.ListAge)
}

// Lose records that the leader does not respond or has lost its leadership.
func (m *Mirror) Lose() { m.confirmed = false }

// Report returns a bulletin with what the reporting VM lacks; s is the state of the control group that this VM has, which may hold the
// configuration that the leader did not have to send. It is false when the copy is not current or lacks the configuration.
func (m *Mirror) Report(now time.Time, p Report, s plan.State) (Bulletin, bool) {
	age := now.Sub(m.copiedAt)
	if !m.confirmed || age > mirrorMaxAge {
		return Bulletin{}, false
	}
	b := m.b
	b.Leads, b.Mirrors, b.Leader, b.Age = false, true, m.leader, age
	b.ListAge = now.Sub(m.listRead)
	b.Limits = slices.Clone(b.Limits)
	for i := range b.Limits {
		b.Limits[i] = throttle.Limit{Upstream: b.Limits[i].Upstream, Rate: b.Limits[i].Rate, Age: b.Limits[i].Age + age}
	}
	switch {
	case p.Version >= b.Version:
		b.Document = nil
	case len(b.Document) > 0:
	case s.Version >= b.Version:
		b.Version, b.Document = s.Version, s.Document
	default:
		return Bulletin{}, false
	}
	if p.DirectoryTag == b.DirectoryTag {
		b.VMs = nil
	}
	m.lists.AddTo(&b, p)
	if p.QuarantineRevision >= b.QuarantineRevision {
		b.QuarantineRevision, b.Quarantines = 0, nil
	}
	return b, true
}
