package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/testing/fakedisk"
)

// Parameters of the fleet model.
const (
	modelVMs       = 10
	modelLosses    = 2                      // VMs that may be lost at the same time
	modelRejoin    = 6 * time.Second        // a VM counts as lost for this long after its return
	modelServing   = 12 * time.Second       // max time after the closing fault until the group serves
	modelLearn     = 3 * time.Second        // max time after an election until every VM knows the leader
	modelDirectory = 100 * time.Millisecond // between the reports of a VM
	modelClients   = 2                      // propose one command at a time
)

// modelSeeds is the number of seeds without MODEL_SEEDS, which names others ("1,7" or "1-500").
const modelSeeds = 16

// fleetModel is a fleet of replicas of one group in virtual time, with faults that a seed chooses. The order in which
// goroutines run and the replica IDs are not part of the seed.
type fleetModel struct {
	t       *testing.T
	control bool // VMs find each other as control VMs do, otherwise as batch VMs

	slowDisks bool // most disks take long to sync

	mu       sync.Mutex
	rand     *rand.Rand
	vms      map[string]*modelVM
	names    []string // of VMs that were not removed
	founders []string
	seeds    []string
	leaving  []string
	acked    []string
	commands map[uint64]string // applied command by index
	problems []string
	history  []string
	cut      map[[2]string]bool // from, to
	began    time.Time
}

// modelVM is a VM of a fleetModel.
type modelVM struct {
	f         *fleetModel
	name      string
	disk      *fakedisk.Folder
	lostUntil time.Time
	busy      bool // a fault of this VM is in progress
	first     bool // has not been started before

	formattedAt   time.Time // when the disk was last empty
	diskLostUntil time.Time // its disk counts as lost until then

	// Fields of the running process.
	replica   *replica.Replica
	machine   *modelMachine
	stop      context.CancelFunc
	done      chan error
	resume    chan struct{} // closed when a pause ends; nil unless paused
	slow      time.Duration // added to each frame
	directory []string
	reports   map[string]time.Time // on a leader: when a VM last reported
}

// modelMachine records the applied commands with their indexes.
type modelMachine struct {
	f    *fleetModel
	vm   string
	mu   sync.Mutex
	list []modelCommand
	pad  int // bytes added to snapshots
}

type modelCommand struct {
	Index   uint64
	Command string
}

func (m *modelMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := modelCommand{index, string(command)}
	m.list = append(m.list, c)
	m.f.check(m.vm, c)
	return command
}

func (m *modelMachine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, _ := json.Marshal(m.list)
	return append(b, strings.Repeat(" ", m.pad)...)
}

func (m *modelMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
	if err := json.Unmarshal(b, &m.list); err != nil {
		return err
	}
	for _, c := range m.list {
		m.f.check(m.vm, c)
	}
	return nil
}

func (m *modelMachine) counts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := map[string]int{}
	for _, c := range m.list {
		n[c.Command]++
	}
	return n
}

// check records a problem if another command was applied at the index of c.
func (f *fleetModel) check(vm string, c modelCommand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o, ok := f.commands[c.Index]; ok && o != c.Command {
		f.problem("%s applied %s at index %d, another replica %s", vm, c.Command, c.Index, o)
	}
	f.commands[c.Index] = c.Command
}

// problem records a violation; f.mu is held.
func (f *fleetModel) problem(format string, a ...any) {
	if len(f.problems) < 20 {
		f.problems = append(f.problems, fmt.Sprintf("%v ", time.Since(f.began))+fmt.Sprintf(format, a...))
	}
}

func (f *fleetModel) note(format string, a ...any) {
	f.history = append(f.history, fmt.Sprintf("%v ", time.Since(f.began))+fmt.Sprintf(format, a...))
}

