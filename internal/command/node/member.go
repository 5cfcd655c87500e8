package node

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"snipetack/internal/coordination/departure"
	"snipetack/internal/coordination/evacuation"
	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/share"
	"snipetack/internal/coordination/throttle"
	"snipetack/internal/coordination/warmup"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/link"
	"snipetack/internal/transport/relay"
)

// Timing of a member.
const (
	syncInterval      = 200 * time.Millisecond  // a tenth of the 2 s within which a configuration must be in force
	syncIntervalLarge = 400 * time.Millisecond  // in a large fleet, where a configuration passes through a control VM nearby
	syncPerVM         = 1200 * time.Microsecond // for each VM of a large fleet; bounds what all control VMs get together
	syncJitter        = 0.2                     // fraction of the interval by which reports of a large fleet are spread
	syncTimeout       = 350 * time.Millisecond
	syncRetry         = 40 * time.Millisecond  // after a failed report, plus a random time up to as much
	contactRetryMax   = 400 * time.Millisecond // the same while no control VM has responded with a configuration; it doubles up to this
	contactsAtOnce    = 2                      // control VMs that a VM without a configuration asks concurrently
	batchDirectDelay  = 200 * time.Millisecond // within which batch VMs report to a new leader, who needs them to found their group
	reloadInterval    = 2 * time.Second        // between reads of the settings file while no leading control VM responds
	leaderAvoidTime   = time.Second            // the leader is not called for this time after a failed call
	staleAvoidTime    = 5 * time.Second        // a control VM without contact to the leader is not asked again for this time while others are left
	shareInterval     = time.Second            // between requests for shares, for use while the owner of the limits is unresponsive
	maxControls       = 64                     // addresses
	maxLoggedSegments = 8                      // of a prompt
	maxLoggedRequests = 8                      // of a crash
	noLeaderReport    = 2 * time.Second        // between log lines while no control VM is found that leads
)

var errNoControl = errors.New("no control VM is known")

// member reports to the control VMs and holds what they returned; every VM has one. Only run's goroutine reports; the methods
// that return what is held are safe for concurrent use.
type member struct {
	n  *Node
	vm roster.VM

	incarnation      int64
	buckets          *share.Buckets          // nil except on entry VMs
	report           func(*roster.Report)    // adds what the VM's class reports; may be nil
	onList           func([]roster.Upstream) // called with each new list of upstreams; may be nil
	groupMembers     func() []string         // addresses of the control group's members; nil except on control VMs
	sharesReportedAt time.Time               // used by the reporting goroutine only, without mu
	askedAt          time.Time               // when the last report was sent; used by the reporting goroutine only
	sharesSentAt     time.Time               // when the last report that requested shares was sent; used by the reporting goroutine only
	sharesRequested  bool                    // by the report that is under way; used by the reporting goroutine only
	quarantines      *quarantine.List
	crashes          *quarantine.Tracker
	restarts         *restart.Table
	history          *origin.History // of the versions of services
	departures       *departure.Table
	evacuations      *evacuation.Table
	warmup           *warmup.Table
	limits           *throttle.Table                 // of upstreams
	onLimits         func(limits map[string]float64) // called with all limits of upstreams when one has changed; may be nil
	ready            chan struct{}                   // closed once there is a configuration and a list of upstreams
	wake             chan struct{}                   // capacity 1; requests a report before the interval is over
	reportedEpoch    int64                           // of the leader that has the crashes up to reportedCrash; used by the reporting goroutine only
	reportedCrash    uint64
	expectedEpoch    int64         // of a leader that a mirror has named; used by the reporting goroutine only
	sentCrash        uint64        // number of the last crash in the report that is under way
	directAt         time.Time     // when the next report to the leader of a large fleet is due; used by the reporting goroutine only
	contactRetry     time.Duration // used by the reporting goroutine only

	publishing sync.Mutex   // held while usable or the limits change and onList or onLimits runs, so that an older list never replaces a newer one
	coldLog    coldLog      // guarded by publishing
	cold       atomic.Int64 // upstreams that count as cold

	mu             sync.RWMutex
	mirror         *roster.Mirror // of the leader's bulletins; nil except on control VMs
	fleet          int            // number of VMs; 0 while unknown
	entries        int            // number of entry VMs; 0 while unknown
	plan           *plan.Plan
	confirmedAt    time.Time // when the leading control VM responded last
	vms            []roster.VM
	vmsTag         uint64               // of vms; 0 before the first directory
	batchListed    map[string]time.Time // until when a batch VM was in vms that is not any more, by address
	upstreams      []roster.Upstream    // as listed
	coldCache      *coldRates           // nil before the first look
	usable         []roster.Upstream    // upstreams, of which those that announced that they leave or are evacuated are draining
	listTag        uint64               // of upstreams; 0 before the first list
	listRead       time.Time            // when upstreams was read, by this VM's clock
	initialMembers []string
	leaving        []string // names of batch VMs that are being drained
	batchLeader    string
	batchMembers   []string             // addresses; empty while the leading control VM does not know them
	lastMembers    []string             // the last batchMembers that were not empty
	seeds          []string             // link addresses of control VMs
	namedControls  []string             // link addresses of control VMs that one which does not lead has named
	leader         string               // link address; "" when none is known
	confirmed      string               // link address of the leader that responded last, or that a mirror of it named; "" when it was lost
	failedAt       map[string]time.Time // last failed call, by link address
	staleUntil     map[string]time.Time // until when a control VM is not asked that has lost contact to the leader, by link address
	available      uint64               // version of the configuration that a control VM offered last
	evacuates      bool                 // whether orders about evacuations may be committed, as the leader said last; on control VMs
}

