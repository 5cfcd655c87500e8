package node

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/share"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/link"
)

// Timing of a member.
const (
	syncInterval = 200 * time.Millisecond // a tenth of the time in which a configuration must be in force
	syncPerVM    = 4 * time.Millisecond   // longer in large fleets, so that the leading VM is not overrun
	syncTimeout  = 350 * time.Millisecond
	syncRetry    = 40 * time.Millisecond
	reloadEvery  = 2 * time.Second // while no control VM answers
	leaderShun   = time.Second     // after a failed call
	shareEvery   = time.Second     // shares are for when the owner of the limits can't be asked
)

// errNoControl reports that no control VM is known.
var errNoControl = errors.New("no control VM is known")

// member keeps a VM in touch with the control VMs.
type member struct {
	n  *Node
	vm roster.VM

	incarnation int64
	buckets     *share.Buckets       // at entry VMs
	report      func(*roster.Report) // adds what the VM's class has to say; may be nil
	onList      func([]roster.Upstream)
	shared      time.Time // when shares were reported last; the reporting goroutine's own

	mu           sync.RWMutex
	plan         *plan.Plan
	confirmed    time.Time // when a control VM that leads answered last
	vms          []roster.VM
	vmsTag       uint64
	upstreams    []roster.Upstream
	listTag      uint64
	listRead     time.Time
	founders     []string
	leaving      []string
	batchLeader  string
	batchMembers []string
	seeds        []string // link addresses
	leader       string
	shunned      map[string]time.Time
}

func newMember(n *Node, vm roster.VM) *member {
	m := &member{n: n, vm: vm, incarnation: time.Now().UnixNano(), shunned: map[string]time.Time{}}
	m.seeds = linkAddresses(n.Settings)
	return m
}

// linkAddresses returns the links of the seeds.
func linkAddresses(s Settings) []string {
	var l []string
	for _, a := range s.Seeds {
		host, _, err := net.SplitHostPort(a)
		if err == nil {
			l = append(l, net.JoinHostPort(host, strconv.Itoa(linkPort(s, roster.Control))))
		}
	}
	return l
}

// Plan returns the configuration in force here, or nil.
func (m *member) Plan() *plan.Plan {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if a := m.n.Settings.StaleAfter; a > 0 && time.Since(m.confirmed) > a {
		return nil
	}
	return m.plan
}

// Upstreams returns the newest list and when it was read.
func (m *member) Upstreams() ([]roster.Upstream, time.Time) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.upstreams, m.listRead
}

// order returns the ids of the list of upstreams in their order, and what identifies the list.
func (m *member) order() (ids []string, tag uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, u := range m.upstreams {
		ids = append(ids, u.ID)
	}
	return ids, m.listTag
}

// BatchLeader returns the address of the batch VM that leads, or "".
func (m *member) BatchLeader() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.batchLeader
}

// BatchVMs returns the addresses of all batch VMs.
func (m *member) BatchVMs() []string { return m.addresses(roster.Batch) }

// NearBatchVM returns the address of a batch VM in this data centre, or "".
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

// Leader returns the control VM that leads, or "".
func (m *member) Leader() string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leader
}

// controls returns the links of control VMs.
func (m *member) controls() []string {
	l := m.addresses(roster.Control)
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, s := range m.seeds {
		if !slices.Contains(l, s) {
			l = append(l, s)
		}
	}
	return l
}

// leavingAddresses returns the links of VMs that are to be emptied.
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

// run reports to the control VM that leads until ctx ends.
func (m *member) run(ctx context.Context) error {
	at := rand.IntN(1 << 10)
	failed := 0
	reloaded := time.Now()
	for ctx.Err() == nil {
		target, b, err := m.sync(ctx, at)
		if err != nil {
			failed++
			at++
			m.shun(target, err)
			if failed > len(m.controls()) && time.Since(reloaded) > reloadEvery {
				reloaded = time.Now()
				m.reload()
			}
			pause.For(ctx, syncRetry+rand.N(syncRetry))
			continue
		}
		failed = 0
		m.adopt(target, b)
		if !b.Leads {
			at++
			if m.target(at) != target && m.hasLeader() {
				pause.For(ctx, syncRetry)
				continue
			}
		}
		pause.For(ctx, m.interval())
	}
	return nil
}

// interval returns the time between reports; a VM that lacks the list of upstreams asks again soon.
func (m *member) interval() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.plan != nil && m.listTag == 0 {
		return syncRetry
	}
	return max(syncInterval, time.Duration(len(m.vms))*syncPerVM)
}

func (m *member) hasLeader() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leader != ""
}

// target returns the control VM to ask: the one that leads unless it has just failed.
func (m *member) target(at int) string {
	l := m.controls()
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.leader != "" && time.Since(m.shunned[m.leader]) > leaderShun {
		return m.leader
	}
	if len(l) == 0 {
		return ""
	}
	return l[at%len(l)]
}

func (m *member) shun(vm string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader == vm && vm != "" {
		m.n.Log.Warn("control VM lost", "peer", vm, "error", err)
		m.leader = ""
	}
	m.shunned[vm] = time.Now()
}