func newFleetModel(t *testing.T, seed uint64) *fleetModel {
	f := &fleetModel{
		t: t, rand: rand.New(rand.NewPCG(seed, 11)), control: seed%2 == 0, vms: map[string]*modelVM{},
		commands: map[uint64]string{}, cut: map[[2]string]bool{}, began: time.Now(), slowDisks: seed%4 < 2,
	}
	for range modelVMs {
		f.addVM()
	}
	f.seeds = slices.Clone(f.names[:3])
	f.founders = slices.Clone(f.seeds)
	if !f.control {
		f.founders = slices.Clone(f.names[:3+2*f.rand.IntN(2)])
	}
	for _, n := range f.names {
		f.vms[n].start()
	}
	return f
}

// addVM adds a VM with an empty disk, which is not started.
func (f *fleetModel) addVM() *modelVM {
	v := &modelVM{f: f, name: fmt.Sprintf("vm-%02d", len(f.vms)+1), disk: fakedisk.New(), first: len(f.vms) < modelVMs, formattedAt: time.Now()}
	v.disk.SetSyncDelay(f.syncDelay())
	f.vms[v.name] = v
	f.names = append(f.names, v.name)
	return v
}

// syncDelay draws the time that a sync takes, which is long on some disks and in some fleets on all; f.mu is held.
func (f *fleetModel) syncDelay() time.Duration {
	d := time.Duration(f.rand.IntN(1500)) * time.Microsecond
	if f.slowDisks || f.rand.IntN(5) == 0 {
		d *= 20
	}
	return d
}

// start starts the process of a VM; f.mu must not be held.
func (v *modelVM) start() {
	f := v.f
	f.mu.Lock()
	seeds := slices.Clone(f.seeds)
	d := replica.Deps{
		VM: v.name, Folder: v.disk, Send: v, Forward: v, Log: slog.New(slog.DiscardHandler),
		Limits: replica.Limits{SnapshotEntries: 20, SnapshotBytes: 1 << 20, KeepTail: 5, JournalBytes: 2000},
		Timing: consensus.Timing{
			Heartbeat: 80 * time.Millisecond, ElectionMin: 350 * time.Millisecond, ElectionMax: 600 * time.Millisecond,
			RetryMax: 200 * time.Millisecond, Resend: 300 * time.Millisecond, DriftDenom: 20,
		},
		Growth: &replica.Growth{
			MaxVoters: 5, DeadAfter: 1500 * time.Millisecond, MinVoters: 1,
			Leaving: func() []string { return nil },
		},
	}
	if v.first || !f.control {
		d.InitialMembers = f.founders
	}
	m := &modelMachine{f: f, vm: v.name}
	if f.rand.IntN(4) == 0 {
		m.pad = consensus.ChunkBytes * 2
	}
	v.first = false
	v.directory, v.reports, v.slow = nil, map[string]time.Time{}, 0
	f.mu.Unlock()
	d.Machines = map[uint32]replica.Machine{0: m}
	if !f.control {
		d.Growth.MinVoters = 2*modelLosses + 1
		d.Growth.Leaving = func() []string { f.mu.Lock(); defer f.mu.Unlock(); return slices.Clone(f.leaving) }
	}
	d.Contacts = func() []string { return v.contacts(seeds) }
	r, err := replica.New(d)
	if err != nil {
		f.mu.Lock()
		f.problem("%s can't start: %v", v.name, err)
		f.mu.Unlock()
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	f.mu.Lock()
	v.replica, v.machine, v.stop, v.done = r, m, stop, done
	f.mu.Unlock()
	go func() { done <- r.Run(ctx) }()
	go v.maintainDirectory(ctx, r, seeds)
}

// contacts returns the VMs that the process knows: from the directory, and on a control VM also the seeds and the members
// on its disk.
func (v *modelVM) contacts(seeds []string) []string {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	l := slices.Clone(v.directory)
	if !v.f.control {
		return l
	}
	if v.replica != nil {
		for _, m := range v.replica.Status()[0].Configuration.Members() {
			l = append(l, m.VM)
		}
	}
	l = append(l, seeds...)
	slices.Sort(l)
	return slices.Compact(l)
}

// maintainDirectory reports to the leader as a control VM does, and adopts its list of VMs. A batch VM receives the list
// from elsewhere.
func (v *modelVM) maintainDirectory(ctx context.Context, r *replica.Replica, seeds []string) {
	at := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(modelDirectory):
		}
		if !v.f.control {
			v.f.mu.Lock()
			v.directory = v.f.running()
			v.f.mu.Unlock()
			continue
		}
		to, _ := r.Leader(0)
		if to == "" {
			l := v.contacts(seeds)
			at++
			to = l[at%len(l)]
		}
		v.report(to)
	}
}

