package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/transport/network"
)

// Bounds of connections.
const (
	dialTimeout          = 500 * time.Millisecond // many times the round-trip time within a region
	defaultIdleLimit     = 30 * time.Second       // how long an idle connection is reused if the upstream sends no Keep-Alive timeout
	idleMargin           = 700 * time.Millisecond // subtracted from that timeout, as the upstream's timer may be ahead
	bufferBytes          = 8 << 10                // bytes; of the read and of the write buffer
	concurrentWriteBytes = 16 << 10               // longer bodies are written while the response is read: it may come before their end
	maxIdlePerAddress    = 64
)

// Bounds of what is read for one request before its response.
const (
	maxHeadBytes    = 64 << 10        // of all heads together: of interim responses, of those to earlier requests and of the response
	maxSkipped      = 32              // interim responses and responses to earlier requests
	headTimeout     = 5 * time.Second // from the first byte of a head to its end
	maxDiscardBytes = 1 << 20         // of the bodies of responses to earlier requests
	discardTimeout  = time.Second     // for reading one of these bodies
)

// NotSent reports that no byte of the request has left this VM, so that it can safely be sent to another upstream.
type NotSent struct {
	Cause error
}

// Error returns the cause.
func (n NotSent) Error() string { return n.Cause.Error() }

// Unwrap returns the cause.
func (n NotSent) Unwrap() error { return n.Cause }

// BadResponse reports that the upstream sent bytes that are no HTTP response, or one beyond the bounds of this package.
type BadResponse struct {
	Cause error
}

// Error returns the cause.
func (b BadResponse) Error() string { return b.Cause.Error() }

// Unwrap returns the cause.
func (b BadResponse) Unwrap() error { return b.Cause }

// Pool holds idle connections to upstreams; it is safe for concurrent use.
type Pool struct {
	network network.Network
	onLost  func(address string)

	mu   sync.Mutex
	idle map[string][]*conn // by address; the one used last is at the end
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	address       string
	in            *source
	r             *bufio.Reader // reads from in
	reusableUntil time.Time     // it is not used for a request that starts later
	fresh         bool          // has not served a request yet
}

// New returns an empty Pool.
func New(n network.Network) *Pool {
	return &Pool{network: n, onLost: func(string) {}, idle: map[string][]*conn{}}
}

// OnLost sets a function that is called before a request to an address is sent if the upstream has closed an idle connection there before it had
// to. It must be set before the first request.
func (p *Pool) OnLost(f func(address string)) { p.onLost = f }

// Do sends a request to an address and returns the response once its header has been received. It overwrites
// r.Body and r.ContentLength with those of body.
//
// Responses for which matches returns false belong to earlier requests on the connection and are discarded; fresh is true on a
// connection that has had none, so that a response there can only be to this request. The
// connection is closed when ctx ends or when the response's body is closed before its end. After a failure that is not
// NotSent it is unknown whether the request has arrived; if the upstream sent bytes that are no response to it, the failure
// is a BadResponse.
//
// Reads of the body end with io.EOF only if it is complete. They fail with io.ErrUnexpectedEOF if it ends with its connection
// before the request has been written completely, and with a BadResponse after a malformed trailer section.
func (p *Pool) Do(ctx context.Context, address string, r *http.Request, body []byte, matches func(a *http.Response, fresh bool) bool) (*http.Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, NotSent{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := c.send(r, body)
	a, err := c.receive(r, matches)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.Wrapf(err, "sending a request to upstream %s", address)
	}
	a.Body = &responseBody{ReadCloser: a.Body, a: a, p: p, c: c, stop: stop, written: written, reusable: !a.Close, limit: keepAlive(a.Header)}
	return a, nil
}

// Idle reports whether the pool holds an idle connection to an address that has not expired. It does not check whether
// the upstream has closed it.
func (p *Pool) Idle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	return len(l) > 0 && time.Now().Before(l[len(l)-1].reusableUntil)
}