func newMember(n *Node, vm roster.VM) *member {
	m := &member{n: n, vm: vm, incarnation: time.Now().UnixNano(), failedAt: map[string]time.Time{}, staleUntil: map[string]time.Time{}, quarantines: quarantine.NewList(), history: origin.NewHistory(), batchListed: map[string]time.Time{},
		departures: departure.NewTable(), evacuations: evacuation.NewTable(), wake: make(chan struct{}, 1), ready: make(chan struct{})}
	m.limits = throttle.NewTable(func(map[string]float64) { m.publishLimits() })
	m.crashes = quarantine.NewTracker(m.upstreamCrashed)
	m.restarts = restart.New(m.upstreamBack)
	m.warmup = warmup.New(n.Settings.ListLag, m.restarts.Doubtful)
	if vm.Class == roster.Control {
		m.mirror = &roster.Mirror{}
	}
	m.seeds = seedLinks(n.Settings)
	return m
}

// seedLinks returns the link addresses of the seeds, whose setting has the port that operators call. A seed that is not
// ip:port is ignored.
func seedLinks(s Settings) []string {
	var l []string
	for _, a := range s.Seeds {
		host, _, err := net.SplitHostPort(a)
		if err == nil {
			l = append(l, net.JoinHostPort(host, strconv.Itoa(linkPort(s, roster.Control))))
		}
	}
	return l
}

// Plan returns the configuration in force here. It is nil before the first one and when the leading control VM has not
// responded for Settings.StaleAfter.
func (m *member) Plan() *plan.Plan {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if a := m.n.Settings.StaleAfter; a > 0 && time.Since(m.confirmedAt) > a {
		return nil
	}
	return m.plan
}

// Upstreams returns the newest list of upstreams, and when it was read; the time is zero before the first list. Upstreams that
// announced that they leave are draining there.
func (m *member) Upstreams() ([]roster.Upstream, time.Time) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.usable, m.listRead
}

// upstreamIDs returns the ids of the upstreams in the order of the list, and the list's tag. Hints refer to upstreams by
// their position in the list with that tag.
func (m *member) upstreamIDs() (ids []string, tag uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, u := range m.upstreams {
		ids = append(ids, u.ID)
	}
	return ids, m.listTag
}

// BatchLeader returns the address of the leading batch VM, or "" when none is known.
func (m *member) BatchLeader() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.batchLeader
}

// BatchVMs returns the addresses of all batch VMs.
func (m *member) BatchVMs() []string { return m.addresses(roster.Batch) }

// NearBatchVM returns the address of a member of the batch group in this data centre, or "".
func (m *member) NearBatchVM() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, v := range m.vms {
		if v.Class == roster.Batch && v.Zone == m.vm.Zone && slices.Contains(m.batchMembers, v.Address) {
			return v.Address
		}
	}
	return ""
}