// report reports once to a VM.
func (v *modelVM) report(to string) {
	f := v.f
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.vms[to]
	if v.replica == nil || v.resume != nil || o == nil || o.replica == nil || o.resume != nil || f.cut[[2]string{v.name, to}] || f.cut[[2]string{to, v.name}] {
		return
	}
	if _, _, ok := o.replica.Lease(0); !ok {
		for _, x := range o.directory {
			if !slices.Contains(v.directory, x) {
				v.directory = append(v.directory, x)
			}
		}
		if l, _ := o.replica.Leader(0); l != "" && !slices.Contains(v.directory, l) {
			v.directory = append(v.directory, l)
		}
		return
	}
	o.reports[v.name] = time.Now()
	v.directory = nil
	for n, at := range o.reports {
		if time.Since(at) < 2*time.Second {
			v.directory = append(v.directory, n)
		}
	}
	slices.Sort(v.directory)
}

// running returns the VMs with a running process; f.mu is held.
func (f *fleetModel) running() []string {
	var l []string
	for _, n := range f.names {
		if f.vms[n].replica != nil {
			l = append(l, n)
		}
	}
	return l
}

// end ends the process. With power it loses unsynced data too.
func (v *modelVM) end(power bool) {
	f := v.f
	f.mu.Lock()
	r := v.replica
	v.replica = nil
	if power {
		v.disk.Crash(f.rand.IntN(200))
	} else {
		v.disk.Kill()
	}
	p := v.resume
	v.resume = nil
	f.mu.Unlock()
	if p != nil {
		close(p)
	}
	if r == nil {
		return
	}
	v.stop()
	<-v.done
}

// Send delivers a frame after a random delay. While the VM is paused it blocks.
func (v *modelVM) Send(to string, frame []byte) {
	f := v.f
	v.awaitResume()
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.vms[to]
	if v.replica == nil || o == nil || f.cut[[2]string{v.name, to}] {
		return
	}
	frame = slices.Clone(frame)
	d := v.slow + o.slow + time.Duration(500+f.rand.IntN(1500))*time.Microsecond
	time.AfterFunc(d, func() {
		f.mu.Lock()
		r := o.replica
		f.mu.Unlock()
		if r != nil {
			r.Receive(v.name, frame)
		}
	})
}

// Forward proposes a command on another VM.
func (v *modelVM) Forward(ctx context.Context, to string, group uint32, command []byte) ([]byte, error) {
	f := v.f
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	o := f.vms[to]
	if o == nil || o.replica == nil || f.cut[[2]string{v.name, to}] {
		f.mu.Unlock()
		return nil, context.DeadlineExceeded
	}
	r := o.replica
	f.mu.Unlock()
	b, err := r.ProposeHere(ctx, group, command)
	time.Sleep(time.Millisecond)
	return b, err
}

func (v *modelVM) awaitResume() {
	v.f.mu.Lock()
	p := v.resume
	v.f.mu.Unlock()
	if p != nil {
		<-p
	}
}

// propose proposes commands until ctx ends and records those that were confirmed.
func (f *fleetModel) propose(ctx context.Context, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		f.mu.Lock()
		l := f.running()
		var r *replica.Replica
		if len(l) > 0 {
			r = f.vms[l[f.rand.IntN(len(l))]].replica
		}
		d := time.Duration(1+f.rand.IntN(30)) * time.Millisecond
		f.mu.Unlock()
		if r != nil {
			c := fmt.Sprintf("%d-%d", client, i)
			x, cancel := context.WithTimeout(ctx, time.Second)
			_, err := r.Propose(x, 0, []byte(c))
			cancel()
			if err == nil {
				f.mu.Lock()
				f.acked = append(f.acked, c)
				l = slices.Clone(f.names)
				v := f.vms[l[f.rand.IntN(len(l))]]
				f.mu.Unlock()
				if i%8 == 0 {
					f.read(ctx, v, c)
				}
			}
		}
		time.Sleep(d)
	}
}

