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

// minHead is the length of the shortest head of an interim response in bytes.
const minHead = len("HTTP/1.1 102 \r\n\r\n")

// attempt tracks one exchange with an upstream: whether any of the request was written to its connection, and how long
// the upstream has sent nothing.
type attempt struct {
	cancel          context.CancelCauseFunc
	progressTimeout time.Duration // longest wait for bytes; zero means unlimited
	timer           *time.Timer
	mu              sync.Mutex // guards conn and mark
	conn            *conn
	mark            int64      // bytes written to conn before this attempt
	interimBytes    int        // of interim responses
	writeResult     chan error // gets the error of writing the request, or nil
}

func newAttempt(cancel context.CancelCauseFunc, progressTimeout time.Duration) *attempt {
	a := &attempt{cancel: cancel, progressTimeout: progressTimeout, writeResult: make(chan error, 1)}
	if progressTimeout > 0 {
		a.timer = time.AfterFunc(progressTimeout, func() { cancel(errNoProgress) })
	}
	return a
}

// trace returns hooks that record the connection before any of the request is written to it and the result of writing it, and check interim
// responses.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConn, WroteRequest: a.wroteRequest, Got1xxResponse: a.gotInterim}
}

func (a *attempt) wroteRequest(i httptrace.WroteRequestInfo) {
	select {
	case a.writeResult <- i.Err:
	default:
	}
}

// requestWritten waits until the request is no longer being written, or ctx ends, and reports whether it was written without an error. It must be
// called only once.
func (a *attempt) requestWritten(ctx context.Context) bool {
	select {
	case err := <-a.writeResult:
		if err != nil {
			return false
		}
	case <-ctx.Done():
		return false
	}
	a.mu.Lock()
	c := a.conn
	a.mu.Unlock()
	return c != nil && !c.writeFailed() // net/http reports a request as written before it flushes the last bytes
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

// gotInterim returns an error, which ends the attempt, for a malformed interim response. With this hook set, net/http bounds each head by itself, so
// the hook bounds all of them together.
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
	err       error  // of all further reads; nil until the end
}

// Read reads the response. The progress timeout runs only during reads, so a slow reader can't exceed it.
//
// Its errors are io.EOF at the end of a complete body, and a Failure whose Ran is DidRun and whose Code is UpstreamSilent after the progress
// timeout, otherwise UpstreamBroken.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.attempt.restartTimer()
	n, err := b.ReadCloser.Read(p)
	b.attempt.pauseTimer()
	switch {
	case errors.Is(err, io.EOF):
		b.err = b.checkEnd()
	case err == nil:
	case errors.Is(context.Cause(b.ctx), errNoProgress):
		b.onTimeout()
		b.err = result.New(result.UpstreamSilent, "upstream %s made no progress", b.upstream).WithRan(result.DidRun)
	default:
		b.err = b.broken(err)
	}
	return n, b.err
}

// checkEnd returns io.EOF at the end of a complete body. One that ends with its connection is complete only if the request has been written
// completely, as the error of a reset may have gone to that write alone; net/http closes the connection then, which ends a write that is waiting.
func (b *responseBody) checkEnd() error {
	if err := httpconn.CheckFields(b.response.Trailer); err != nil {
		return b.broken(err)
	}
	if httpconn.Unframed(b.response) && !b.attempt.requestWritten(b.ctx) {
		return b.broken(errors.New("the connection ended while the request was written"))
	}
	return io.EOF
}

func (b *responseBody) broken(cause error) error {
	return result.New(result.UpstreamBroken, "upstream %s: %v", b.upstream, errors.Cause(cause)).WithRan(result.DidRun)
}

// Close ends the exchange; if the response was not read to its end, the connection is closed.
func (b *responseBody) Close() error {
	b.attempt.pauseTimer()
	err := b.ReadCloser.Close()
	b.attempt.cancel(nil)
	return err
}
