package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/replica"
	"snipetack/internal/state/journal"
	"snipetack/internal/testing/fakedisk"
)

// groups is how many groups the replicas of the tests have.
const groups = 2

// cluster is a number of VMs with replicas that are connected by an in-memory network. Tests in virtual time use it within
// a single synctest bubble.
type cluster struct {
	t     testing.TB
	rand  *rand.Rand
	mu    sync.Mutex
	loss  float64       // probability that a frame is lost
	delay time.Duration // min delay of a frame; the max is three times as long; 0 delivers immediately
	nodes map[string]*node
	names []string
	sent  int // frames
	bytes int
	wait  sync.WaitGroup
	limit replica.Limits

	initialMembers int           // their number; used only with grow
	added          time.Duration // further delay of frames to VMs that were added

	grow func(n *node) *replica.Growth // nil for no Growth
	day  func(vm string) time.Time     // time of day; nil for the steady clock
	tap  func(from, to string, frame []byte) (deliver bool)
}

// node is a VM with a replica, which can be killed and started again.
type node struct {
	c        *cluster
	vm       string
	disk     *fakedisk.Folder
	folder   journal.Folder   // disk, or a real one
	replica  *replica.Replica // nil unless it runs
	machines map[uint32]*machine
	stop     context.CancelFunc
	done     chan error
}

// machine records the applied commands in order.
type machine struct {
	mu       sync.Mutex
	commands []string
}

func (m *machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return append([]byte("done "), command...)
}

func (m *machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, _ := json.Marshal(m.commands)
	return b
}

func (m *machine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return json.Unmarshal(b, &m.commands)
}

func (m *machine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// smallLimits returns limits with which snapshots and rewrites of the journal are frequent.
func smallLimits() replica.Limits {
	return replica.Limits{SnapshotEntries: 20, SnapshotBytes: 1 << 20, KeepTail: 5, JournalBytes: 2000}
}

func newCluster(t testing.TB, seed uint64, size int, l replica.Limits) *cluster {
	c := &cluster{t: t, rand: rand.New(rand.NewPCG(seed, 4)), nodes: map[string]*node{}, limit: l, delay: time.Millisecond}
	for i := range size {
		v := fmt.Sprint("vm-", i+1)
		c.names = append(c.names, v)
		c.nodes[v] = &node{c: c, vm: v, disk: fakedisk.New()}
		c.nodes[v].folder = c.nodes[v].disk
	}
	return c
}

func (c *cluster) start() *cluster {
	for _, v := range c.names {
		c.nodes[v].start()
	}
	return c
}

// known returns the names of all VMs, also of those that do not run.
func (c *cluster) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.names)
}

// add adds a VM with an empty disk and starts its replica.
func (c *cluster) add(vm string) {
	n := &node{c: c, vm: vm, disk: fakedisk.New()}
	n.folder = n.disk
	c.mu.Lock()
	c.names = append(c.names, vm)
	c.nodes[vm] = n
	c.mu.Unlock()
	n.start()
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.kill()
	}
	c.wait.Wait()
}

func (n *node) start() {
	d := replica.Deps{
		VM:             n.vm,
		InitialMembers: n.c.names,
		Folder:         n.folder,
		Machines:       map[uint32]replica.Machine{},
		Send:           n,
		Limits:         n.c.limit,
		Log:            slog.New(slog.DiscardHandler),
	}
	if n.c.day != nil {
		d.TimeOfDay = func() time.Time { return n.c.day(n.vm) }
	}
	if n.c.grow != nil {
		d.Growth = n.c.grow(n)
		d.InitialMembers = n.c.known()[:n.c.initialMembers]
		d.Contacts = n.c.known
	}
	n.machines = map[uint32]*machine{}
	for g := range uint32(groups) {
		n.machines[g] = &machine{}
		d.Machines[g] = n.machines[g]
	}
	r, err := replica.New(d)
	require.NoError(n.c.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	n.c.mu.Lock()
	n.replica = r
	n.c.mu.Unlock()
	n.stop, n.done = stop, done
	go func() { done <- r.Run(ctx) }()
}

// kill stops the replica as a power failure does: writes that were not synced are lost.
func (n *node) kill() {
	if n.replica == nil {
		return
	}
	n.c.mu.Lock()
	n.replica = nil
	n.c.mu.Unlock()
	n.disk.Crash(0)
	n.stop()
	<-n.done
}

// Send delivers a frame to another replica after a random delay, or loses it.
func (n *node) Send(vm string, frame []byte) {
	c := n.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.bytes += len(frame)
	if n.replica == nil || c.rand.Float64() < c.loss || c.tap != nil && !c.tap(n.vm, vm, frame) {
		return
	}
	if c.delay == 0 {
		c.deliver(n.vm, vm, frame)
		return
	}
	d := c.delay * time.Duration(1+c.rand.IntN(3))
	if c.grow != nil && !slices.Contains(c.names[:c.initialMembers], vm) {
		d += c.added
	}
	c.wait.Go(func() {
		time.Sleep(d)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.deliver(n.vm, vm, frame)
	})
}

func (c *cluster) deliver(from, to string, frame []byte) {
	if n := c.nodes[to]; n != nil && n.replica != nil {
		r := n.replica
		r.Receive(from, frame)
	}
}

// leader waits until a replica holds the lease of a group and returns its node.
func (c *cluster) leader(group uint32) *node {
	for range 10_000 {
		for _, v := range c.names {
			n := c.nodes[v]
			if n.replica == nil {
				continue
			}
			if _, _, ok := n.replica.Lease(group); ok {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.logStatus()
	require.Fail(c.t, "no leader")
	return nil
}

// logStatus logs the status of every running replica.
func (c *cluster) logStatus() {
	for _, v := range c.names {
		if n := c.nodes[v]; n.replica != nil {
			c.t.Log(v, n.replica.ID(), n.replica.Status())
		}
	}
}

// propose commits a command through the leader, and retries until it is confirmed. So it may be applied more than once.
func (c *cluster) propose(group uint32, command string) {
	for {
		n := c.leader(group)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		b, err := n.replica.ProposeHere(ctx, group, []byte(command))
		cancel()
		if err == nil {
			require.Equal(c.t, "done "+command, string(b))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitSame waits until all running replicas have applied the same commands, and returns these.
func (c *cluster) waitSame(group uint32) []string {
	var l [][]string
	for range 2000 {
		l = nil
		for _, v := range c.names {
			if n := c.nodes[v]; n.replica != nil {
				l = append(l, n.machines[group].list())
			}
		}
		same := true
		for _, x := range l[1:] {
			same = same && slices.Equal(l[0], x)
		}
		if same && len(l[0]) > 0 {
			return l[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
	for i, x := range l {
		c.t.Log(i, len(x))
	}
	require.Fail(c.t, "the replicas differ")
	return nil
}
