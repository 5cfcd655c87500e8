package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/share"
	"snipetack/internal/coordination/throttle"
	"snipetack/internal/state/plan"
)

// Timing of a roster.
const (
	vmExpiry          = 20 * time.Second        // a VM that has not reported for this time is dropped from the directory
	settleAfter       = 1500 * time.Millisecond // time without a new batch VM after which the initial members are chosen
	batchLeaderExpiry = 3 * time.Second         // bulletins omit a batch leader that has not reported for this time

	// largeFleet is the number of VMs above which VMs report to control VMs near them, and the directory omits entry VMs, which nobody
	// calls: it would grow with the square of the fleet over all copies.
	largeFleet = 32

	// directInterval is the time between a VM's reports to the leader in a large fleet, for each VM of it: the leader gets 50 a second,
	// however many VMs there are.
	directInterval = 20 * time.Millisecond

	directJitter = 0.1 // fraction by which that time may be longer

	expiryIntervals = 3 // a VM may miss this many direct reports before it is dropped
)

// Large reports whether a fleet of so many VMs is large.
func Large(fleet int) bool { return fleet > largeFleet }

// DirectInterval returns the time between a VM's reports to the leading control VM in a large fleet.
func DirectInterval(fleet int) time.Duration { return time.Duration(fleet) * directInterval }

// Roster is the leading control VM's view of the fleet; it is not safe for concurrent use.
type Roster struct {
	epoch         int64 // when it was created, in ns
	crashes       *quarantine.Detector
	limits        *throttle.Ledger
	vms           map[string]*vmRecord
	directory     []VM
	directoryTag  uint64
	lists         Lists
	listRead      time.Time
	shares        *share.Owner
	newBatchAt    time.Time // when a new or changed batch VM last reported
	batchLeader   string    // address of the batch group's leader
	batchLeaderAt time.Time
	batchMembers  []string // addresses of the batch group's members, as its leader reports
	startedAt     time.Time
	entries       int // entry VMs in vms

	entriesOmitted bool // from the directory, as the fleet is large
	inherited      int  // entry VMs that the previous leader counted; they report again only with time
}

// vmRecord is a VM and the time of its last report.
type vmRecord struct {
	vm         VM
	reportedAt time.Time
	known      bool // it has reported to this leader
	evacuates  bool // its build supports evacuations
}

// New returns a Roster that starts from the directory of VMs and the list of upstreams that a previous leader sent; read is
// when the list was read. The VMs count as having reported now.
//
// Entries is how many entry VMs the previous leader counted.
func New(now time.Time, vms []VM, entries int, l []Upstream, read time.Time) *Roster {
	r := &Roster{startedAt: now, inherited: entries, epoch: now.UnixNano(), crashes: quarantine.NewDetector(), limits: throttle.NewLedger(), vms: map[string]*vmRecord{}, shares: share.NewOwner(now, entries)}
	for _, v := range vms {
		k := &vmRecord{vm: v, reportedAt: now}
		r.vms[v.Address] = k
		r.countVM(k, 1)
	}
	r.rebuildDirectory()
	r.SetUpstreams(l, read)
	return r
}

// InheritBatchLeader names the batch VM that led under the previous leader until one reports that it leads now. Its group's members may have
// changed, so they are not named.
func (r *Roster) InheritBatchLeader(now time.Time, address string) {
	r.batchLeader, r.batchLeaderAt = address, now
}

// SetUpstreams replaces the list of upstreams; read is when it was read.
func (r *Roster) SetUpstreams(l []Upstream, read time.Time) {
	l = Sorted(l)
	r.lists.Set(l, ListTag(l))
	r.listRead = read
}

// Upstreams returns the newest list.
func (r *Roster) Upstreams() []Upstream {
	l, _ := r.lists.Newest()
	return l
}

// VMs returns the directory, sorted by name; it must not be modified.
func (r *Roster) VMs() []VM { return r.directory }

// InitialMembers returns the addresses of the VMs that form the batch group at first: an odd number, at most voters, spread
// over the data centres. It is nil until no new batch VM has reported for settleAfter, since more may still come.
func (r *Roster) InitialMembers(now time.Time, voters int) []string {
	if r.newBatchAt.IsZero() || now.Sub(r.newBatchAt) < settleAfter {
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
		n-- // an even number of voters tolerates no more failures than one fewer
	}
	return pickAcrossZones(l, n)
}

