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

// Limits of a run.
const (
	cancelTimeout          = time.Second
	loadTimeout            = time.Second
	maxResponse            = 8 << 20          // bytes of a response that is not streamed, or of the text of a stream
	maxStalls              = 3                // consecutive connections, of which at most the first received a new chunk
	defaultProgressTimeout = 10 * time.Second // if the service sets none
	maxWithoutProgress     = 10 * time.Minute // of a body, if the upstream sends something, but no chunk or no complete response
)

// CallerProvider makes one attempt at an upstream.
type CallerProvider interface {
	Do(ctx context.Context, c upstream.Call) (*http.Response, error)
}

// LimiterProvider limits the rate at which an account's items start to its batch share.
type LimiterProvider interface {
	// AdmitItem takes a token of the account's batch share; it fails if none is free within a bounded time.
	AdmitItem(ctx context.Context, a catalog.Account) error
}

// Runner runs batch items on engines. It is safe for concurrent use.
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

// Parse extracts an item's custom id and request body from a line of an input file.
func (*Runner) Parse(line []byte) (string, []byte, error) {
	var i item
	if err := json.Unmarshal(line, &i); err != nil {
		return "", nil, errors.Wrap(err, "reading an item")
	}
	return i.CustomID, i.Body, nil
}

// Run runs an item until it ends or ctx is cancelled, and then frees its slot.
//
// A connection that breaks is replaced immediately: the upstream knows the run by its request id, so a stream resumes
// after the chunks received so far. An item that is preempted returns these chunks for a later run.
func (x *Runner) Run(ctx context.Context, u catalog.Upstream, t batch.Task) batch.Ending {
	if !x.admit(ctx, t) {
		return batch.Ending{End: batch.Throttled}
	}
	a := newItemResponse(t)
	stalls := 0
	for {
		n := a.chunks
		e, done := x.attempt(ctx, u, t, a)
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
		if stalls >= maxStalls {
			x.Cancel(context.WithoutCancel(ctx), u, t.Ref)
			return brokenEnding(t, "the upstream broke off without progress")
		}
	}
}

// admit takes a token of the account's batch share and reports whether the item may run. A run that resumes a partial
// response needs none: its first run took one. Accounts that are no longer configured are not limited.
func (x *Runner) admit(ctx context.Context, t batch.Task) bool {
	if t.Partial.Chunks > 0 {
		return true
	}
	a, ok := x.copy.Current().Accounts[t.Job.Account]
	return !ok || x.limiter.AdmitItem(ctx, a) == nil
}

// Cancel asks the upstream to stop an item's run and free its slot. Failures are ignored.
func (x *Runner) Cancel(ctx context.Context, u catalog.Upstream, r ledger.Ref) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	p, err := x.caller.Do(ctx, upstream.Call{Upstream: u, Method: http.MethodDelete, Path: "/v1/requests/" + requestID(r)})
	if err == nil {
		_ = p.Body.Close()
	}
}

// Load requests the upstream's load report.
func (x *Runner) Load(ctx context.Context, u catalog.Upstream) (batch.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	p, err := x.caller.Do(ctx, upstream.Call{Upstream: u, Method: http.MethodGet, Path: "/load"})
	if err != nil {
		return batch.LoadReport{}, err
	}
	defer p.Body.Close()
	var l chat.Load
	if err := json.NewDecoder(io.LimitReader(p.Body, maxBody)).Decode(&l); err != nil {
		return batch.LoadReport{}, errors.Wrapf(err, "reading the load of %s", u.Name)
	}
	at := time.Now().Add(-time.Duration(l.AgeMillis) * time.Millisecond)
	return batch.LoadReport{Running: l.Running, Waiting: l.Waiting, At: at}, nil
}

// attempt sends the item over one connection and reads the response; done is false when another connection may
// continue it. An upstream that sends nothing within the progress timeout is treated as a broken connection.
func (x *Runner) attempt(ctx context.Context, u catalog.Upstream, t batch.Task, a *itemResponse) (e batch.Ending, done bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := x.progressTimeout(u)
	w := time.AfterFunc(d, cancel)
	defer w.Stop()
	p, err := x.caller.Do(ctx, upstream.Call{
		Upstream: u,
		Method:   http.MethodPost,
		Path:     t.Job.Endpoint,
		Header:   a.header(),
		Body:     a.requestBody,
	})
	if err != nil {
		if result.Of(err).Ran == result.NotRun && a.chunks == 0 {
			return batch.Ending{End: batch.Refused}, true
		}
		return e, false
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return classifyError(t, p)
	}
	if !a.stream {
		w.Reset(maxWithoutProgress) // a response that is not streamed shows no progress until it is complete
		return a.readComplete(p.Body)
	}
	n, at := a.chunks, time.Now()
	return a.readStream(p.Body, func() {
		if a.chunks > n {
			n, at = a.chunks, time.Now()
		}
		if time.Since(at) < maxWithoutProgress {
			w.Reset(d)
		}
	})
}

// progressTimeout returns how long the upstream may send nothing, as its service sets it or the default.
func (x *Runner) progressTimeout(u catalog.Upstream) time.Duration {
	if s, ok := x.copy.Current().Services[u.Service]; ok && s.ProgressTimeout > 0 {
		return s.ProgressTimeout
	}
	return defaultProgressTimeout
}

// classifyError returns the ending for a response other than 200 OK: Refused if the upstream did not take the item,
// Broken if the upstream failed, and otherwise Failed, since the item itself is at fault.
func classifyError(t batch.Task, p *http.Response) (batch.Ending, bool) {
	b, err := io.ReadAll(io.LimitReader(p.Body, maxBody))
	if err != nil {
		return batch.Ending{}, false
	}
	switch c := p.StatusCode; {
	case c == http.StatusTooManyRequests, c == http.StatusServiceUnavailable, c == http.StatusConflict:
		return batch.Ending{End: batch.Refused}, true
	case c >= http.StatusInternalServerError, c == http.StatusRequestTimeout:
		return brokenEnding(t, http.StatusText(c)), true
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

// brokenEnding ends a run whose upstream failed; its line is used only if the item is given up after repeated failures.
func brokenEnding(t batch.Task, what string) batch.Ending {
	l := resultLine{
		ID:       ledger.LineID(t.Ref.Job, t.Ref.Item),
		CustomID: t.CustomID,
		Error:    &lineError{Code: result.ItemFailed.Meaning().Name, Message: what},
	}
	return batch.Ending{End: batch.Broken, Line: l.encode()}
}

// requestID returns the request id of an item's runs, the same on every VM, so that any VM can resume or cancel them.
func requestID(r ledger.Ref) string {
	return ledger.LineID(r.Job, r.Item)
}
