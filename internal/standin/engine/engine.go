package engine

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// maxKnownSequences is the number of most recent sequences with an ID that can be resumed or cancelled.
const maxKnownSequences = 512

// Load is an engine's load report.
type Load struct {
	Running int
	Waiting int
	Slots   int
	At      time.Time // when the load was measured
}

// Stats are an engine's counters, for tests.
type Stats struct {
	Admitted  int // sequences that started to generate
	Tokens    int // tokens generated
	Cancelled int
	CacheHits int // prompt tokens found in the cache
	Prompt    int // prompt tokens of the admitted sequences
}

// Engine generates tokens for many requests concurrently. It is safe for concurrent use.
type Engine struct {
	settings      Settings
	mu            sync.Mutex
	faults        Faults
	waiting       []*sequence
	running       []*sequence
	known         map[string]*sequence // by request ID
	knownIDs      []string             // oldest first
	cache         *cache
	reports       []Load // oldest first
	stats         Stats
	stepping      bool   // run is active
	highestFence  uint64 // highest fencing number accepted
	orders        []Order
	arrivals      []Arrival // oldest first
	ctx           context.Context
	cancelContext context.CancelFunc
}

// New returns an idle Engine; Close stops it.
func New(s Settings) *Engine {
	c, f := context.WithCancel(context.Background())
	return &Engine{
		settings:      s,
		known:         map[string]*sequence{},
		cache:         newCache(s.CacheTokens),
		ctx:           c,
		cancelContext: f,
	}
}

// Close stops generation and ends the open streams.
func (e *Engine) Close() {
	e.cancelContext()
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns the counters so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Load returns the latest load that is at least Settings.ReportLag old, an idle one when there is none.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	cut := time.Now().Add(-e.settings.ReportLag)
	r := Load{Slots: e.settings.Slots, At: cut}
	for _, l := range e.reports {
		if l.At.After(cut) {
			break
		}
		r = l
	}
	return r
}

// Arrival is a chat request that has reached the engine, executed or not.
type Arrival struct {
	Request string
	Prompt  string
	Resumed bool
	Header  http.Header
	At      time.Time
}

// Arrivals returns the most recent requests that have reached the engine, oldest first; at least 512 are kept.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

func (e *Engine) recordArrival(a Arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
	if len(e.arrivals) > 2*maxKnownSequences {
		e.arrivals = append([]Arrival(nil), e.arrivals[maxKnownSequences:]...)
	}
}

func (e *Engine) knows(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.known[id]
	return ok && id != ""
}

// submit queues n and returns it. When a sequence with the same ID is known, submit returns that one, so that
// a retry doesn't generate anew; when that one was cancelled, n continues after its last token instead.
func (e *Engine) submit(n *sequence) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.known[n.id]; ok && n.id != "" {
		if !s.cancelled() {
			return s
		}
		n.tokens, _, _, _ = s.tokensAfter(0)
	}
	e.remember(n)
	e.waiting = append(e.waiting, n)
	e.report()
	if !e.stepping {
		e.stepping = true
		go e.run()
	}
	return n
}

func (e *Engine) remember(n *sequence) {
	if n.id == "" {
		return
	}
	e.known[n.id] = n
	e.knownIDs = append(e.knownIDs, n.id)
	for len(e.knownIDs) > maxKnownSequences {
		delete(e.known, e.knownIDs[0])
		e.knownIDs = e.knownIDs[1:]
	}
}

// cancel cancels the sequence with an ID and reports whether it was known.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	s, ok := e.known[id]
	if ok && !s.ended() {
		e.stats.Cancelled++
	}
	e.mu.Unlock()
	if ok {
		s.cancel()
	}
	return ok
}

// run executes steps until no sequence waits or runs, or the engine is closed.
func (e *Engine) run() {
	for {
		d, ok := e.admit()
		if !ok {
			return
		}
		t := time.NewTimer(d)
		select {
		case <-t.C:
		case <-e.ctx.Done():
			t.Stop()
			return
		}
		e.step()
	}
}

// admit fills free slots in order of arrival and returns how long the next step takes, or false when nothing runs.
func (e *Engine) admit() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = withoutEnded(e.running)
	e.waiting = withoutEnded(e.waiting)
	prefill := 0
	for len(e.running) < e.settings.Slots && len(e.waiting) > 0 {
		n := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, n)
		e.stats.Admitted++
		hit := e.cache.insert(n.prompt)
		e.stats.CacheHits += hit
		e.stats.Prompt += len(n.prompt)
		prefill += len(n.prompt) - hit
	}
	e.report()
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	d := e.settings.StepBase + time.Duration(len(e.running)-1)*e.settings.StepPerSlot
	d += time.Duration(prefill) * e.settings.PrefillToken
	return d * time.Duration(max(1, e.faults.SlowFactor)), true
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		s.generate()
		e.stats.Tokens++
	}
}

// report records the current load in the history from which Load reads, and drops what Load no longer needs.
func (e *Engine) report() {
	n := time.Now()
	e.reports = append(e.reports, Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.settings.Slots, At: n})
	cut := n.Add(-2*e.settings.ReportLag - time.Second)
	i := 0
	for i < len(e.reports)-1 && e.reports[i+1].At.Before(cut) {
		i++
	}
	e.reports = e.reports[i:]
}

// withoutEnded returns the sequences that have not ended, in their order.
func withoutEnded(l []*sequence) []*sequence {
	var k []*sequence
	for _, s := range l {
		if !s.ended() {
			k = append(k, s)
		}
	}
	return k
}
