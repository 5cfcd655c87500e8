package vm_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"snipetack/internal/protocol/chat"
	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
)

// Sizes of the online test harness.
const (
	onlineSeeds   = 24
	onlineCallers = 8
	onlinePeriod  = 12 * time.Second
	callerTimeout = 45 * time.Second
)

// exchange is one request and its response as the caller saw them.
type exchange struct {
	kind    string // whole (not streamed), stream, status, dispatch, keyed (dispatch with an idempotency key) or open
	marker  string // unique within the run, except for repeats of a request; part of the prompt or body
	vm      string
	account int
	tokens  int
	sent    time.Time
	took    time.Duration
	err     error
	status  int
	ran     string
	code    int
	text    string // that an engine generated, as far as received
	ended   bool   // the response is marked as complete
	body    string
}

// onlineRun is one run of the harness: a fleet, the requests of its callers and the faults injected.
type onlineRun struct {
	t         testing.TB
	f         *fleet.Fleet
	seed      uint64
	rand      *rand.Rand
	keys      []string
	log       *lockedBuffer
	mu        sync.Mutex
	exchanges []*exchange
	ready     map[string]bool
	leavings  map[string][2]time.Time // when an upstream began to leave and was available again, by name
	stopped   map[string]bool         // VMs that were stopped or killed
	stopErr   error
	faulted   map[string]bool // upstreams that have had a fault
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// runOnline runs the harness for each seed: callers send requests while one or two of the faults are injected, and
// check is called at the end.
func runOnline(t *testing.T, faults []onlineFault, check func(o *onlineRun)) {
	for seed := uint64(1); seed <= onlineSeeds; seed++ {
		r := rand.New(rand.NewPCG(seed, 7))
		l := []onlineFault{faults[int(seed-1)%len(faults)]}
		if seed > onlineSeeds/2 {
			l = append(l, faults[r.IntN(len(faults))])
		}
		name := fmt.Sprint("seed_", seed)
		for _, f := range l {
			name += "_" + f.name
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { driveOnline(t, seed, r, l, check) })
		})
	}
}

