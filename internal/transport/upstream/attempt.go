package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/result"
)

// attempt tracks one exchange with an upstream: whether any of the request was written to its connection, and how long
// the upstream has sent nothing.
type attempt struct {
	cancel          context.CancelCauseFunc
	progressTimeout time.Duration // longest wait for bytes; zero means unlimited
	timer           *time.Timer
	mu              sync.Mutex // guards conn and mark
	conn            *conn
	mark            int64 // bytes written to conn before this attempt
}

func newAttempt(cancel context.CancelCauseFunc, progressTimeout time.Duration) *attempt {
	a := &attempt{cancel: cancel, progressTimeout: progressTimeout}
	if progressTimeout > 0 {
		a.timer = time.AfterFunc(progressTimeout, func() { cancel(errNoProgress) })
	}
	return a
}

// trace returns hooks that record the connection before any of the request is written to it.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*conn)
		if !ok {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.conn = c
		a.mark = c.mark()
	}}
}

// abandon closes the connection of the attempt and reports whether a byte of it may have reached the upstream.
func (a *attempt) abandon() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		return false
	}
	sent := a.conn.seal(a.mark)
	_ = a.conn.Close() // net/http may hold it as idle
	return sent
}

func (a *attempt) pauseTimer() {
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *attempt) restartTimer() {
	if a.timer != nil {
		a.timer.Reset(a.progressTimeout)
	}
}

// requestBody keeps net/http from retrying a request by itself: it is never nil, and the request has no GetBody.
type requestBody struct {
	*bytes.Reader
}

var _ io.ReadCloser = requestBody{}

// Close does nothing.
func (requestBody) Close() error { return nil }

// responseBody is a response body whose reads fail when the upstream sends nothing within the progress timeout.
type responseBody struct {
	io.ReadCloser
	attempt   *attempt
	ctx       context.Context
	upstream  string
	onTimeout func() // called when a read fails for want of progress
}

// Read reads the response. The progress timeout runs only during reads, so a slow reader can't exceed it.
// Ran of a Failure is DidRun.
func (b *responseBody) Read(p []byte) (int, error) {
	b.attempt.restartTimer()
	n, err := b.ReadCloser.Read(p)
	b.attempt.pauseTimer()
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if errors.Is(context.Cause(b.ctx), errNoProgress) {
		b.onTimeout()
		return n, result.New(result.UpstreamSilent, "upstream %s made no progress", b.upstream).WithRan(result.DidRun)
	}
	return n, result.New(result.UpstreamBroken, "upstream %s: %v", b.upstream, errors.Cause(err)).WithRan(result.DidRun)
}

// Close ends the exchange; if the response was not read to its end, the connection is closed.
func (b *responseBody) Close() error {
	b.attempt.pauseTimer()
	err := b.ReadCloser.Close()
	b.attempt.cancel(nil)
	return err
}