// read checks that a VM that has passed a barrier has applied a command that was confirmed before.
func (f *fleetModel) read(ctx context.Context, v *modelVM, command string) {
	f.mu.Lock()
	r, m := v.replica, v.machine
	f.mu.Unlock()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := r.Barrier(ctx, 0); err == nil && m.counts()[command] == 0 {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.problem("%s lacks command %s after a barrier", v.name, command)
	}
}

// watchLeases records a problem when two replicas hold a lease at the same time.
func (f *fleetModel) watchLeases(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		var l []string
		for _, n := range f.names {
			if r := f.vms[n].replica; r != nil {
				if _, _, ok := r.Lease(0); ok {
					l = append(l, n)
				}
			}
		}
		if len(l) > 1 {
			f.problem("leases of %v", l)
		}
		f.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// lost returns how many VMs count as lost; f.mu is held.
func (f *fleetModel) lost() int {
	n := 0
	for _, v := range f.vms {
		if time.Now().Before(v.lostUntil) {
			n++
		}
	}
	return n
}

// always is a time after the end of each run.
func (f *fleetModel) always() time.Time { return f.began.Add(24 * time.Hour) }

// closingFault ends all processes right after an acknowledgement, as far as the tolerance allows with disks wiped.
func (f *fleetModel) closingFault() {
	f.mu.Lock()
	wait, settle := time.Duration(f.rand.IntN(2)*f.rand.IntN(5000))*time.Microsecond, time.Duration(f.rand.IntN(4000))*time.Millisecond
	if f.rand.IntN(3) > 0 {
		settle += modelRejoin // so that no VM counts as lost
	}
	kind := f.rand.IntN(4)
	f.mu.Unlock()
	time.Sleep(settle)
	f.mu.Lock()
	n := len(f.acked)
	heal, overlap := func() {}, f.rand.IntN(4) == 0
	if overlap {
		heal = f.split()
		n += f.rand.IntN(150) // voters that are cut off are replaced meanwhile
	}
	f.mu.Unlock()
	for range 10_000 {
		f.mu.Lock()
		m := len(f.acked)
		f.mu.Unlock()
		if m > n {
			break
		}
		time.Sleep(500 * time.Microsecond)
	}
	time.Sleep(wait)
	f.mu.Lock()
	if f.rand.IntN(2) == 0 {
		f.changeSeeds()
	}
	l := f.losable(kind == 1, overlap)
	if kind > 1 {
		l = nil
	}
	f.note("closing fault %d, wiped %v, acknowledged %d", kind, l, len(f.acked))
	f.mu.Unlock()
	heal()
	f.endAll(kind != 3, l)
}

// losable draws as many VMs as may lose their disks now, or takes those with the oldest disks. With overlap only VMs
// whose disk was lost count as lost. f.mu is held.
func (f *fleetModel) losable(oldest, overlap bool) []string {
	l := slices.Clone(f.names)
	f.rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	if oldest {
		slices.SortStableFunc(l, func(a, b string) int { return f.vms[a].formattedAt.Compare(f.vms[b].formattedAt) })
	}
	lost := func(n string) bool {
		if overlap {
			return time.Now().Before(f.vms[n].diskLostUntil)
		}
		return time.Now().Before(f.vms[n].lostUntil)
	}
	n := len(l)
	l = slices.DeleteFunc(l, lost)
	return l[:max(0, modelLosses-(n-len(l)))]
}

// awaitService waits until a leader serves a barrier at all members and every VM knows the leader, and checks that the
// members applied each acknowledged command once.
func (f *fleetModel) awaitService() {
	deadline := time.Now().Add(modelServing)
	acked := slices.Clone(f.acked)
	var electedAt time.Time
	var leader string
	served, known := false, false
	for time.Now().Before(deadline) && (!served || !known) {
		time.Sleep(10 * time.Millisecond)
		l := f.leaseHolder()
		if l == nil {
			continue
		}
		if l.name != leader {
			leader, electedAt = l.name, time.Now()
		}
		known = f.knownToAll(leader)
		if !known && time.Since(electedAt) > modelLearn {
			f.mu.Lock()
			f.problem("%s leads since %v and not every VM knows it", leader, time.Since(electedAt))
			f.mu.Unlock()
			break
		}
		if !served {
			served = f.serves(l, acked)
		}
	}
	if !served {
		f.mu.Lock()
		f.problem("not served by %q within %v", leader, modelServing)
		f.mu.Unlock()
	}
}

func (f *fleetModel) leaseHolder() *modelVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.running() {
		if _, _, ok := f.vms[n].replica.Lease(0); ok {
			return f.vms[n]
		}
	}
	return nil
}

