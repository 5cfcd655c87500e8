package load

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
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range and precision of the latency histograms; a longer time is recorded as maxTime.
const (
	maxTime   = time.Minute
	precision = 3 // significant digits
)

// Plan describes the load of one run.
type Plan struct {
	URL      string // chat-completions endpoint
	Key      string // empty for a stand-in, which needs none
	Model    string
	Rate     float64       // mean requests a second; the gaps between them are exponentially distributed
	Duration time.Duration // how long new requests are started
	Words    int           // in each prompt
	Tokens   int           // max_tokens of each request
	Stream   bool
	Seed     uint64
	InFlight int // maximum number of open requests; one that is due beyond it is not sent, and counted in NotSent
}

// Report is the result of a run. Only complete responses are in the histograms.
type Report struct {
	Sent      int
	NotSent   int
	Complete  int
	Truncated int
	Failed    int
	Codes     map[string]int // responses by HTTP status and result code, and "error" for requests without one
	Elapsed   time.Duration
	First     *hdrhistogram.Histogram // from the due time to the first byte, in microseconds
	Gap       *hdrhistogram.Histogram // between chunks of a stream, in microseconds
	Total     *hdrhistogram.Histogram // from the due time to the end of the response, in microseconds
}

// Run sends a plan's requests and waits until all have ended. Cancelling ctx stops sending and cancels open requests.
func Run(ctx context.Context, p Plan) (Report, error) {
	if p.Rate <= 0 || p.Duration <= 0 {
		return Report{}, errors.Errorf("rate %g and duration %s must be above zero", p.Rate, p.Duration)
	}
	r := &runner{plan: p, report: Report{Codes: map[string]int{}, First: histogram(), Gap: histogram(), Total: histogram()}}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.InFlight, DisableCompression: true}}
	defer r.client.CloseIdleConnections()
	start := time.Now()
	r.send(ctx)
	r.wait.Wait()
	r.report.Elapsed = time.Since(start)
	return r.report, nil
}

type runner struct {
	plan   Plan
	client *http.Client
	wait   sync.WaitGroup
	mu     sync.Mutex
	report Report
	open   int
}

// send starts requests at their due times. Latencies are measured from the due time, so a request that starts late counts
// the delay.
func (r *runner) send(ctx context.Context) {
	g := rand.New(rand.NewPCG(r.plan.Seed, 0))
	due := time.Now()
	end := due.Add(r.plan.Duration)
	for {
		due = due.Add(time.Duration(g.ExpFloat64() / r.plan.Rate * float64(time.Second)))
		if due.After(end) || !sleepUntil(ctx, due) {
			return
		}
		b := r.body(g.Uint64())
		if !r.tryStart() {
			continue
		}
		at := due
		r.wait.Go(func() { r.request(ctx, b, at) })
	}
}

// tryStart counts a request as sent, or as not sent if InFlight requests are open.
func (r *runner) tryStart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open >= r.plan.InFlight {
		r.report.NotSent++
		return false
	}
	r.open++
	r.report.Sent++
	return true
}

// body returns the request's JSON. Its prompt depends on n alone, so that a seed gives the same prompts in each run.
func (r *runner) body(n uint64) []byte {
	w := make([]string, r.plan.Words)
	for i := range w {
		w[i] = fmt.Sprintf("w%d", (n+uint64(i))%997)
	}
	b, err := json.Marshal(map[string]any{
		"model":      r.plan.Model,
		"stream":     r.plan.Stream,
		"max_tokens": r.plan.Tokens,
		"messages":   []map[string]string{{"role": "user", "content": strings.Join(w, " ")}},
	})
	if err != nil {
		return nil
	}
	return b
}

func (r *runner) request(ctx context.Context, b []byte, due time.Time) {
	o, err := r.exchange(ctx, b, due)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if err != nil {
		r.report.Failed++
		r.report.Codes["error"]++
		return
	}
	r.report.Codes[o.code]++
	switch {
	case !o.ok:
		r.report.Failed++
		return
	case !o.complete:
		r.report.Truncated++
		return
	}
	r.report.Complete++
	record(r.report.First, o.first)
	record(r.report.Total, o.total)
	for _, g := range o.gaps {
		record(r.report.Gap, g)
	}
}

// measurement is what was observed of one response.
type measurement struct {
	code     string
	ok       bool
	complete bool
	first    time.Duration
	total    time.Duration
	gaps     []time.Duration
}

func (r *runner) exchange(ctx context.Context, b []byte, due time.Time) (measurement, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, r.plan.URL, bytes.NewReader(b))
	if err != nil {
		return measurement{}, err
	}
	q.Header.Set("Content-Type", "application/json")
	if r.plan.Key != "" {
		q.Header.Set("Authorization", "Bearer "+r.plan.Key)
	}
	p, err := r.client.Do(q)
	if err != nil {
		return measurement{}, err
	}
	defer p.Body.Close()
	o := measurement{ok: p.StatusCode == http.StatusOK}
	o.code = strings.TrimSpace(fmt.Sprint(p.StatusCode, " ", p.Header.Get("X-Result-Code")))
	o.read(p.Body, due, r.plan.Stream)
	return o, nil
}

// read consumes a response and records its times. A stream is complete only if it holds the final [DONE] event; any other
// response is complete if its body ends without an error.
func (o *measurement) read(body io.Reader, due time.Time, stream bool) {
	b := bufio.NewReader(body)
	var last time.Time
	for {
		l, err := b.ReadString('\n')
		if n := time.Now(); strings.HasPrefix(l, "data: {") || (!stream && l != "") {
			if last.IsZero() {
				o.first = n.Sub(due)
			} else {
				o.gaps = append(o.gaps, n.Sub(last))
			}
			last = n
		}
		o.complete = o.complete || strings.HasPrefix(l, "data: [DONE]")
		if err != nil {
			o.complete = o.complete || (!stream && errors.Is(err, io.EOF))
			o.total = time.Since(due)
			return
		}
	}
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTime.Microseconds(), precision)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxTime.Microseconds()))
}

// sleepUntil waits until due or until ctx is cancelled, and reports whether ctx is not cancelled.
func sleepUntil(ctx context.Context, due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