// pickAcrossZones returns the addresses of n VMs from as many data centres as possible; it reorders l.
func pickAcrossZones(l []VM, n int) []string {
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

// Report records a VM's report and returns a bulletin with what the VM lacks; accounts are those with a rate limit.
func (r *Roster) Report(now time.Time, p Report, s plan.State, accounts []string) Bulletin {
	r.record(now, p)
	r.crashes.Report(now, p.VM.Address, p.Crashes, p.Matched, p.Cleared)
	r.crashes.Await(now, p.VM.Address, p.Awaited)
	r.crashes.Refute(now, p.Refuted)
	r.limits.Observe(now, p.Limits)
	entries := r.countEntries(now)
	b := Bulletin{Leads: true, Entries: entries, Fleet: r.fleet(now), Epoch: r.epoch, Limits: r.limits.Limits(now), Suspects: r.crashes.Suspects(), Version: s.Version, InitialMembers: s.InitialMembers, Leaving: s.Leaving,
		DirectoryTag: r.directoryTag, ListAge: now.Sub(r.listRead)}
	if p.Version < s.Version {
		b.Document = s.Document
	}
	b.AddQuarantines(p, s)
	if p.DirectoryTag != r.directoryTag {
		b.VMs = r.directory
	}
	r.lists.AddTo(&b, p)
	if now.Sub(r.batchLeaderAt) < batchLeaderExpiry {
		b.BatchLeader, b.BatchMembers = r.batchLeader, r.batchMembers
	}
	if p.RequestsShares {
		g := r.shares.Report(now, p.VM.Address, p.Incarnation, share.Grant{Even: p.Even, Extra: p.Shares}, p.Demand, accounts)
		b.Even, b.Shares = g.Even, g.Extra
	}
	if Large(b.Fleet) {
		r.shares.SetReportInterval(time.Duration((1 + directJitter) * float64(DirectInterval(b.Fleet))))
	}
	r.shares.Reported(now, p.VM.Address, p.Apart)
	return b
}

// Shares returns the owner of the accounts' limits.
func (r *Roster) Shares() *share.Owner { return r.shares }

// Admit decides on a request to an upstream with a limit, as the sending VM knows it, or a cold rate above zero, or returns how long to wait until one may
// be admitted.
func (r *Roster) Admit(now time.Time, l throttle.Limit, cold float64, batch bool) (ok bool, wait time.Duration) {
	if l.Rate > 0 {
		r.limits.Observe(now, []throttle.Limit{l})
	}
	r.limits.SetCold(now, l.Upstream, cold)
	return r.limits.Take(now, l.Upstream, batch)
}

// AddQuarantines adds the quarantines of a state that the reporting VM lacks.
func (b *Bulletin) AddQuarantines(p Report, s plan.State) {
	if p.QuarantineRevision < s.QuarantineRevision {
		b.QuarantineRevision, b.Quarantines = s.QuarantineRevision, s.Quarantines
	}
}

// WaitingQuarantines returns the segments and the fingerprints of requests that may be quarantined soon.
func (r *Roster) WaitingQuarantines() []string { return r.crashes.Waiting() }

// Quarantine returns the command that adds or releases one quarantine, or false when the reports require none.
func (r *Roster) Quarantine(now time.Time, s plan.State) (plan.Command, bool) {
	for _, q := range r.crashes.Released(s.Quarantines) {
		return plan.Command{Quarantine: q, Release: true}, true
	}
	for _, q := range r.crashes.Decide(now, s.Quarantines) {
		return plan.Command{Quarantine: q}, true
	}
	for _, q := range r.crashes.Expired(now, s.Quarantines) {
		return plan.Command{Quarantine: q, Release: true}, true
	}
	return plan.Command{}, false
}

// record stores a report; a VM that is new or has changed also changes the directory.
func (r *Roster) record(now time.Time, p Report) {
	if p.Leads {
		r.batchLeader, r.batchLeaderAt, r.batchMembers = p.VM.Address, now, p.Members
	}
	k := r.vms[p.VM.Address]
	if k == nil || k.vm != p.VM {
		r.countVM(k, -1)
		k = &vmRecord{vm: p.VM, reportedAt: now}
		r.vms[p.VM.Address] = k
		r.countVM(k, 1)
		if p.VM.Class == Batch {
			r.newBatchAt = now
		}
		if p.VM.Class != Entry || !r.entriesOmitted {
			r.rebuildDirectory()
		}
	}
	k.reportedAt, k.known, k.evacuates = now, true, p.Evacuates
}

// countVM adds an entry VM to their number, or removes it.
func (r *Roster) countVM(k *vmRecord, n int) {
	if k != nil && k.vm.Class == Entry {
		r.entries += n
	}
}

// countEntries returns the number of entry VMs. A new leader in a large fleet counts those that have not reported to it yet.
func (r *Roster) countEntries(now time.Time) int {
	if now.Sub(r.startedAt) < r.expiry() {
		return max(r.entries, r.inherited)
	}
	return r.entries
}

// fleet returns the number of VMs.
func (r *Roster) fleet(now time.Time) int {
	return len(r.vms) - r.entries + r.countEntries(now)
}

// expiry returns the time after which a VM that has not reported is dropped.
func (r *Roster) expiry() time.Duration {
	return max(vmExpiry, expiryIntervals*DirectInterval(len(r.vms)-r.entries+max(r.entries, r.inherited)))
}

// Expire drops VMs that have not reported for vmExpiry.
func (r *Roster) Expire(now time.Time) {
	n, limit := len(r.vms), r.expiry()
	for a, k := range r.vms {
		if now.Sub(k.reportedAt) > limit {
			r.countVM(k, -1)
			delete(r.vms, a)
		}
	}
	if len(r.vms) != n {
		r.rebuildDirectory()
	}
}

// rebuildDirectory recomputes the directory and its tag.
func (r *Roster) rebuildDirectory() {
	r.directory = nil
	r.entriesOmitted = Large(len(r.vms) - r.entries + max(r.entries, r.inherited))
	for _, k := range r.vms {
		if k.vm.Class != Entry || !r.entriesOmitted {
			r.directory = append(r.directory, k.vm)
		}
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
