package dispatch_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/fairness"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/share"
)

// contest models accounts of very uneven size that compete for the slots of common engines through the queues of several entry VMs. Pools, shares and the
// ledger of rate limits are the real ones; callers, engines, the load balancer and the reports between VMs are modelled.
type contest struct {
	contestCase
	seed uint64

	mu       sync.Mutex // several requests may get their slots at once
	r        *rand.Rand
	began    time.Time
	queue    steps
	vms      []*contestVM
	engines  map[string]*contestEngine
	accounts []*contestAccount
	ledger   *share.Ledger
	totals   *fairness.Totals
}

// contestCase is a load and a rule.
type contestCase struct {
	engines  int
	demand   float64         // of all accounts at their usual rates, in relation to the slots
	limit    float64         // of the rates, in relation to the usual ones
	loud     map[int]float64 // multiples of the usual rate, by account
	fair     bool            // else the order is that without contention handling
	cutOff   int             // VMs that get and send no reports
	lostFrom time.Duration   // from when on nobody sums up the reports of use, for lostFor
	lostFor  time.Duration
	priority func(account int) int
}

// contestVM is an entry VM.
type contestVM struct {
	pool   *dispatch.Pool
	shares *fairness.Shares
	weight float64 // of the load balancer
	cut    bool
}

// contestEngine runs requests in the order of arrival.
type contestEngine struct {
	running int
	waiting []func()
}

// contestAccount is a client account and what its callers saw.
type contestAccount struct {
	name                  string
	rate                  float64 // usual, requests per second
	limit                 share.Limit
	priority              int
	asked, served, prompt int // callers; those with a response in their time; those whose first event came within the objective
	limited               int // callers that their account's limit turned away at least once, who don't count in the others
	slots                 time.Duration
}

// contestCaller is a caller with one request.
type contestCaller struct {
	a     *contestAccount
	run   time.Duration
	sent  time.Duration // the current try
	first time.Duration // the first try
	until time.Duration
	again bool
	limit bool // its account's limit has turned it away
}

const (
	contestVMs       = 24
	contestAccounts  = 60
	contestLength    = 30 * time.Second
	contestRun       = 750 * time.Millisecond
	contestFirst     = 50 * time.Millisecond // from the start of a run to its first event
	contestObjective = 300 * time.Millisecond
	contestDeadline  = 5 * time.Second
	contestReports   = 50 * time.Millisecond
)

func (w *contest) now() time.Duration { return time.Since(w.began) }

func (w *contest) after(d time.Duration, f func()) {
	heap.Push(&w.queue, step{at: w.now() + max(0, d), do: f})
}

// play runs the model to its end.
func (w *contest) play() {
	w.r, w.began = rand.New(rand.NewPCG(w.seed, 9)), time.Now()
	w.engines, w.ledger, w.totals = map[string]*contestEngine{}, share.NewLedger(20), fairness.NewTotals()
	var list []roster.Upstream
	for i := range w.contestCase.engines {
		id := fmt.Sprint("up-", i)
		list = append(list, roster.Upstream{ID: id, Service: "s", Address: id, Zone: "a", Slots: slots})
		w.engines[id] = &contestEngine{}
	}
	sum, rates := 0.0, map[string]float64{}
	for i := range contestAccounts {
		w.accounts = append(w.accounts, &contestAccount{name: fmt.Sprint("account-", i), rate: 1 / math.Pow(float64(i+1), 1.1)})
		sum += w.accounts[i].rate
	}
	for i, a := range w.accounts {
		a.rate *= w.demand * float64(w.contestCase.engines*slots) / contestRun.Seconds() / sum
		a.limit = share.Limit{Rate: w.limit * a.rate, Burst: w.limit * a.rate}
		rates[a.name] = a.limit.Rate
		if w.priority != nil {
			a.priority = w.priority(i)
		}
		w.after(time.Duration(w.r.Float64()*float64(time.Second)), func() { w.arrive(i) })
	}
	for i := range contestVMs {
		v := &contestVM{weight: 1 / float64(1+i%4), cut: i < w.cutOff}
		d := dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}}
		if w.fair {
			v.shares = fairness.New()
			v.shares.SetAccounts(rates)
			d.Fairness = v.shares
		}
		v.pool = dispatch.New(d)
		v.pool.SetUpstreams(time.Now(), list)
		w.vms = append(w.vms, v)
	}
	w.after(contestReports, w.report)
	for len(w.queue) > 0 {
		s := heap.Pop(&w.queue).(step)
		time.Sleep(s.at - w.now())
		w.mu.Lock()
		s.do()
		w.mu.Unlock()
		synctest.Wait()
	}
}