// collectors returns the batch VMs of this data centre in the order in which they collect the requests in flight there. All entry VMs of
// it have the same order. Members of the batch group come last, as they have other work.
func (m *member) collectors() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var l []string
	for _, v := range m.vms {
		if v.Class == roster.Batch && v.Zone == m.vm.Zone && !slices.Contains(m.leaving, v.Name) {
			l = append(l, v.Address)
		}
	}
	slices.SortFunc(l, func(a, b string) int {
		x, y := slices.Contains(m.lastMembers, a), slices.Contains(m.lastMembers, b)
		switch {
		case x != y && x:
			return 1
		case x != y:
			return -1
		}
		return cmp.Compare(xxhash.Sum64String(m.vm.Zone+a), xxhash.Sum64String(m.vm.Zone+b))
	})
	return l
}

// addresses returns the link addresses of the VMs of a class.
func (m *member) addresses(c roster.Class) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var l []string
	for _, v := range m.vms {
		if v.Class == c {
			l = append(l, v.Address)
		}
	}
	return l
}

// noteBatchVMs records until when the batch VMs were in the directory, before it is replaced. m.mu is held.
func (m *member) noteBatchVMs(now time.Time) {
	for a, at := range m.batchListed {
		if now.Sub(at) > origin.Memory {
			delete(m.batchListed, a)
		}
	}
	for _, v := range m.vms {
		if v.Class == roster.Batch {
			m.batchListed[v.Address] = now
		}
	}
}

// originHolders returns the addresses of the batch VMs that are in the directory or were within origin.Memory: the first directories of a
// new leader lack the VMs that have not reported to it yet.
func (m *member) originHolders() []string {
	l := m.addresses(roster.Batch)
	m.mu.RLock()
	defer m.mu.RUnlock()
	for a, at := range m.batchListed {
		if time.Since(at) <= origin.Memory && !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	return l
}

// Leader returns the address of the leading control VM, or "" when none is known.
func (m *member) Leader() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leader
}

// controls returns the addresses of the known control VMs: those of the directory, of the group and the seeds first, then those
// that others have named, up to maxControls.
func (m *member) controls() []string {
	l := m.addresses(roster.Control)
	if m.groupMembers != nil {
		l = append(l, m.groupMembers()...)
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	l = append(l, m.seeds...)
	slices.Sort(l)
	l = slices.Compact(l)
	for _, c := range m.namedControls {
		if len(l) < maxControls && !slices.Contains(l, c) {
			l = append(l, c)
		}
	}
	return l
}

// leavingAddresses returns the addresses of batch VMs that are being drained.
func (m *member) leavingAddresses() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var l []string
	for _, v := range m.vms {
		if slices.Contains(m.leaving, v.Name) {
			l = append(l, v.Address)
		}
	}
	return l
}

// run reports to the leading control VM until ctx ends. While none is known it tries the control VMs in turn, from a random
// one on. While none is found it reads the settings file again, which may name other seeds.
func (m *member) run(ctx context.Context) error {
	at := rand.IntN(1 << 10)
	reloaded := time.Now()
	ledAt := time.Now()
	reported := ledAt
	for ctx.Err() == nil {
		if time.Since(ledAt) > noLeaderReport && time.Since(reported) > noLeaderReport {
			reported = time.Now()
			m.reportNoLeader(time.Since(ledAt))
		}
		if time.Since(ledAt) > reloadInterval && time.Since(reloaded) > reloadInterval {
			reloaded = time.Now()
			m.reload()
		}
		target, b, err := m.sync(ctx, at)
		if err != nil {
			at++
			m.recordFailure(target, err)
			m.pauseBeforeRetry(ctx)
			continue
		}
		m.adopt(target, b)
		switch {
		case b.Leads || b.Mirrors && m.mirror == nil:
			ledAt = time.Now()
		case m.mirrored():
			at++
			if m.avoid(target) {
				pause.For(ctx, syncRetry+rand.N(syncRetry))
				continue
			}
		default:
			at++
			if m.target(at, true) != target && m.hasLeader() { // the response named the leader
				pause.For(ctx, syncRetry)
				continue
			}
		}
		m.pause(ctx)
	}
	return nil
}