// Prune closes idle connections to addresses that are no longer used, and those that have expired.
func (p *Pool) Prune(now time.Time, used func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.idle {
		var rest []*conn
		for _, c := range l {
			if used(a) && now.Before(c.reusableUntil) {
				rest = append(rest, c)
			} else {
				_ = c.Close()
			}
		}
		if len(rest) == 0 {
			delete(p.idle, a)
		} else {
			p.idle[a] = rest
		}
	}
}

// get returns an idle connection that can still be used, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		early := time.Now().Before(c.reusableUntil)
		usable, closed := c.reusable()
		if early && usable {
			return c, nil
		}
		if early && closed {
			p.onLost(address)
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &source{Conn: n, left: unlimited}
	return &conn{Conn: n, address: address, in: s, r: bufio.NewReaderSize(s, bufferBytes), fresh: true}, nil
}

// take removes the connection that was used last from the idle ones and returns it; nil if there is none.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[address] = l[:len(l)-1]
	return c
}

// put makes a connection available for limit, or closes it if the address has maxIdlePerAddress idle ones.
func (p *Pool) put(c *conn, limit time.Duration) {
	c.reusableUntil = time.Now().Add(limit)
	c.fresh = false
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.idle[c.address]; len(l) < maxIdlePerAddress {
		p.idle[c.address] = append(l, c)
		return
	}
	_ = c.Close()
}

// reusable reports whether the upstream has neither closed an idle connection nor sent bytes without a request, and whether it has closed it. It
// reads one byte without blocking: EAGAIN means that neither has happened.
func (c *conn) reusable() (ok, closed bool) {
	if c.r.Buffered() > 0 {
		return false, false
	}
	s, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return true, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, e := syscall.Read(int(fd), b[:])
		ok = errors.Is(e, syscall.EAGAIN)
		closed = e == nil && n == 0 || errors.Is(e, syscall.ECONNRESET)
		return true
	})
	return ok && err == nil, closed
}

// send writes the request and returns a channel that gets the result of writing. A request with a long body is still
// being written when send returns, as the upstream may respond before it has read all of it. A failed write is no error
// of Do: the upstream may have responded before it closed the connection.
func (c *conn) send(r *http.Request, body []byte) <-chan error {
	done := make(chan error, 1)
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	if len(body) == 0 {
		r.Body = http.NoBody
	}
	write := func() {
		w := bufio.NewWriterSize(c.Conn, bufferBytes)
		err := r.Write(w)
		if err == nil {
			err = w.Flush()
		}
		done <- err
	}
	if len(body) > concurrentWriteBytes {
		go write()
	} else {
		write()
	}
	return done
}

// receive reads the header of the response and discards interim responses (1xx) and those to earlier requests. Bytes that
// are no response, or more than the bounds allow, are a BadResponse.
func (c *conn) receive(r *http.Request, matches func(a *http.Response, fresh bool) bool) (*http.Response, error) {
	headBytes, discardBytes := int64(maxHeadBytes), int64(maxDiscardBytes)
	for range maxSkipped + 1 {
		a, err := c.readHead(r, &headBytes)
		if err != nil {
			return nil, err
		}
		if a.StatusCode < http.StatusOK {
			continue
		}
		if matches(a, c.fresh) {
			return a, nil
		}
		if err := c.discard(a, &discardBytes); err != nil {
			return nil, errors.Wrap(err, "discarding the response to an earlier request")
		}
	}
	return nil, BadResponse{errors.Errorf("more than %d interim responses and responses to earlier requests", maxSkipped)}
}

// readHead reads one head of at most left bytes, a bound that c.in enforces, and reduces left by its length. The wait for its first
// byte is bounded only by the request's context, the time from there on by headTimeout.
func (c *conn) readHead(r *http.Request, left *int64) (*http.Response, error) {
	c.in.left = *left
	buffered := c.r.Buffered()
	defer func() {
		*left = max(0, c.in.left+int64(c.r.Buffered()-buffered))
		c.in.left = unlimited
	}()
	if _, err := c.r.Peek(1); err == nil {
		_ = c.SetReadDeadline(time.Now().Add(headTimeout))
	}
	a, err := http.ReadResponse(c.r, r)
	switch {
	case err == nil:
		_ = c.SetReadDeadline(time.Time{})
		if err := CheckHead(a); err != nil {
			return nil, BadResponse{err}
		}
		return a, nil
	case errors.Is(c.in.err, errLimit):
		return nil, BadResponse{errors.Errorf("the head exceeds %d bytes", maxHeadBytes)}
	case errors.Is(c.in.err, os.ErrDeadlineExceeded):
		return nil, BadResponse{errors.Errorf("the head is not complete after %s", headTimeout)}
	case c.in.err == nil:
		return nil, BadResponse{err}
	}
	return nil, err
}