func driveOnline(t *testing.T, seed uint64, r *rand.Rand, faults []onlineFault, check func(o *onlineRun)) {
	b := &lockedBuffer{}
	e := engine.DefaultSettings()
	e.StepBase = 20 * time.Millisecond
	f := fleet.New(t, fleet.Shape{Seed: seed, Keepers: 3, Entries: 3, Engines: 3, Plains: 3, Engine: e, Log: b})
	defer f.Close()
	o := &onlineRun{t: t, f: f, seed: seed, rand: r, log: b, ready: map[string]bool{},
		leavings: map[string][2]time.Time{}, stopped: map[string]bool{}, faulted: map[string]bool{}}
	o.keys = f.Onboard("keeper-1",
		catalog.Account{Name: "drivers", Rate: 1000, Burst: 1000, Weight: 1},
		catalog.Account{Name: "fitters", Rate: 1000, Burst: 1000, Weight: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var balancer, callers sync.WaitGroup
	balancer.Go(func() { o.pollReadiness(ctx) })
	end := time.Now().Add(onlinePeriod)
	for i := range onlineCallers {
		callers.Go(func() { o.runCaller(rand.New(rand.NewPCG(seed, uint64(100+i))), i, end) })
	}
	for _, x := range faults {
		time.Sleep(time.Duration(1000+r.IntN(2000)) * time.Millisecond)
		callers.Go(func() {
			heal := x.apply(o)
			time.Sleep(6 * time.Second)
			heal()
		})
	}
	callers.Wait()
	cancel()
	balancer.Wait()
	check(o)
	if t.Failed() {
		t.Logf("seed %d", seed)
	}
}

// pollReadiness polls the readiness of the entry VMs, as the platform's load balancer does.
func (o *onlineRun) pollReadiness(ctx context.Context) {
	c := o.f.Client()
	defer c.CloseIdleConnections()
	for ctx.Err() == nil {
		for _, v := range []string{"entry-1", "entry-2", "entry-3"} {
			q, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			r, _ := http.NewRequestWithContext(q, http.MethodGet, o.f.URL(v, "/readyz"), nil)
			a, err := c.Do(r)
			ok := err == nil && a.StatusCode == http.StatusOK
			if err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			cancel()
			o.mu.Lock()
			o.ready[v] = ok
			o.mu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// pickReadyVM returns a random entry VM that was ready at the last poll, or entry-3, which is never stopped, if none
// was.
func (o *onlineRun) pickReadyVM(r *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var l []string
	for _, v := range []string{"entry-1", "entry-2", "entry-3"} {
		if o.ready[v] {
			l = append(l, v)
		}
	}
	if len(l) == 0 {
		return "entry-3"
	}
	return l[r.IntN(len(l))]
}

// runCaller sends requests of random kinds, one after the other, until end.
func (o *onlineRun) runCaller(r *rand.Rand, i int, end time.Time) {
	c := o.f.Client()
	defer c.CloseIdleConnections()
	for n := 0; time.Now().Before(end); n++ {
		k := []string{"whole", "stream", "stream", "status", "dispatch", "keyed", "open"}[r.IntN(7)]
		x := exchange{kind: k, marker: fmt.Sprintf("m%d-%d-%d", o.seed, i, n), account: i % 2, tokens: 3 + r.IntN(40)}
		if k == "keyed" {
			o.sendUntilAnswered(c, r, x)
		} else {
			o.send(c, r, x)
		}
		time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
	}
}

// sendUntilAnswered sends a call that may run at most once, up to four times through any VM, until it succeeds. Some
// calls are sent a further time concurrently.
func (o *onlineRun) sendUntilAnswered(c *http.Client, r *rand.Rand, x exchange) {
	var both sync.WaitGroup
	if r.IntN(3) == 0 {
		q := rand.New(rand.NewPCG(o.seed, r.Uint64()))
		both.Go(func() { o.send(c, q, x) })
	}
	for range 4 {
		if e := o.send(c, r, x); e.err == nil && e.status == http.StatusOK {
			break
		}
		time.Sleep(time.Second)
	}
	both.Wait()
}

// send sends one request and records the exchange.
func (o *onlineRun) send(c *http.Client, r *rand.Rand, x exchange) *exchange {
	x.vm = o.pickReadyVM(r)
	x.sent = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	a, err := c.Do(o.request(ctx, x))
	if err == nil {
		defer a.Body.Close()
		x.status = a.StatusCode
		err = x.read(a)
	}
	x.err = err
	x.took = time.Since(x.sent)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.exchanges = append(o.exchanges, &x)
	return &x
}

func (o *onlineRun) request(ctx context.Context, x exchange) *http.Request {
	k := o.keys[x.account]
	if x.kind == "whole" || x.kind == "stream" {
		q := o.f.Chat(ctx, x.vm, k, x.marker, x.tokens, x.kind == "stream")
		q.Header.Set("Cookie", "key="+k)
		q.Header.Set("X-Api-Key", k)
		return q
	}
	p := x.kind
	if p == "keyed" {
		p = "dispatch"
	}
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, o.f.URL(x.vm, "/services/tour-app/"+p+"/now"), strings.NewReader(x.marker))
	q.Header.Set("Authorization", "Bearer "+k)
	q.Header.Set("Cookie", "key="+k)
	q.Header.Set("X-Api-Key", k)
	q.Header.Set("X-Client-Account", "somebody")
	q.GetBody = nil
	if x.kind == "keyed" {
		q.Header.Set("Idempotency-Key", x.marker)
	}
	return q
}

// read reads the response into x.
func (x *exchange) read(a *http.Response) error {
	if x.kind == "stream" && a.StatusCode == http.StatusOK {
		return x.readStream(bufio.NewScanner(a.Body))
	}
	b, err := io.ReadAll(a.Body)
	x.body = string(b)
	if err != nil {
		return err
	}
	x.readError(b)
	var c chat.Completion
	if x.kind == "whole" && a.StatusCode == http.StatusOK && json.Unmarshal(b, &c) == nil && len(c.Choices) > 0 {
		x.text = c.Choices[0].Message.Content
		x.ended = true
	}
	return nil
}

func (x *exchange) readStream(s *bufio.Scanner) error {
	for s.Scan() {
		d, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			x.ended = true
			continue
		}
		x.readError([]byte(d))
		var c chat.Completion
		if json.Unmarshal([]byte(d), &c) == nil && len(c.Choices) > 0 && c.Choices[0].Delta != nil {
			x.text += c.Choices[0].Delta.Content
		}
	}
	return s.Err()
}

// readError reads the result code of a body or event that holds an error.
func (x *exchange) readError(b []byte) {
	var f struct {
		Error struct {
			ResultCode int    `json:"result_code"`
			Ran        string `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal(b, &f) == nil && f.Error.ResultCode != 0 {
		x.code, x.ran = f.Error.ResultCode, f.Error.Ran
	}
}

func (x *exchange) String() string {
	return fmt.Sprintf("%s %s at %s: status %d code %d ran %s err %v after %s: %.200s", x.kind, x.marker, x.vm, x.status, x.code, x.ran, x.err, x.took, x.body)
}

// arrivalsOf returns how often a request with a marker reached upstreams, resumed streams not counted.
func (o *onlineRun) arrivalsOf(marker string) int {
	n := 0
	for _, e := range o.f.Engines {
		for _, a := range e.Arrivals() {
			if strings.TrimSpace(a.Prompt) == "user "+marker && !a.Resumed {
				n++
			}
		}
	}
	for _, p := range o.f.Plains {
		for _, c := range p.Calls() {
			if c.Body == marker {
				n++
			}
		}
	}
	return n
}
