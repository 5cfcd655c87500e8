package batches

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/protocol/chat"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/upstream"
)

// Bounds of a run.
const (
	cancelTimeout   = time.Second
	loadTimeout     = time.Second
	maxAnswer       = 8 << 20 // bytes of one answer
	maxResumes      = 3       // connections in a row without a new chunk
	defaultProgress = 10 * time.Second
)

// CallerProvider makes one attempt at an upstream.
type CallerProvider interface {
	Do(ctx context.Context, c upstream.Call) (*http.Response, error)
}

// LimiterProvider keeps items within the batch shares of their accounts.
type LimiterProvider interface {
	// AdmitItem waits a bounded time for a token of the account's batch share.
	AdmitItem(ctx context.Context, a catalog.Account) error
}

// Runner runs items at engines.
type Runner struct {
	caller  CallerProvider
	copy    CopyProvider
	limiter LimiterProvider
}

var _ batch.RunnerProvider = (*Runner)(nil)

// NewRunner returns a Runner.
func NewRunner(c CallerProvider, p CopyProvider, l LimiterProvider) *Runner {
	return &Runner{caller: c, copy: p, limiter: l}
}

// Parse finds an item in a line of an input file.
func (*Runner) Parse(line []byte) (string, []byte, error) {
	var i item
	if err := json.Unmarshal(line, &i); err != nil {
		return "", nil, errors.Wrap(err, "reading an item")
	}
	return i.CustomID, i.Body, nil
}

// Run runs an item until it ends or ctx is cancelled, and then frees its slot.
func (x *Runner) Run(ctx context.Context, u catalog.Upstream, t batch.Task) batch.Ending {
	if !x.admitted(ctx, t) {
		return batch.Ending{End: batch.Throttled}
	}
	a := newAnswer(t)
	stalls := 0
	for {
		n := a.chunks
		e, done := x.connect(ctx, u, t, a)
		if ctx.Err() != nil && (!done || e.End != batch.Finished) {
			x.Cancel(context.WithoutCancel(ctx), u, t.Ref)
			return batch.Ending{End: batch.Preempted, Partial: a.partial()}
		}
		if done {
			return e
		}
		if a.chunks > n {
			stalls = 0
		}
		stalls++
		if stalls >= maxResumes {
			x.Cancel(context.WithoutCancel(ctx), u, t.Ref)
			return broken(t, "the upstream broke off without progress")
		}
	}
}

// admitted takes a token of the account's batch share, once for an item that goes on where it was stopped.
func (x *Runner) admitted(ctx context.Context, t batch.Task) bool {
	if t.Partial.Chunks > 0 {
		return true
	}
	a, ok := x.copy.Current().Accounts[t.Job.Account]
	return !ok || x.limiter.AdmitItem(ctx, a) == nil
}

// Cancel frees the slot of an item.
func (x *Runner) Cancel(ctx context.Context, u catalog.Upstream, r ledger.Ref) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	p, err := x.caller.Do(ctx, upstream.Call{Upstream: u, Method: http.MethodDelete, Path: "/v1/requests/" + requestID(r)})
	if err == nil {
		_ = p.Body.Close()
	}
}

// Load asks for the upstream's load report.
func (x *Runner) Load(ctx context.Context, u catalog.Upstream) (batch.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	p, err := x.caller.Do(ctx, upstream.Call{Upstream: u, Method: http.MethodGet, Path: "/load"})
	if err != nil {
		return batch.LoadReport{}, err
	}
	defer p.Body.Close()
	var l chat.Load
	if err := json.NewDecoder(io.LimitReader(p.Body, maxOrder)).Decode(&l); err != nil {
		return batch.LoadReport{}, errors.Wrapf(err, "reading the load of %s", u.Name)
	}
	at := time.Now().Add(-time.Duration(l.AgeMillis) * time.Millisecond)
	return batch.LoadReport{Running: l.Running, Waiting: l.Waiting, At: at}, nil
}

// connect makes one connection and reads what it gives; done is false when the answer can go on over another one.
func (x *Runner) connect(ctx context.Context, u catalog.Upstream, t batch.Task, a *answer) (e batch.Ending, done bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := x.progress(u)
	w := time.AfterFunc(d, cancel)
	defer w.Stop()
	p, err := x.caller.Do(ctx, upstream.Call{
		Upstream: u,
		Method:   http.MethodPost,
		Path:     t.Job.Endpoint,
		Header:   a.header(),
		Body:     a.body,
	})
	if err != nil {
		if result.Of(err).Ran == result.NotRun && a.chunks == 0 {
			return batch.Ending{End: batch.Refused}, true
		}
		return e, false
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return refusal(t, p)
	}
	if !a.stream {
		w.Stop() // a whole answer shows no progress on the way
		return a.readWhole(p.Body)
	}
	return a.readStream(p.Body, func() { w.Reset(d) })
}

func (x *Runner) progress(u catalog.Upstream) time.Duration {
	if s, ok := x.copy.Current().Services[u.Service]; ok && s.ProgressTimeout > 0 {
		return s.ProgressTimeout
	}
	return defaultProgress
}

// refusal tells a failure of the item's own from one of the upstream.
func refusal(t batch.Task, p *http.Response) (batch.Ending, bool) {
	b, err := io.ReadAll(io.LimitReader(p.Body, maxOrder))
	if err != nil {
		return batch.Ending{}, false
	}
	switch c := p.StatusCode; {
	case c == http.StatusTooManyRequests, c == http.StatusServiceUnavailable, c == http.StatusConflict:
		return batch.Ending{End: batch.Refused}, true
	case c >= http.StatusInternalServerError, c == http.StatusRequestTimeout:
		return broken(t, http.StatusText(c)), true
	}
	m := result.ItemFailed.Meaning()
	l := resultLine{
		ID:       ledger.LineID(t.Ref.Job, t.Ref.Item),
		CustomID: t.CustomID,
		Response: responseOf(t, p.StatusCode, b),
		Error:    &lineError{Code: m.Name, Message: m.Text},
	}
	return batch.Ending{End: batch.Failed, Line: l.encode()}, true
}

// broken ends a run whose upstream broke; the line is used when the item keeps breaking upstreams.
func broken(t batch.Task, what string) batch.Ending {
	l := resultLine{
		ID:       ledger.LineID(t.Ref.Job, t.Ref.Item),
		CustomID: t.CustomID,
		Error:    &lineError{Code: result.ItemFailed.Meaning().Name, Message: what},
	}
	return batch.Ending{End: batch.Broken, Line: l.encode()}
}

// requestID names an item's run at an upstream, the same for every VM, so that any of them can resume or cancel it.
func requestID(r ledger.Ref) string {
	return ledger.LineID(r.Job, r.Item)
}