// pauseBeforeRetry waits after a failed report. While a VM has no configuration the wait grows: all VMs of a fleet may start at once,
// before the control VMs can respond.
func (m *member) pauseBeforeRetry(ctx context.Context) {
	m.mu.RLock()
	configured := m.plan != nil
	m.mu.RUnlock()
	if configured {
		m.contactRetry = 0
	}
	d := max(syncRetry, m.contactRetry)
	m.contactRetry = min(2*d, contactRetryMax)
	pause.For(ctx, d+rand.N(d))
}

// mirrored reports whether this VM reports to the control VMs near it, as the fleet is large. Control VMs report to the leader.
func (m *member) mirrored() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.mirroredLocked()
}

func (m *member) mirroredLocked() bool { return m.mirror == nil && roster.Large(m.fleet) }

// avoid lets this VM report to other control VMs for staleAvoidTime, and reports whether there are any. Once none of them has contact
// to the leader, all are asked again.
func (m *member) avoid(vm string) bool {
	l := m.controls()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staleUntil[vm] = time.Now().Add(staleAvoidTime)
	if m.nearControl(l) != "" {
		return true
	}
	clear(m.staleUntil)
	return false
}

// pause waits until the next report is due or requested.
func (m *member) pause(ctx context.Context) {
	t := time.NewTimer(m.interval())
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.wake:
	case <-ctx.Done():
	}
}

// upstreamCrashed logs the end of an upstream with the prompts and requests that may have caused it, and reports it at once.
func (m *member) upstreamCrashed(upstream string, suspects []quarantine.Suspect) {
	var begun, waiting, requests []string
	for _, s := range suspects {
		if s.Fingerprint != "" {
			requests = append(requests, s.Fingerprint)
		}
		l := strings.Join(s.Segments[:min(len(s.Segments), maxLoggedSegments)], ",")
		if s.Begun {
			begun = append(begun, l)
		} else {
			waiting = append(waiting, l)
		}
	}
	m.n.Log.Warn("upstream crashed", "upstream", upstream, "begun", begun, "waiting", waiting, "requests", requests[:min(len(requests), maxLoggedRequests)])
	m.requestReport()
}

// upstreamLost records that an upstream has closed an idle connection early: it may have started again.
func (m *member) upstreamLost(address string) {
	m.mu.RLock()
	l := m.upstreams
	m.mu.RUnlock()
	for _, u := range l {
		if u.Address == address {
			m.n.Log.Info("upstream may have started again", "upstream", u.ID)
			m.restarts.Broke(time.Now(), u.ID)
		}
	}
}

// requestReport requests a report before the interval is over.
func (m *member) requestReport() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// reportNoLeader logs that no leading control VM has responded for some time, and which control VMs are asked.
func (m *member) reportNoLeader(age time.Duration) {
	l := m.controls()
	m.mu.RLock()
	configured, leader := m.plan != nil, m.leader
	m.mu.RUnlock()
	m.n.Log.Warn("no leading control VM found", "asked", l, "named_leader", leader, "configured", configured,
		"since", age.Round(time.Millisecond))
}

// interval returns the time between reports; it is short while this VM has a configuration but no list of upstreams.
func (m *member) interval() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	large := m.mirroredLocked()
	switch {
	case m.plan == nil && m.available > 0:
		return syncRetry
	case m.plan != nil && m.listTag == 0 && !large:
		return syncRetry
	case !large:
		return syncInterval
	}
	d := max(syncIntervalLarge, time.Duration(m.fleet)*syncPerVM)
	return time.Duration(float64(d) * (1 + syncJitter*(rand.Float64()-0.5)))
}

// led reports whether a leading control VM has responded lately.
func (m *member) led() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.confirmed != ""
}

func (m *member) hasLeader() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leader != ""
}