// report exchanges what the VMs have in flight, and what they gave to the accounts.
func (w *contest) report() {
	now := time.Now()
	sum := map[string]int{}
	for _, v := range w.vms {
		if !v.cut {
			for id, n := range v.pool.InFlight() {
				sum[id] += n
			}
		}
	}
	lost := w.lostFor > 0 && w.now() >= w.lostFrom && w.now() < w.lostFrom+w.lostFor
	for i, v := range w.vms {
		if v.cut {
			continue
		}
		m, own := map[string]dispatch.Load{}, v.pool.InFlight()
		for id, n := range sum {
			m[id] = dispatch.Load{Online: n - own[id]}
		}
		v.pool.SetLoads(now, m)
		if v.shares == nil || lost {
			continue
		}
		name := fmt.Sprint(i)
		if u := w.totals.Others(now, name); u != nil {
			x, _ := fairness.DecodeUse(u.Encode(fairness.MaxSummed))
			v.shares.SetOthers(now, x)
		}
		if w.now()/contestReports%10 == 0 {
			x, _ := fairness.DecodeUse(v.shares.Own(now).Encode(fairness.MaxReported))
			w.totals.Set(now, name, x)
		}
	}
	if w.now() < contestLength+6*time.Second {
		w.after(contestReports, w.report)
	}
}

// arrive lets a caller of an account send its request, and schedules the next one: in waves as callers of the deployment send them.
func (w *contest) arrive(i int) {
	a := w.accounts[i]
	if w.now() >= contestLength {
		return
	}
	rate := a.rate
	if w.now()%(5200*time.Millisecond) < 3*time.Second {
		rate *= 0.38
	} else {
		rate *= 1.85
	}
	if x := w.loud[i]; x > 0 && w.now() > 5*time.Second {
		rate *= x
	}
	a.asked++
	w.try(&contestCaller{a: a, run: time.Duration((0.5 + w.r.Float64()) * float64(contestRun)), sent: w.now(), first: w.now(), until: w.now() + contestDeadline})
	w.after(time.Duration(w.r.ExpFloat64()/rate*float64(time.Second)), func() { w.arrive(i) })
}

// vm returns a VM as the load balancer chooses it.
func (w *contest) vm() *contestVM {
	x := 0.0
	for _, v := range w.vms {
		x += v.weight
	}
	x *= w.r.Float64()
	for _, v := range w.vms {
		if x -= v.weight; x < 0 {
			return v
		}
	}
	return w.vms[0]
}

func (w *contest) try(c *contestCaller) {
	c.sent = w.now()
	v := w.vm()
	if n, after := w.ledger.Take(time.Now(), c.a.name, 1, c.a.limit, 0); n == 0 {
		if !c.limit {
			c.limit = true
			c.a.limited++
		}
		w.refuse(c, after)
		return
	}
	latest := min(c.until-contestRun*5/4, c.sent+2*time.Second)
	q := dispatch.Request{Service: "s", Account: c.a.name, Priority: c.a.priority, Size: contestRun, Latest: w.began.Add(latest), MaxWait: latest - w.now()}
	choice, slot, ok := v.pool.Take(time.Now(), q)
	refuse := func() { w.refuse(c, v.pool.ForecastFor(time.Now(), q)) }
	switch {
	case ok:
		w.serve(c, v, choice)
	case slot == nil:
		refuse()
	default:
		gone, ended := make(chan struct{}), false
		go func() {
			select {
			case x, ok := <-slot:
				w.mu.Lock()
				defer w.mu.Unlock()
				ended = true
				if ok {
					w.serve(c, v, x)
				} else {
					refuse()
				}
			case <-gone:
			}
		}()
		w.after(latest-w.now(), func() {
			if ended {
				return
			}
			close(gone)
			v.pool.Leave(time.Now(), "s", slot)
			refuse()
		})
	}
}

