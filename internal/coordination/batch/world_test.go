package batch_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// tickLength is the simulated time of one tick.
const tickLength = 50 * time.Millisecond

// simulation runs real Agents of several VMs over one real ledger, with faults drawn from a seed and no I/O.
type simulation struct {
	t            *testing.T
	r            *rand.Rand
	s            batch.Settings
	now          time.Time
	ledger       *ledger.Machine
	vmNames      []string // of VMs, in the order in which they act
	upstreams    []catalog.Upstream
	vms          map[string]*simVM
	engines      map[string]map[ledger.Ref]*run // running sequences by upstream
	down         map[string]time.Time           // upstreams that refuse items until then
	delayed      []delayedCommand               // commands that are applied after their sender gave up
	first        map[string]string              // first result line seen of each item
	jobs         []string
	repeatable   bool // items of jobs may run more than once
	runs         map[ledger.Ref]int
	breakingItem int // this item of each job breaks its upstream; -1 for none
	rejectedItem int // this item of each job fails at every upstream; -1 for none
	faults       bool
	ticks        int
	maxRunTicks  int               // max ticks of a run
	creates      map[string][]byte // commands by job
}

type delayedCommand struct {
	at      time.Time
	command []byte
}

type run struct {
	left int
	vm   string
}

// simVM is a VM with the Agents of the leases that it holds.
type simVM struct {
	name      string
	contender *batch.Contender
	agents    map[string]*simAgent
	cutUntil  time.Time // disconnected from the keepers until then
}

type simAgent struct {
	*batch.Agent
	epoch    uint64
	upstream catalog.Upstream
	command  []byte // of the report in flight
	sent     time.Time
	stopping map[ledger.Ref]bool
	running  map[ledger.Ref]batch.Task
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), s: batch.DefaultSettings(),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), ledger: ledger.New(ledger.DefaultLimits()),
		vms: map[string]*simVM{}, engines: map[string]map[ledger.Ref]*run{}, down: map[string]time.Time{},
		first: map[string]string{}, runs: map[ledger.Ref]int{}, repeatable: true, breakingItem: -1, rejectedItem: -1, faults: true, maxRunTicks: 8,
		creates: map[string][]byte{},
	}
	for i := range 4 {
		w.vmNames = append(w.vmNames, fmt.Sprint("vm-", i))
	}
	for i := range 3 {
		u := catalog.Upstream{Name: fmt.Sprint("engine-", i), Service: "s", Slots: 4}
		w.upstreams = append(w.upstreams, u)
		w.engines[u.Name] = map[ledger.Ref]*run{}
	}
	for _, n := range w.vmNames {
		w.vms[n] = w.newVM(n)
	}
	return w
}

func (w *simulation) newVM(n string) *simVM {
	return &simVM{name: n, contender: batch.NewContender(w.s, n, w.vmNames), agents: map[string]*simAgent{}}
}

func (w *simulation) apply(c ledger.Command) ledger.Outcome {
	c.At = w.now
	return w.applyEncoded(ledger.EncodeCommand(c))
}

func (w *simulation) applyEncoded(b []byte) ledger.Outcome {
	o, err := ledger.DecodeOutcome(w.ledger.Apply(0, b))
	require.NoError(w.t, err)
	return o
}