func (f *fleetModel) knownToAll(leader string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.names {
		r := f.vms[n].replica
		if r == nil {
			return false
		}
		if l, _ := r.Leader(0); l != leader {
			return false
		}
	}
	return true
}

// serves reports whether all responsive voters serve a barrier, and checks what they applied.
func (f *fleetModel) serves(l *modelVM, acked []string) bool {
	for _, m := range l.replica.Status()[0].Configuration.Voters {
		v := f.vms[m.VM]
		f.mu.Lock()
		r, machine := v.replica, v.machine
		f.mu.Unlock()
		if r == nil || r.ID() != m.ID {
			continue // lost and not replaced yet
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err := r.Barrier(ctx, 0)
		cancel()
		if err != nil {
			return false
		}
		n := machine.counts()
		f.mu.Lock()
		for _, c := range acked {
			if n[c] != 1 {
				f.problem("acknowledged command %s is applied %d times on %s", c, n[c], m.VM)
			}
		}
		for c, k := range n {
			if k > 1 {
				f.problem("command %s is applied %d times on %s", c, k, m.VM)
			}
		}
		f.mu.Unlock()
	}
	return true
}

func (f *fleetModel) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { f.watchLeases(ctx) })
	clients, stopClients := context.WithCancel(ctx)
	for i := range modelClients {
		g.Go(func() { f.propose(clients, i) })
	}
	time.Sleep(4 * time.Second)
	f.mu.Lock()
	d := time.Duration(10+f.rand.IntN(50)) * time.Second
	f.mu.Unlock()
	f.faults(d)
	f.closingFault()
	f.awaitService()
	stopClients()
	cancel()
	g.Wait()
	for _, v := range f.vms {
		v.end(false)
	}
	if len(f.problems) > 0 {
		for _, h := range f.history {
			f.t.Log(h)
		}
		require.Empty(f.t, f.problems)
	}
	f.t.Log("acknowledged", len(f.acked), "virtual time", time.Since(f.began))
}

// TestAcknowledgedCommandsSurviveFaultsWithinTheTolerance runs fleets with faults of up to two VMs at a time and
// a closing fault of all VMs, after which no acknowledged command may be missing.
func TestAcknowledgedCommandsSurviveFaultsWithinTheTolerance(t *testing.T) {
	for _, seed := range modelSeedList(t) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { newFleetModel(t, seed).run() })
		})
	}
}

// modelSeedList returns the seeds that MODEL_SEEDS names, or the first modelSeeds.
func modelSeedList(t *testing.T) []uint64 {
	text := os.Getenv("MODEL_SEEDS")
	if text == "" {
		text = fmt.Sprint("1-", modelSeeds)
	}
	var l []uint64
	for part := range strings.SplitSeq(text, ",") {
		from, to, ok := strings.Cut(part, "-")
		if !ok {
			to = from
		}
		a, err := strconv.ParseUint(from, 10, 64)
		require.NoError(t, err)
		z, err := strconv.ParseUint(to, 10, 64)
		require.NoError(t, err)
		for s := a; s <= z; s++ {
			l = append(l, s)
		}
	}
	return l
}