// discard reads the body of a response to its end and reduces left by its length.
func (c *conn) discard(a *http.Response, left *int64) error {
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, *left+1))
	*left -= n
	switch {
	case *left < 0:
		return BadResponse{errors.Errorf("the bodies exceed %d bytes", maxDiscardBytes)}
	case errors.Is(c.in.err, os.ErrDeadlineExceeded):
		return BadResponse{errors.Errorf("the body is not complete after %s", discardTimeout)}
	case err != nil:
		return err
	}
	if err := CheckFields(a.Trailer); err != nil {
		return BadResponse{err}
	}
	return c.SetReadDeadline(time.Time{})
}

// unlimited is the number of bytes left of a source without a limit.
const unlimited = -1

// errLimit is the error of reads beyond the limit of a source.
var errLimit = errors.New("more bytes than allowed")

// source reads from a connection, at most left bytes unless that is unlimited.
type source struct {
	net.Conn
	left int64
	err  error // of the last read
}

// Read reads from the connection; beyond the limit it returns errLimit.
func (s *source) Read(b []byte) (int, error) {
	if s.left == 0 {
		s.err = errLimit
		return 0, s.err
	}
	if s.left > 0 {
		b = b[:min(int64(len(b)), s.left)]
	}
	n, err := s.Conn.Read(b)
	if s.left > 0 {
		s.left -= int64(n)
	}
	s.err = err
	return n, err
}

// keepAlive returns for how long a connection may be idle and still be reused: the timeout of the response's Keep-Alive
// header less idleMargin, or defaultIdleLimit. It can be negative, which rules out reuse.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(v); err == nil && strings.EqualFold(k, "timeout") {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdleLimit
}

// responseBody is the body of one response; at its end it returns the connection to the pool.
type responseBody struct {
	io.ReadCloser
	a        *http.Response
	p        *Pool
	c        *conn
	stop     func() bool // false if ctx has closed the connection
	written  <-chan error
	reusable bool          // the upstream keeps the connection open
	limit    time.Duration // longest time until the next request
	err      error         // of all further reads; nil until the end
}

// Read reads the body. At its complete end the connection returns to the pool if it can be reused; after an error it is
// closed.
func (b *responseBody) Read(x []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(x)
	if errors.Is(err, io.EOF) {
		err = b.checkEnd()
	}
	if err != nil {
		b.err = err
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// checkEnd returns io.EOF at the end of a complete body. One that ends with its connection is complete only if the request has been written
// completely: otherwise the connection may have been reset, an error that the system reports once, to the read or to the write.
func (b *responseBody) checkEnd() error {
	if err := CheckFields(b.a.Trailer); err != nil {
		return BadResponse{err}
	}
	if !Unframed(b.a) {
		return io.EOF
	}
	_ = b.c.SetWriteDeadline(time.Now()) // ends a write that is waiting
	if err := <-b.written; err != nil {
		return errors.Wrapf(io.ErrUnexpectedEOF, "the connection ended while the request was written: %v", err)
	}
	return io.EOF
}

// Close closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
		b.finish(false)
	}
	return nil
}

// finish returns the connection to the pool, or closes it if the body is not complete, ctx has ended, the request was
// not written completely, or the connection holds unexpected bytes.
func (b *responseBody) finish(complete bool) {
	alive := b.stop()
	if complete && alive && b.reusable && b.limit > 0 && b.sent() && b.c.r.Buffered() == 0 {
		b.p.put(b.c, b.limit)
		return
	}
	_ = b.c.Close()
}

// sent reports whether the request has been written completely.
func (b *responseBody) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
