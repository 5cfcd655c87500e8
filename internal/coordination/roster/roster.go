package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/coordination/share"
	"snipetack/internal/state/plan"
)

// Timing of a roster.
const (
	forgetAfter   = 20 * time.Second        // a VM that does not report is dropped from the directory
	settleAfter   = 1500 * time.Millisecond // without a new batch VM, the founders are chosen
	leaderTimeout = 3 * time.Second         // a batch leader that does not report is not named any more
)

// Roster is the leading control VM's knowledge; it is not safe for concurrent use.
type Roster struct {
	vms          map[string]*known
	directory    []VM
	directoryTag uint64
	list         []Upstream
	listTag      uint64
	listRead     time.Time
	shares       *share.Owner
	newBatch     time.Time // when the last new batch VM reported
	leader       string    // of the batch group
	leaderAt     time.Time
	members      []string // of the batch group, as its leader says
}

type known struct {
	vm    VM
	heard time.Time
}

// New returns a Roster that starts from the directory and list that an earlier leader gave out.
func New(now time.Time, vms []VM, l []Upstream, read time.Time) *Roster {
	r := &Roster{vms: map[string]*known{}, shares: share.NewOwner()}
	for _, v := range vms {
		r.vms[v.Address] = &known{vm: v, heard: now}
	}
	r.rebuild()
	r.SetUpstreams(l, read)
	return r
}

// SetUpstreams takes a list of upstreams that was read at a time.
func (r *Roster) SetUpstreams(l []Upstream, read time.Time) {
	r.list, r.listRead = l, read
	r.listTag = ListTag(l)
}

// Upstreams returns the newest list.
func (r *Roster) Upstreams() []Upstream { return r.list }

// VMs returns the directory.
func (r *Roster) VMs() []VM { return r.directory }

// Founders returns the VMs that are to found the batch group, once no more are expected; nil before.
func (r *Roster) Founders(now time.Time, voters int) []string {
	if r.newBatch.IsZero() || now.Sub(r.newBatch) < settleAfter {
		return nil
	}
	var l []VM
	for _, v := range r.directory {
		if v.Class == Batch {
			l = append(l, v)
		}
	}
	n := min(voters, len(l))
	if n%2 == 0 && n > 0 {
		n-- // one more voter of an even number bears no more losses
	}
	return spread(l, n)
}

// spread picks n VMs from as many data centres as there are.
func spread(l []VM, n int) []string {
	zones := map[string]int{}
	rank := map[string]int{}
	for _, v := range l {
		rank[v.Address] = zones[v.Zone]
		zones[v.Zone]++
	}
	slices.SortStableFunc(l, func(a, b VM) int { return rank[a.Address] - rank[b.Address] })
	var addresses []string
	for _, v := range l[:n] {
		addresses = append(addresses, v.Address)
	}
	return addresses
}

// Report takes a VM's report and returns what it does not know yet.
func (r *Roster) Report(now time.Time, p Report, s plan.State, accounts []string) Bulletin {
	r.hear(now, p)
	b := Bulletin{Leads: true, Version: s.Version, Founders: s.Founders, Leaving: s.Leaving,
		DirectoryTag: r.directoryTag, ListTag: r.listTag, ListAge: now.Sub(r.listRead)}
	if p.Version < s.Version {
		b.Document = s.Document
	}
	if p.DirectoryTag != r.directoryTag {
		b.VMs = r.directory
	}
	if p.ListTag != r.listTag {
		b.Upstreams = r.list
	}
	if now.Sub(r.leaderAt) < leaderTimeout {
		b.BatchLeader, b.BatchMembers = r.leader, r.members
	}
	if p.Limits {
		b.Shares = r.shares.Report(now, p.VM.Address, p.Incarnation, p.Shares, p.Demand, accounts)
	}
	return b
}

func (r *Roster) hear(now time.Time, p Report) {
	if p.Leads {
		r.leader, r.leaderAt, r.members = p.VM.Address, now, p.Members
	}
	k := r.vms[p.VM.Address]
	if k == nil || k.vm != p.VM {
		r.vms[p.VM.Address] = &known{vm: p.VM, heard: now}
		if p.VM.Class == Batch {
			r.newBatch = now
		}
		r.rebuild()
		return
	}
	k.heard = now
}

// Expire drops VMs that have not reported for long.
func (r *Roster) Expire(now time.Time) {
	n := len(r.vms)
	for a, k := range r.vms {
		if now.Sub(k.heard) > forgetAfter {
			delete(r.vms, a)
		}
	}
	if len(r.vms) != n {
		r.rebuild()
	}
}

func (r *Roster) rebuild() {
	r.directory = nil
	for _, k := range r.vms {
		r.directory = append(r.directory, k.vm)
	}
	slices.SortFunc(r.directory, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, v := range r.directory {
		for _, x := range []string{v.Name, v.Address, string(v.Class), v.Zone} {
			_, _ = h.WriteString(x + "\n")
		}
	}
	r.directoryTag = h.Sum64()
}

// ListTag identifies the content of a list of upstreams.
func ListTag(l []Upstream) uint64 {
	b := EncodeBulletin(Bulletin{Upstreams: l})
	return xxhash.Sum64(b)
}
