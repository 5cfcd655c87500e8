package consensus_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/coordination/consensus"
)

// Parameters of the simulation.
const (
	tickInterval = 25 * time.Millisecond
	chunkBytes   = 100 // bytes of a snapshot in one message
	snapshotSize = 400 // bytes added to each snapshot, so that it takes several chunks
)

// faults holds the rates of faults in a simulation.
type faults struct {
	loss, duplicate float64       // shares of messages
	slowMessage     float64       // share of messages that take up to half a second
	slowSync        float64       // share of syncs that take up to half a second
	crashSync       float64       // share of syncs during which the replica crashes
	corruptChunk    float64       // share of snapshot chunks that are sent with a wrong byte
	faultInterval   time.Duration // mean time between calls of injectFault
}

// world simulates a group of replicas with a network, disks and clocks. One seed determines everything that happens.
type world struct {
	rand                     *rand.Rand
	f                        faults
	now                      time.Duration
	events                   events
	lastOrder                int              // of the event added last
	nodes                    map[string]*node // by VM
	names                    []string
	blocked                  map[[2]string]bool // links by sender and receiver that drop all messages
	lastID                   uint64
	wipedID                  uint64                    // replica whose disk was wiped last
	trace                    uint64                    // hash of all traced events
	violation                string                    // first violated invariant; empty if none
	leaders                  map[uint64]uint64         // replica ID by term
	seen                     map[[2]uint64]seenEntry   // by index and term
	committed                map[uint64]committedEntry // committed entries by index
	maxCommitted             uint64                    // greatest committed index
	maxCommittedTerm         uint64                    // greatest term in which an entry was committed
	newestConfiguration      consensus.Configuration   // from the committed entry with the greatest index
	newestConfigurationIndex uint64
	leases                   map[uint64]time.Duration // by term: latest end of a lease, in simulation time
	acked                    map[string]bool          // commands confirmed to the proposer
	lastCommand              int
	stats                    map[string]int
	faultsAllowed            bool // false once settle has ended all faults
}

type seenEntry struct {
	sum, prevTerm uint64
}

type committedEntry struct {
	term, sum uint64
}

type event struct {
	at    time.Duration
	order int
	f     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func newWorld(seed uint64, size int) *world {
	r := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		rand:          r,
		nodes:         map[string]*node{},
		blocked:       map[[2]string]bool{},
		leaders:       map[uint64]uint64{},
		seen:          map[[2]uint64]seenEntry{},
		committed:     map[uint64]committedEntry{},
		leases:        map[uint64]time.Duration{},
		acked:         map[string]bool{},
		stats:         map[string]int{},
		faultsAllowed: true,
		f: faults{
			loss:          r.Float64() * 0.2,
			duplicate:     r.Float64() * 0.1,
			slowMessage:   r.Float64() * 0.05,
			slowSync:      r.Float64() * 0.05,
			crashSync:     r.Float64() * 0.02,
			corruptChunk:  r.Float64() * 0.02,
			faultInterval: time.Duration(200+r.IntN(1500)) * time.Millisecond,
		},
	}
	for i := range size + 2 {
		w.addNode(fmt.Sprintf("vm-%d", i+1))
	}
	w.bootstrap(size)
	w.after(0, w.generateLoad)
	w.after(w.f.faultInterval, w.injectFault)
	return w
}

func (w *world) addNode(vm string) *node {
	n := &node{w: w, vm: vm, drift: 1 + (w.rand.Float64()-0.5)*0.048, skew: time.Duration(w.rand.IntN(1e9))}
	w.nodes[vm] = n
	w.names = append(w.names, vm)
	n.format()
	n.start()
	return n
}

// bootstrap creates the group on the first replica, and tries again every second until an entry is committed, as
// crashes may lose a new group entirely.
func (w *world) bootstrap(size int) {
	if len(w.committed) > 0 {
		return
	}
	w.after(time.Second, func() { w.bootstrap(size) })
	var l []consensus.Member
	for _, v := range w.names[:size] {
		n := w.nodes[v]
		if n.core == nil || !n.core.Blank() {
			return
		}
		l = append(l, consensus.Member{VM: v, ID: n.id})
	}
	first := w.nodes[w.names[0]]
	first.core.Bootstrap(first.clock(), l)
	first.runEffects()
}

func (w *world) after(d time.Duration, f func()) {
	w.lastOrder++
	heap.Push(&w.events, event{at: w.now + d, order: w.lastOrder, f: f})
}