// job uploads n items and creates a job.
func (w *simulation) job(account, key string, n int, resend time.Duration) ledger.Outcome {
	id := fmt.Sprint("file-", len(w.jobs), "-", w.r.Uint64())
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"c-%d"}`+"\n", i)
	}
	d, err := ledger.Compress(b.Bytes())
	require.NoError(w.t, err)
	w.apply(ledger.Command{Open: &ledger.File{ID: id, Account: account, Declared: 1 << 20}})
	w.apply(ledger.Command{Append: &ledger.Append{File: id, Chunk: ledger.Chunk{Lines: n, Raw: b.Len(), Data: d}}})
	w.apply(ledger.Command{Seal: &ledger.Seal{File: id, Tokens: n * 20}})
	return w.create(account, key, id, resend)
}

func (w *simulation) create(account, key, file string, resend time.Duration) ledger.Outcome {
	j := ledger.Job{
		ID: fmt.Sprint("job-", w.r.Uint64()), Account: account, Key: key, Service: "s", File: file,
		Digest: [32]byte{1}, Repeatable: w.repeatable, Due: w.now.Add(time.Hour),
	}
	c := ledger.EncodeCommand(ledger.Command{At: w.now, Create: &ledger.Create{Job: j, Resend: resend}})
	o := w.applyEncoded(c)
	if w.faults && w.r.IntN(2) == 0 { // the response was lost and the request is retried
		require.Equal(w.t, o, w.applyEncoded(c))
	}
	if o.Code == result.OK && o.Job.ID == j.ID {
		w.jobs = append(w.jobs, j.ID)
		w.creates[j.ID] = c
	}
	return o
}

// tick advances the simulation by tickLength and checks the results every 20 ticks.
func (w *simulation) tick() {
	w.now = w.now.Add(tickLength)
	if w.faults {
		w.injectFault()
	}
	w.deliverDelayed()
	for _, u := range w.upstreams {
		w.decode(u)
	}
	a := w.ledger.Read(ledger.Query{Subject: ledger.Open})
	for _, n := range w.vmNames {
		v := w.vms[n]
		if v == nil {
			continue
		}
		w.drive(v, a)
	}
	if w.ticks++; w.ticks%20 == 0 {
		w.checkResults()
	}
}

// injectFault draws a fault: a VM is lost, restarted or disconnected from the keepers, an upstream breaks, or the
// ledger is restored from a snapshot.
func (w *simulation) injectFault() {
	n := w.vmNames[w.r.IntN(len(w.vmNames))]
	switch w.r.IntN(100) {
	case 0, 1:
		w.vms[n] = nil // lost with items and reports in flight
	case 2, 3, 4:
		if w.vms[n] == nil {
			w.vms[n] = w.newVM(n)
		}
	case 5:
		if v := w.vms[n]; v != nil {
			v.cutUntil = w.now.Add(time.Duration(w.r.IntN(5000)) * time.Millisecond)
		}
	case 6:
		u := w.upstreams[w.r.IntN(len(w.upstreams))].Name
		w.down[u] = w.now.Add(time.Duration(w.r.IntN(2000)) * time.Millisecond)
		w.breakUpstream(u)
	case 7:
		b := w.ledger.Snapshot()
		w.ledger = ledger.New(ledger.DefaultLimits())
		require.NoError(w.t, w.ledger.Restore(b))
	}
}

func (w *simulation) deliverDelayed() {
	var keep []delayedCommand
	for _, l := range w.delayed {
		if l.at.After(w.now) {
			keep = append(keep, l)
			continue
		}
		w.applyEncoded(l.command)
	}
	w.delayed = keep
}

// drive runs one scheduling pass of a VM on the open jobs and leases that it read.
func (w *simulation) drive(v *simVM, a ledger.Response) {
	cut := w.now.Before(v.cutUntil)
	for _, u := range w.upstreams {
		g := v.agents[u.Name]
		if g == nil {
			if !cut && len(a.Jobs) > 0 {
				w.contend(v, u, a)
			}
			continue
		}
		if g.command != nil && !cut && w.r.IntN(3) > 0 {
			w.commitReport(v, g, a)
		}
		if g.MustStop(w.now) {
			w.finish(v, g)
			continue
		}
		w.act(g, v.name, a)
	}
}

// contend takes the lease of an upstream for a VM, if it may, and cancels the runs of the previous holder.
func (w *simulation) contend(v *simVM, u catalog.Upstream, a ledger.Response) {
	l := ledger.Lease{Upstream: u.Name}
	for _, x := range a.Leases {
		if x.Upstream == u.Name {
			l = x
		}
	}
	if !v.contender.MayTake(l, w.now) {
		return
	}
	o := w.apply(ledger.Command{Take: &ledger.Take{Upstream: u.Name, VM: v.name, Epoch: l.Epoch, Renewal: l.Renewal}})
	if o.Stale {
		return
	}
	for _, r := range o.Revoked {
		delete(w.engines[u.Name], r)
	}
	v.agents[u.Name] = &simAgent{
		Agent: batch.NewAgent(w.s, u, o.Epoch, w.now, w.r), epoch: o.Epoch, upstream: u,
		stopping: map[ledger.Ref]bool{}, running: map[ledger.Ref]batch.Task{},
	}
}

// act applies an Agent's decision and keeps its next report for commitReport.
func (w *simulation) act(g *simAgent, vm string, a ledger.Response) {
	d := g.Schedule(w.now)
	for _, r := range d.Stop {
		w.stop(g, r)
	}
	for _, t := range d.Start {
		w.start(g, vm, t)
	}
	r, err := g.NextReport(w.now, func(n int) []ledger.Claim {
		return batch.Pick(w.s, batch.Demand{Jobs: a.Jobs, Items: n}, w.now)
	})
	require.NoError(w.t, err)
	if r != nil {
		g.command = ledger.EncodeCommand(ledger.Command{At: w.now, Report: r})
		g.sent = w.now
	}
}

func (w *simulation) start(g *simAgent, vm string, t batch.Task) {
	w.runs[t.Ref]++
	g.running[t.Ref] = t
	switch {
	case w.now.Before(w.down[g.upstream.Name]):
		w.runs[t.Ref]--
		w.end(g, t.Ref, batch.Ending{End: batch.Refused})
	case t.Ref.Item == w.rejectedItem:
		w.end(g, t.Ref, batch.Ending{End: batch.Failed, Line: w.line(g, t.Ref, "bad")})
	case t.Ref.Item == w.breakingItem:
		w.breakUpstream(g.upstream.Name)
	default:
		w.engines[g.upstream.Name][t.Ref] = &run{left: 1 + w.r.IntN(w.maxRunTicks), vm: vm}
	}
}

func (w *simulation) stop(g *simAgent, r ledger.Ref) {
	delete(w.engines[g.upstream.Name], r)
	w.end(g, r, batch.Ending{End: batch.Preempted})
}

func (w *simulation) end(g *simAgent, r ledger.Ref, e batch.Ending) {
	if _, ok := g.running[r]; ok {
		delete(g.running, r)
		g.RunEnded(r, e, w.now)
	}
}

// line returns a result line that differs for each run, so that checkResults sees a result that was replaced.
func (w *simulation) line(g *simAgent, r ledger.Ref, what string) []byte {
	b, err := json.Marshal(map[string]any{"id": ledger.LineID(r.Job, r.Item), "what": what, "epoch": g.epoch, "up": g.upstream.Name, "run": w.r.Uint64()})
	require.NoError(w.t, err)
	return b
}

// decode advances the runs at an upstream by one tick; complete ones end with a result.
func (w *simulation) decode(u catalog.Upstream) {
	for _, n := range w.vmNames {
		v := w.vms[n]
		if v == nil || v.agents[u.Name] == nil {
			continue
		}
		g := v.agents[u.Name]
		for _, r := range sorted(g.running) {
			x := w.engines[u.Name][r]
			if x == nil || x.vm != n {
				continue
			}
			x.left--
			if x.left <= 0 {
				delete(w.engines[u.Name], r)
				w.end(g, r, batch.Ending{End: batch.Finished, Line: w.line(g, r, "ok")})
			}
		}
	}
}

// breakUpstream ends all runs at an upstream as broken.
func (w *simulation) breakUpstream(u string) {
	w.engines[u] = map[ledger.Ref]*run{}
	for _, n := range w.vmNames {
		if v := w.vms[n]; v != nil && v.agents[u] != nil {
			g := v.agents[u]
			for _, r := range sorted(g.running) {
				w.end(g, r, batch.Ending{End: batch.Broken, Line: w.line(g, r, "broken")})
			}
		}
	}
}

// commitReport commits the report in flight. Its reply may be lost, and then the report is committed again.
func (w *simulation) commitReport(v *simVM, g *simAgent, a ledger.Response) {
	o := w.applyEncoded(g.command)
	if w.faults && w.r.IntN(8) == 0 {
		return
	}
	g.command = nil
	jobs := map[string]ledger.Job{}
	for _, j := range w.ledger.Read(ledger.Query{Subject: ledger.Open}).Jobs {
		jobs[j.ID] = j
	}
	y := batch.Reply{Outcome: o}
	for _, x := range o.Grants {
		y.Tasks = append(y.Tasks, batch.Task{Grant: x, Job: jobs[x.Ref.Job]})
	}
	for _, r := range g.HandleReply(y) {
		w.stop(g, r)
	}
}

// finish ends an agent as driver.finish does, but its final reports are applied up to 3 s later.
func (w *simulation) finish(v *simVM, g *simAgent) {
	for _, r := range sorted(g.running) {
		w.stop(g, r)
	}
	l, err := g.Close()
	require.NoError(w.t, err)
	for _, r := range l {
		d := time.Duration(w.r.IntN(3000)) * time.Millisecond
		w.delayed = append(w.delayed, delayedCommand{at: w.now.Add(d), command: ledger.EncodeCommand(ledger.Command{At: w.now, Report: r})})
	}
	delete(v.agents, g.upstream.Name)
}

// checkResults compares all results with those seen before: an item has one result, which does not change and is not
// removed.
func (w *simulation) checkResults() {
	seen := map[string]bool{}
	for _, id := range w.jobs {
		for _, f := range []string{ledger.OutputFile(id), ledger.ErrorsFile(id)} {
			for _, l := range w.lines(f) {
				var v struct{ ID string }
				require.NoError(w.t, json.Unmarshal([]byte(l), &v))
				require.False(w.t, seen[v.ID], "item %s completed twice", v.ID)
				seen[v.ID] = true
				if w.first[v.ID] == "" {
					w.first[v.ID] = l
				}
				require.Equal(w.t, w.first[v.ID], l, "the result of %s changed", v.ID)
			}
		}
	}
	require.Len(w.t, seen, len(w.first), "results were removed")
}

// lines returns the lines of a file of account a or b.
func (w *simulation) lines(file string) []string {
	account := "a"
	var b []byte
	for at := int64(0); ; {
		a := w.ledger.Read(ledger.Query{Subject: ledger.Content, Account: account, ID: file, Offset: at})
		if len(a.Files) == 0 && account == "a" {
			account = "b"
			continue
		}
		if len(a.Chunks) == 0 {
			return strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")[:bytes.Count(b, []byte("\n"))]
		}
		for _, c := range a.Chunks {
			t, err := c.Text()
			require.NoError(w.t, err)
			require.Len(w.t, t, c.Raw)
			b = append(b, t...)
			at = c.Start + int64(c.Raw)
		}
	}
}

// runUntilDone advances the simulation without new faults until no job is open, and fails after limit.
func (w *simulation) runUntilDone(limit time.Duration) {
	w.faults = false
	for n, v := range w.vms {
		if v == nil {
			w.vms[n] = w.newVM(n)
		}
	}
	for end := w.now.Add(limit); w.now.Before(end); {
		w.tick()
		if len(w.ledger.Read(ledger.Query{Subject: ledger.Open}).Jobs) == 0 && len(w.delayed) == 0 {
			w.checkResults()
			return
		}
	}
	require.Failf(w.t, "jobs still open", "%+v", w.ledger.Read(ledger.Query{Subject: ledger.Open}))
}

func (w *simulation) jobOf(account, id string) ledger.Job {
	l := w.ledger.Read(ledger.Query{Subject: ledger.OneJob, Account: account, ID: id}).Jobs
	require.Len(w.t, l, 1)
	return l[0]
}

func sorted[T any](m map[ledger.Ref]T) []ledger.Ref {
	var l []ledger.Ref
	for r := range m {
		l = append(l, r)
	}
	for i := range l {
		for k := i; k > 0 && (l[k].Job < l[k-1].Job || l[k].Job == l[k-1].Job && l[k].Item < l[k-1].Item); k-- {
			l[k], l[k-1] = l[k-1], l[k]
		}
	}
	return l
}