// serve runs a request at an engine once that has a slot free.
func (w *contest) serve(c *contestCaller, v *contestVM, x dispatch.Choice) {
	e := w.engines[x.ID]
	start := func() {
		first := w.now() + contestFirst
		run := max(0, min(c.run, c.until-w.now()))
		w.after(run, func() {
			e.running--
			if len(e.waiting) > 0 {
				e.running++
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			v.pool.End(time.Now(), x)
			c.a.slots += run
			if run == c.run && !c.limit {
				c.a.served++
				if first-c.first <= contestObjective {
					c.a.prompt++
				}
			}
		})
	}
	if e.running >= slots {
		e.waiting = append(e.waiting, start)
		return
	}
	e.running++
	start()
}

// refuse turns a request away. The caller returns once, after the time that it was told or a third of what it has left.
func (w *contest) refuse(c *contestCaller, after time.Duration) {
	if c.again {
		return
	}
	c.again = true
	after = max(after, 100*time.Millisecond)
	after += time.Duration(w.r.Float64() * float64(after) / 2)
	w.after(min(after, (c.until-w.now())/3), func() { w.try(c) })
}

// sums returns the shares of the callers of some accounts that were served, and that were served promptly, and the worst account's part of the first among those
// with at least 20 callers. Callers that the limits of their accounts turned away, if only at first, don't count.
func (w *contest) sums(chosen func(i int) bool) (served, prompt, worst float64) {
	asked, s, p := 0, 0, 0
	worst = 1
	for i, a := range w.accounts {
		if !chosen(i) {
			continue
		}
		n := a.asked - a.limited
		asked, s, p = asked+n, s+a.served, p+a.prompt
		if n >= 20 {
			worst = min(worst, float64(a.served)/float64(n))
		}
	}
	return float64(s) / float64(asked), float64(p) / float64(asked), worst
}

// busy returns the part of the time of the slots that requests ran.
func (w *contest) busy() float64 {
	t := time.Duration(0)
	for _, a := range w.accounts {
		t += a.slots
	}
	return t.Seconds() / contestLength.Seconds() / float64(len(w.engines)*slots)
}

// contested returns the model after a play.
func contested(t *testing.T, name string, c contestCase) *contest {
	w := &contest{contestCase: c, seed: 1}
	synctest.Test(t, func(*testing.T) { w.play() })
	quiet, prompt, worst := w.sums(w.quiet)
	loud, loudPrompt, _ := w.sums(func(i int) bool { return !w.quiet(i) })
	t.Logf("%-32s quiet: %.3f served, %.3f prompt, worst %.3f; loud: %.3f served, %.3f prompt; slots busy %.3f", name, quiet, prompt, worst, loud, loudPrompt, w.busy())
	return w
}

func (w *contest) quiet(i int) bool { return w.loud[i] == 0 }

// TestAccountsUnderContention plays the order without contention handling beside the fair one. Accounts within their share are served as without the loud ones while
// the slots suffice for their share, also where a VM is cut off or the reports stop; what they leave is used; and no kind of request goes before a more urgent one.
func TestAccountsUnderContention(t *testing.T) {
	loud := map[int]float64{0: 8, 4: 9, 9: 7}
	wide := contestCase{engines: 12, demand: 0.66, limit: 10, loud: loud}
	cutOff, lost, kinds := wide, wide, wide
	cutOff.cutOff = 4
	lost.lostFrom, lost.lostFor = 15*time.Second, 10*time.Second
	kinds.priority = func(account int) int { return account % 2 }
	for _, x := range []struct {
		name   string
		c      contestCase
		served float64 // of the callers of accounts within their share
	}{
		{"light", contestCase{engines: 12, demand: 0.36, limit: 1.6, loud: loud}, 0.99},
		{"full", contestCase{engines: 12, demand: 0.9, limit: 1.6, loud: loud}, 0.97},
		{"twice full", contestCase{engines: 12, demand: 1.5, limit: 1.6, loud: loud}, 0.75},
		{"wide limits", wide, 0.93},
		{"a VM cut off", cutOff, 0.87},
		{"reports lost", lost, 0.9},
		{"two priorities", kinds, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := x.c
			c.loud = nil
			contested(t, x.name+", calm", c)
			before := contested(t, x.name+", without fairness", x.c)
			x.c.fair = true
			after := contested(t, x.name+", fair", x.c)
			was, _, _ := before.sums(before.quiet)
			is, _, _ := after.sums(after.quiet)
			require.GreaterOrEqual(t, is, x.served)
			require.GreaterOrEqual(t, is, was-0.01)
			require.GreaterOrEqual(t, after.busy(), 0.97*min(1, before.busy()), "idle share is used")
			if x.c.priority != nil {
				urgent, _, _ := after.sums(func(i int) bool { return i%2 == 0 })
				rest, _, _ := after.sums(func(i int) bool { return i%2 == 1 })
				t.Logf("urgent %.3f, less urgent %.3f served", urgent, rest)
				require.Greater(t, urgent, rest)
			}
		})
	}
}