// reload takes the seeds of a settings file that may have changed.
func (m *member) reload() {
	s, err := m.n.Reload()
	if err != nil {
		m.n.Log.Error("settings not reloaded", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := linkAddresses(s)
	if !slices.Equal(l, m.seeds) {
		m.n.Log.Info("settings reloaded", "seeds", l)
		m.seeds = l
	}
}

// sync reports to a control VM and returns its answer; a VM without a configuration asks all at once, as some may not
// be up yet.
func (m *member) sync(ctx context.Context, at int) (from string, b roster.Bulletin, err error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	r := roster.EncodeReport(m.newReport())
	m.mu.RLock()
	fresh := m.plan == nil
	m.mu.RUnlock()
	if fresh {
		return m.askAll(ctx, r)
	}
	from = m.target(at)
	b, err = m.ask(ctx, from, r)
	return from, b, err
}

// askAll returns the first answer that brings a configuration or comes from the VM that leads, else any.
func (m *member) askAll(ctx context.Context, report []byte) (from string, b roster.Bulletin, err error) {
	type reply struct {
		from string
		b    roster.Bulletin
		err  error
	}
	l := m.controls()
	replies := make(chan reply, len(l))
	for _, vm := range l {
		go func() {
			b, err := m.ask(ctx, vm, report)
			replies <- reply{vm, b, err}
		}()
	}
	best := reply{err: errNoControl}
	for range l {
		x := <-replies
		if x.err == nil && (len(x.b.Document) > 0 || x.b.Leads) {
			return x.from, x.b, nil
		}
		if best.err != nil {
			best = x
		}
	}
	return best.from, best.b, best.err
}

func (m *member) ask(ctx context.Context, vm string, report []byte) (roster.Bulletin, error) {
	b, err := m.n.link.Call(ctx, vm, link.Sync, report)
	if err != nil {
		return roster.Bulletin{}, err
	}
	return roster.DecodeBulletin(b)
}

func (m *member) newReport() roster.Report {
	r := roster.Report{VM: m.vm, Incarnation: m.incarnation}
	m.mu.RLock()
	r.DirectoryTag, r.ListTag = m.vmsTag, m.listTag
	if m.plan != nil {
		r.Version = m.plan.Version
	}
	m.mu.RUnlock()
	if now := time.Now(); m.buckets != nil && now.Sub(m.shared) >= shareEvery {
		m.shared = now
		r.RequestsShares = true
		r.Shares, r.Demand = m.buckets.Shares(), m.buckets.Demand(now)
	}
	if m.report != nil {
		m.report(&r)
	}
	return r
}

// adopt takes what a control VM told.
func (m *member) adopt(from string, b roster.Bulletin) {
	now := time.Now()
	if len(b.Document) > 0 {
		m.adoptDocument(b.Document)
	}
	m.mu.Lock()
	if b.Leads {
		if m.leader != from {
			m.n.Log.Info("control VM leads", "peer", from, "version", b.Version)
		}
		m.leader, m.confirmed = from, now
	} else {
		m.leader = b.Leader
	}
	m.founders, m.leaving = b.InitialMembers, b.Leaving
	if b.BatchLeader != "" || b.Leads {
		m.batchLeader, m.batchMembers = b.BatchLeader, b.BatchMembers
	}
	if b.DirectoryTag != 0 && b.DirectoryTag != m.vmsTag {
		m.vms, m.vmsTag = b.VMs, b.DirectoryTag
	}
	fresh := b.ListTag != 0 && b.ListTag != m.listTag
	if fresh {
		m.upstreams, m.listTag = b.Upstreams, b.ListTag
	}
	if b.ListTag != 0 {
		m.listRead = now.Add(-b.ListAge)
	}
	entries := 0
	for _, v := range m.vms {
		if v.Class == roster.Entry {
			entries++
		}
	}
	p := m.plan
	m.mu.Unlock()
	if fresh && m.onList != nil {
		m.onList(b.Upstreams)
	}
	if m.buckets != nil && b.Leads && p != nil {
		m.buckets.Adopt(now, b.Shares, limitsOf(p), entries)
	}
}

func limitsOf(p *plan.Plan) map[string]share.Limit {
	l := map[string]share.Limit{}
	for n, a := range p.Accounts {
		if a.Rate > 0 {
			l[n] = share.Limit{Rate: a.Rate, Burst: a.Burst}
		}
	}
	return l
}

// adoptDocument puts a newer configuration in force.
func (m *member) adoptDocument(b []byte) {
	p, err := m.n.Surroundings.DecodePlan(b)
	if err != nil {
		m.n.Log.Error("configuration not understood", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.plan == nil || p.Version > m.plan.Version {
		m.n.Log.Info("configuration in force", "version", p.Version, "routes", len(p.Routes))
		m.plan = p
	}
}

// adoptList takes a list that this VM has read itself.
func (m *member) adoptList(l []roster.Upstream, read time.Time) {
	m.mu.Lock()
	t := roster.ListTag(l)
	fresh := t != m.listTag
	m.upstreams, m.listTag, m.listRead = l, t, read
	m.mu.Unlock()
	if fresh && m.onList != nil {
		m.onList(l)
	}
}
