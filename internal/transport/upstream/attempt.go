package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpconn"
)

// minHead is the length of the shortest head in bytes.
const minHead = len("HTTP/1.1 102 \r\n\r\n")

// attempt tracks one exchange with an upstream: whether any of the request was written to its connection, and how long
// the upstream has sent nothing.
type attempt struct {
	cancel          context.CancelCauseFunc
	progressTimeout time.Duration // longest wait for bytes; zero means unlimited
	timer           *time.Timer
	mu              sync.Mutex // guards conn and mark
	conn            *conn
	mark            int64 // bytes written to conn before this attempt
	interimBytes    int   // of interim responses
}

func newAttempt(cancel context.CancelCauseFunc, progressTimeout time.Duration) *attempt {
	a := &attempt{cancel: cancel, progressTimeout: progressTimeout}
	if progressTimeout > 0 {
		a.timer = time.AfterFunc(progressTimeout, func() { cancel(errNoProgress) })
	}
	return a
}

// trace returns hooks that record the connection before any of the request is written to it, and check interim responses.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn, Got1xxResponse: a.gotInterim}
}

func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	a.mark = c.mark()
}

// gotInterim returns an error, which ends the attempt, for an interim response that is none. As net/http bounds each head only while this hook is
// set, it also bounds all of them together.
func (a *attempt) gotInterim(_ int, h textproto.MIMEHeader) error {
	a.interimBytes += minHead
	for n, l := range h {
		for _, v := range l {
			a.interimBytes += len(n) + len(": ") + len(v) + len("\r\n")
		}
	}
	if a.interimBytes > maxResponseHeader {
		return errors.Errorf("the interim responses exceed %d bytes", maxResponseHeader)
	}
	return httpconn.CheckFields(http.Header(h))
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
	response  *http.Response
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
	if errors.Is(err, io.EOF) {
		err = b.checkEnd(err)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if errors.Is(context.Cause(b.ctx), errNoProgress) {
		b.onTimeout()
		return n, result.New(result.UpstreamSilent, "upstream %s made no progress", b.upstream).WithRan(result.DidRun)
	}
	return n, result.New(result.UpstreamBroken, "upstream %s: %v", b.upstream, errors.Cause(err)).WithRan(result.DidRun)
}

// checkEnd returns the error of a read at the end of the body: end, unless the body is not complete.
func (b *responseBody) checkEnd(end error) error {
	if err := httpconn.CheckFields(b.response.Trailer); err != nil {
		return err
	}
	return end
}

// Close ends the exchange; if the response was not read to its end, the connection is closed.
func (b *responseBody) Close() error {
	b.attempt.pauseTimer()
	err := b.ReadCloser.Close()
	b.attempt.cancel(nil)
	return err
}