// target returns the control VM to report to: the leader, unless a call to it failed within leaderAvoidTime or it did not lead then, else the one at
// position at of all, modulo their number. In a large fleet it is a control VM nearby, unless the report is for the leader. It is
// "" when none is known.
func (m *member) target(at int, forLeader bool) string {
	l := m.controls()
	m.mu.RLock()
	defer m.mu.RUnlock()
	large := m.mirroredLocked()
	if (forLeader || !large) && m.leader != "" && time.Since(m.failedAt[m.leader]) > leaderAvoidTime && !time.Now().Before(m.staleUntil[m.leader]) {
		return m.leader
	}
	if near := m.nearControl(l); large && near != "" {
		return near
	}
	if len(l) == 0 {
		return ""
	}
	return l[at%len(l)]
}

// nearControl returns the first of the control VMs that has not failed lately and has contact to the leader. Those of this data centre
// come first, in an order that differs from VM to VM, and in each data centre the leader last. It is "" when none is left.
func (m *member) nearControl(l []string) string {
	zones := map[string]string{}
	for _, v := range m.vms {
		if v.Class == roster.Control {
			zones[v.Address] = v.Zone
		}
	}
	best, bestRank, bestHash := "", 0, uint64(0)
	for _, a := range l {
		if time.Since(m.failedAt[a]) <= leaderAvoidTime || time.Now().Before(m.staleUntil[a]) {
			continue
		}
		rank, h := 0, xxhash.Sum64String(m.vm.Address+"\n"+a)
		if a == m.leader {
			rank = 1
		}
		if zones[a] != m.vm.Zone {
			rank += 2
		}
		if best == "" || rank < bestRank || rank == bestRank && h < bestHash {
			best, bestRank, bestHash = a, rank, h
		}
	}
	return best
}

// recordFailure drops a leader that did not respond and avoids it for leaderAvoidTime.
func (m *member) recordFailure(vm string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader == vm && vm != "" {
		m.n.Log.Warn("control VM lost", "peer", vm, "error", err)
		m.leader, m.confirmed = "", ""
	}
	if m.mirror != nil {
		m.mirror.Lose()
	}
	m.failedAt[vm] = time.Now()
}