// run executes events for the duration d of simulation time, or until an invariant is violated.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end && w.violation == "" {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
	w.now = end
}

// traceEvent adds an event to the hash by which two runs are compared.
func (w *world) traceEvent(what string, n ...uint64) {
	b := binary.LittleEndian.AppendUint64([]byte(what), w.trace)
	b = binary.LittleEndian.AppendUint64(b, uint64(w.now))
	for _, x := range n {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	w.trace = xxhash.Sum64(b)
}

func (w *world) violated(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %s: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// send encodes a message and sends it over the simulated network, which may lose, duplicate or delay it.
func (w *world) send(m consensus.Message) {
	b := consensus.EncodeMessage(m)
	from, to := m.From.VM, m.To.VM
	copies := 1
	if w.rand.Float64() < w.f.duplicate {
		copies = 2
	}
	for range copies {
		d := time.Duration(1+w.rand.IntN(10)) * time.Millisecond
		if w.rand.Float64() < w.f.slowMessage {
			d = time.Duration(w.rand.IntN(500)) * time.Millisecond
		}
		if w.rand.Float64() < w.f.loss {
			continue
		}
		w.after(d, func() { w.deliver(b, from, to) })
	}
}

func (w *world) deliver(b []byte, from, to string) {
	n := w.nodes[to]
	if w.blocked[[2]string{from, to}] || n.core == nil {
		return
	}
	m, err := consensus.DecodeMessage(b, from)
	if err != nil {
		w.violated("message can't be decoded: %v", err)
		return
	}
	w.traceEvent(to, uint64(m.Kind), m.From.ID, m.Term, m.Index)
	n.core.Step(n.clock(), m)
	n.runEffects()
}

// generateLoad proposes commands or reads on a random replica, and schedules itself again.
func (w *world) generateLoad() {
	w.after(time.Duration(5+w.rand.IntN(60))*time.Millisecond, w.generateLoad)
	n := w.randomNode()
	if n.core == nil {
		return
	}
	if w.rand.IntN(4) == 0 {
		n.read()
		return
	}
	for range 1 + w.rand.IntN(3) {
		n.propose()
	}
}

func (w *world) randomNode() *node {
	return w.nodes[w.names[w.rand.IntN(len(w.names))]]
}

func (w *world) leader() *node {
	var r *node
	for _, v := range w.names {
		n := w.nodes[v]
		if n.core != nil && n.core.Role() == consensus.Leader && (r == nil || n.core.Term() > r.core.Term()) {
			r = n
		}
	}
	return r
}

// injectFault injects a random fault, ends partitions, or starts a membership change or leadership transfer.
func (w *world) injectFault() {
	if !w.faultsAllowed {
		return
	}
	w.after(time.Duration(w.rand.ExpFloat64()*float64(w.f.faultInterval)), w.injectFault)
	acts := []func(){w.crash, w.crash, w.blockLink, w.blockLink, w.heal, w.heal, w.changeMembership, w.changeMembership, w.changeMembership, w.transfer, w.wipe, w.isolate}
	acts[w.rand.IntN(len(acts))]()
	w.checkLeases()
}

// crash stops a random replica and restarts it later with the state that was synced.
func (w *world) crash() {
	w.crashOne(w.randomNode(), 3*time.Second)
}

func (w *world) crashOne(n *node, down time.Duration) {
	if n.core == nil || !w.faultsAllowed {
		return
	}
	w.stats["crash"]++
	n.crash()
	w.after(time.Duration(w.rand.Int64N(int64(down))), n.restart)
}

// blockLink blocks messages between two VMs in one direction or both.
func (w *world) blockLink() {
	a, b := w.randomNode().vm, w.randomNode().vm
	w.blocked[[2]string{a, b}] = true
	if w.rand.IntN(2) == 0 {
		w.blocked[[2]string{b, a}] = true
	}
}

// isolate blocks all messages to the leader, from it, or both.
func (w *world) isolate() {
	l := w.leader()
	if l == nil {
		return
	}
	w.stats["isolated leader"]++
	way := w.rand.IntN(3)
	for _, v := range w.names {
		if v == l.vm {
			continue
		}
		w.blocked[[2]string{v, l.vm}] = way != 0
		w.blocked[[2]string{l.vm, v}] = way != 1
	}
}

func (w *world) heal() {
	clear(w.blocked)
}

// wipe crashes a replica and erases its disk; its VM restarts as a new replica. The next disk may be wiped only once no
// configuration has the previous replica any more.
func (w *world) wipe() {
	n := w.randomNode()
	if n.core == nil || !w.mayWipe(n) {
		return
	}
	w.stats["wiped disk"]++
	w.wipedID = n.id
	n.crash()
	n.format()
	w.after(time.Duration(w.rand.IntN(1000))*time.Millisecond, n.restart)
}

// mayWipe reports whether all replicas run, none of their configurations has the replica wiped last, and each of them
// keeps a quorum if n is wiped too.
func (w *world) mayWipe(n *node) bool {
	l := []consensus.Configuration{w.newestConfiguration}
	for _, v := range w.names {
		if c := w.nodes[v].core; c != nil {
			l = append(l, c.Configuration())
		} else {
			return false
		}
	}
	for _, f := range l {
		if _, ok := f.Member(w.wipedID); ok || f.Voter(n.id) && len(f.Voters) < 3 {
			return false
		}
	}
	return len(w.newestConfiguration.Voters) > 0
}

func (w *world) transfer() {
	if l := w.leader(); l != nil {
		w.stats["transfer"]++
		l.core.Transfer(l.clock())
		l.runEffects()
	}
}

// changeMembership requests membership changes from every replica that considers itself leader, also if it was deposed.
func (w *world) changeMembership() {
	for _, v := range w.names {
		l := w.nodes[v]
		for range 1 + w.rand.IntN(3) {
			if l.core == nil || l.core.Role() != consensus.Leader {
				break
			}
			if _, _, err := l.core.ChangeMembership(l.clock(), w.nextConfiguration(l)); err == nil {
				w.stats["membership change"]++
			}
			l.runEffects()
		}
	}
}

// nextConfiguration returns the leader's configuration without the wiped replica, or with a random replica added,
// promoted or removed.
func (w *world) nextConfiguration(l *node) consensus.Configuration {
	f := l.core.Configuration()
	if _, ok := f.Member(w.wipedID); ok {
		return f.Without(w.wipedID)
	}
	n := w.randomNode()
	m := consensus.Member{VM: n.vm, ID: n.id}
	_, member := f.Member(n.id)
	switch {
	case !member:
		return f.WithLearner(m)
	case !f.Voter(n.id) && l.core.CaughtUp(l.clock(), n.id):
		return f.WithVoter(m)
	case len(f.Voters) > 2 || !f.Voter(n.id):
		return f.Without(n.id)
	}
	return f
}

// checkLeases checks that at most one replica has a lease, that no entry of a later term is committed, and that no
// lease of an earlier term still holds.
func (w *world) checkLeases() {
	var lease []string
	for _, v := range w.names {
		n := w.nodes[v]
		if n.core == nil {
			continue
		}
		until, ok := n.core.Lease(n.clock())
		if !ok {
			continue
		}
		lease = append(lease, v)
		t := n.core.Term()
		if t < w.maxCommittedTerm {
			w.violated("%s has a lease of term %d, and an entry of term %d is committed", v, t, w.maxCommittedTerm)
		}
		for o, u := range w.leases {
			if o < t && u > w.now {
				w.violated("%s has a lease of term %d, and one of term %d runs until %s", v, t, o, u)
			}
		}
		w.leases[t] = max(w.leases[t], n.trueTime(until))
	}
	if len(lease) > 1 {
		w.violated("%v have leases at the same time", lease)
	}
}

// settle ends all faults and, after 10 s, checks that there is a leader, that every member has caught up, and that the
// leader has every confirmed command.
func (w *world) settle() {
	w.faultsAllowed = false
	w.heal()
	w.f = faults{}
	for _, v := range w.names {
		w.nodes[v].restart()
	}
	w.run(10 * time.Second)
	l := w.leader()
	if l == nil {
		w.violated("no leader after all faults have ended")
		return
	}
	for _, m := range l.core.Configuration().Members() {
		n := w.nodes[m.VM]
		if n.id != m.ID {
			continue
		}
		if n.applied+20 < l.applied {
			w.violated("%s has applied %d, the leader %d", m.VM, n.applied, l.applied)
		}
	}
	for _, c := range slices.Sorted(maps.Keys(w.acked)) {
		if !l.commands[c] {
			w.violated("confirmed command %s is lost", c)
		}
	}
}