// reload adopts the seeds of the settings file, which may have changed; other settings take effect at the next start.
func (m *member) reload() {
	s, err := m.n.Reload()
	if err != nil {
		m.n.Log.Error("settings not reloaded", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := seedLinks(s)
	if !slices.Equal(l, m.seeds) {
		m.n.Log.Info("settings reloaded", "seeds", l)
		m.seeds = l
	}
}

// sync reports to a control VM and returns its response. A VM without a configuration reports to several concurrently until one
// knows the leader, as some may not be up yet.
func (m *member) sync(ctx context.Context, at int) (from string, b roster.Bulletin, err error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.mu.RLock()
	lost := m.plan == nil && m.confirmed == ""
	m.mu.RUnlock()
	if lost {
		return m.contact(ctx, at)
	}
	due := !time.Now().Before(m.directAt)
	r := m.newReport(due || !m.mirrored())
	news := len(r.Crashes)+len(r.Cleared)+len(r.Awaited)+len(r.Refuted)+len(r.Matched)+len(r.Limits)+len(r.Cold) > 0 || r.Leads
	from = m.target(at, due || news)
	b, err = m.call(ctx, from, roster.EncodeReport(r))
	if b.Leads {
		m.directAt = time.Now().Add(time.Duration((1 + syncJitter*(rand.Float64()-0.5)) * float64(roster.DirectInterval(b.Fleet))))
	}
	return from, b, err
}

// contact looks for a control VM that knows the leader, or has a configuration while there is none. The first report asks for no
// configuration: it is long, and one from a control VM nearby costs least.
func (m *member) contact(ctx context.Context, at int) (from string, b roster.Bulletin, err error) {
	r := m.newReport(true)
	r.Version = math.MaxUint64
	from, b, err = m.callSeveral(ctx, at, roster.EncodeReport(r))
	if err != nil || b.Leads || b.Mirrors || b.Version == 0 {
		return from, b, err
	}
	b, err = m.call(ctx, from, roster.EncodeReport(m.newReport(true)))
	return from, b, err
}

// callSeveral reports to contactsAtOnce control VMs, from position at on. It returns the first response that comes from
// a VM that knows the leader, else the one with the newest configuration, else an error.
func (m *member) callSeveral(ctx context.Context, at int, report []byte) (from string, b roster.Bulletin, err error) {
	type reply struct {
		from string
		b    roster.Bulletin
		err  error
	}
	all := m.controls()
	var l []string
	for i := range min(contactsAtOnce, len(all)) {
		l = append(l, all[(at+i)%len(all)])
	}
	replies := make(chan reply, len(l))
	for _, vm := range l {
		go func() {
			b, err := m.call(ctx, vm, report)
			replies <- reply{vm, b, err}
		}()
	}
	best := reply{err: errNoControl}
	for range l {
		x := <-replies
		if x.err == nil && (x.b.Leads || x.b.Mirrors) {
			return x.from, x.b, nil
		}
		if best.err != nil || x.err == nil && x.b.Version > best.b.Version {
			best = x
		}
	}
	return best.from, best.b, best.err
}

// call sends an encoded report to one control VM and returns its bulletin.
func (m *member) call(ctx context.Context, vm string, report []byte) (roster.Bulletin, error) {
	b, err := m.n.link.Call(ctx, vm, link.Sync, report)
	if err != nil {
		return roster.Bulletin{}, err
	}
	x, err := roster.DecodeBulletin(b)
	if err == nil {
		err = roster.Unpack(&x)
	}
	return x, err
}

// newReport returns a report of what this VM has, so that the response contains only what it lacks. With shares it requests new
// shares when these are due.
func (m *member) newReport(shares bool) roster.Report {
	r := roster.Report{VM: m.vm, Incarnation: m.incarnation, Unpacks: true, PatchesLists: true, Evacuates: true}
	m.sharesRequested, m.askedAt = false, time.Now()
	m.mu.RLock()
	r.DirectoryTag, r.ListTag = m.vmsTag, m.listTag
	if m.plan != nil {
		r.Version = m.plan.Version
	}
	m.mu.RUnlock()
	if now := time.Now(); shares && m.buckets != nil && now.Sub(m.sharesReportedAt) >= shareInterval {
		m.sharesReportedAt, m.sharesSentAt, m.sharesRequested = now, now, true
		r.RequestsShares = true
		g := m.buckets.Grant(now)
		r.Even, r.Shares, r.Demand = g.Even, g.Extra, m.buckets.Demand(now)
	}
	if m.buckets != nil {
		r.Apart = m.buckets.Apart()
	}
	if m.report != nil {
		m.report(&r)
	}
	r.EvacuationRevision, _ = m.evacuations.Known()
	r.QuarantineRevision, r.Matched = m.quarantines.Revision(), m.quarantines.TakeMatched()
	r.Crashes, m.sentCrash = m.crashes.Reports(m.reportedCrash)
	r.Cleared, r.Awaited = m.crashes.Clearances(), m.crashes.Awaited()
	r.Refuted = m.quarantines.Refuted()
	r.Limits = m.limits.TakeChanged()
	r.Cold = m.warmup.TakeNews(time.Now())
	return r
}

// adopt applies a bulletin from a control VM.
func (m *member) adopt(from string, b roster.Bulletin) {
	now := time.Now()
	m.adoptEvacuations(b.EvacuationRevision, b.Evacuations) // before the configuration and the list, with which an entry VM is ready
	if len(b.Document) > 0 {
		m.adoptDocument(b.Document)
	}
	current := b.Leads || b.Mirrors && m.mirror == nil
	m.adoptQuarantines(b, current)
	m.mu.Lock()
	m.adoptLeader(now, from, b, current)
	m.available = b.Version
	if b.Leads {
		m.evacuates = b.Evacuates
	}
	if b.Fleet > 0 {
		m.fleet, m.entries = b.Fleet, b.Entries
	}
	if len(b.InitialMembers) > 0 {
		m.initialMembers = b.InitialMembers
	}
	if len(b.Leaving) > len(m.leaving) { // names are only added; a control VM outside the group has none
		m.leaving = b.Leaving
	}
	if b.BatchLeader != "" || current {
		m.batchLeader, m.batchMembers = b.BatchLeader, b.BatchMembers
	}
	if len(b.BatchMembers) > 0 {
		m.lastMembers = b.BatchMembers
	}
	if b.DirectoryTag != 0 && b.DirectoryTag != m.vmsTag {
		m.noteBatchVMs(now)
		m.vms, m.vmsTag = b.VMs, b.DirectoryTag
	}
	changed, complete := m.adoptUpstreams(now, b, current)
	if m.mirror != nil && b.Leads && complete {
		m.mirror.Update(now, from, b, m.vms, m.upstreams)
	}
	l := m.upstreams
	read := m.listRead
	entries := m.entriesLocked()
	p := m.plan
	m.mu.Unlock()
	m.observeCold(read.Add(-now.Sub(m.askedAt)), l, b.Cold) // the list may be older by the time that the response took
	if changed {
		m.listChanged(l)
	}
	m.restarts.Listed(read)
	if m.buckets != nil && b.Leads && p != nil {
		l := limitsOf(p)
		m.buckets.Retain(l, entries)
		if m.sharesRequested {
			m.buckets.Adopt(now, m.sharesSentAt, share.Grant{Even: b.Even, Extra: b.Shares}, l)
		}
		m.buckets.InContact(now)
	}
}

// adoptUpstreams takes over the list of upstreams and reports whether it has changed, and whether the VM has the list that the bulletin names. m.mu is
// held.
func (m *member) adoptUpstreams(now time.Time, b roster.Bulletin, current bool) (changed, complete bool) {
	read := now.Add(-b.ListAge)
	if b.ListTag == 0 || !current && !read.After(m.listRead) {
		return false, b.ListTag == m.listTag
	}
	if b.ListTag != m.listTag {
		l, ok := b.List(m.listTag, m.upstreams)
		if !ok {
			m.n.Log.Warn("changes of the list of upstreams don't fit; the whole list follows", "upstreams", len(m.upstreams), "changed", len(b.Upstreams),
				"removed", len(b.Removed))
			m.listTag = 0
			return false, false
		}
		m.upstreams, m.listTag, changed = m.checked(l), b.ListTag, true
	}
	m.listRead = read
	m.history.Observe(m.upstreams, read)
	return changed, true
}

// checked returns the upstreams that can exist. The VM that has read the list leaves the others out, unless it runs an older build.
func (m *member) checked(l []roster.Upstream) []roster.Upstream {
	if !slices.ContainsFunc(l, func(u roster.Upstream) bool { return u.Check() != nil }) {
		return l
	}
	out := make([]roster.Upstream, 0, len(l))
	for _, u := range l {
		if err := u.Check(); err != nil {
			m.n.Log.Warn("upstream left out", "error", err)
			continue
		}
		out = append(out, u)
	}
	return out
}

// adoptLeader updates which control VM leads; current is false for a bulletin of a VM without contact to the leader. m.mu is held.
func (m *member) adoptLeader(now time.Time, from string, b roster.Bulletin, current bool) {
	switch {
	case current:
		leader := from
		if b.Mirrors {
			leader = b.Leader
		}
		if m.confirmed != leader {
			m.confirmed = leader
			m.n.Log.Info("control VM leads", "peer", leader, "version", b.Version, "mirror", b.Mirrors)
		}
		m.leader, m.confirmedAt = leader, now.Add(-b.Age)
		m.namedControls = nil
		if m.staleUntil[leader].Add(-staleAvoidTime).Before(m.confirmedAt) { // it was asked before its election
			delete(m.staleUntil, leader)
		}
	case m.mirroredLocked(): // that control VM may be cut off from a leader that responds to others
		if m.leader == "" {
			m.leader = b.Leader
		}
	default:
		m.leader = b.Leader
		m.namedControls = b.Controls
	}
}

// entryVMs returns the number of entry VMs, as far as it is known.
func (m *member) entryVMs() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.entriesLocked()
}

func (m *member) entriesLocked() int {
	n := 0
	for _, v := range m.vms {
		if v.Class == roster.Entry {
			n++
		}
	}
	return max(n, m.entries)
}

// adoptQuarantines puts newer quarantines in force and notes which crashes the leader has; a new leader gets all of them. current is
// false for a bulletin of a VM without contact to the leader.
func (m *member) adoptQuarantines(b roster.Bulletin, current bool) {
	if m.quarantines.Adopt(b.QuarantineRevision, b.Quarantines) {
		m.n.Log.Info("quarantines in force", "revision", b.QuarantineRevision, "quarantines", len(b.Quarantines))
	}
	if !current {
		return
	}
	m.crashes.Suspect(b.Suspects)
	m.limits.Adopt(b.Limits)
	if b.Mirrors {
		if b.Epoch != m.reportedEpoch && b.Epoch != m.expectedEpoch { // a new leader has to hear of this VM
			m.expectedEpoch = b.Epoch
			d := roster.DirectInterval(b.Fleet)
			if m.vm.Class == roster.Batch {
				d = batchDirectDelay
			}
			m.directAt = time.Now().Add(rand.N(d + 1))
		}
		return
	}
	if b.Epoch != m.reportedEpoch {
		m.reportedEpoch, m.reportedCrash = b.Epoch, 0
		m.limits.ReportAll()
		m.warmup.ReportAll()
		m.sharesReportedAt = time.Time{} // the new leader withholds shares that it does not know
		m.requestReport()
		return
	}
	if m.sentCrash > m.reportedCrash {
		m.reportedCrash = m.sentCrash
		m.requestReport() // there may be more than fit in one report
	}
}

// limitsOf returns the rate limits of a configuration by account; accounts without one are left out.
func limitsOf(p *plan.Plan) map[string]share.Limit {
	l := map[string]share.Limit{}
	for n, a := range p.Accounts {
		if a.Rate > 0 {
			l[n] = share.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return l
}

// adoptDocument puts a configuration in force if its version is newer.
func (m *member) adoptDocument(b []byte) {
	p, err := m.n.Adapters.DecodePlan(b)
	if err != nil {
		m.n.Log.Error("configuration not decoded; the previous one stays in force", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.plan == nil || p.Version > m.plan.Version {
		m.n.Log.Info("configuration in force", "version", p.Version, "routes", len(p.Routes))
		m.plan = p
		if len(m.n.Settings.Zones) == 0 && p.HasHomes() {
			m.n.Log.Warn("routes or accounts are bound to regions, and the settings name none: they are not served here", "version", p.Version)
		}
		m.n.setHeaders(p.Limits)
		m.noteReady()
	}
}

// noteReady closes ready once this VM has a configuration and a list of upstreams. m.mu is held.
func (m *member) noteReady() {
	if m.plan == nil || len(m.usable) == 0 {
		return
	}
	select {
	case <-m.ready:
	default:
		close(m.ready)
	}
}

// adoptList adopts a list of upstreams that this VM has read itself.
func (m *member) adoptList(l []roster.Upstream, read time.Time) {
	l = roster.Sorted(l)
	m.mu.Lock()
	t := roster.ListTag(l)
	changed := t != m.listTag
	m.upstreams, m.listTag, m.listRead = l, t, read
	m.history.Observe(l, read)
	m.mu.Unlock()
	m.observeCold(read, l, nil)
	if changed {
		m.listChanged(l)
	}
	m.restarts.Listed(read)
}

// listChanged forgets what is known of upstreams that are not on the list any more.
func (m *member) listChanged(l []roster.Upstream) {
	listed := map[string]bool{}
	for _, u := range l {
		listed[u.ID] = true
	}
	m.limits.Retain(listed)
	m.publishList()
}

// publishList makes the newest list of upstreams usable.
func (m *member) publishList() {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.mu.Lock()
	l := m.evacuations.Apply(m.departures.Apply(time.Now(), m.upstreams))
	m.usable = l
	m.mu.Unlock()
	if m.onList != nil {
		m.onList(l)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteReady()
}

// departures observes the announcements of upstreams that leave for a member.
type departures struct{ m *member }

var _ relay.DepartureProvider = departures{}

// Observe records that an upstream leaves: it is draining on the member's list from then on.
func (d departures) Observe(upstream string) {
	m := d.m
	born := int64(0)
	m.mu.RLock()
	for _, u := range m.upstreams {
		if u.ID == upstream {
			born = u.Born
		}
	}
	m.mu.RUnlock()
	if !m.departures.Observe(time.Now(), upstream, born) {
		return
	}
	m.n.Log.Info("upstream leaves", "upstream", upstream, "born", born)
	m.publishList()
}
