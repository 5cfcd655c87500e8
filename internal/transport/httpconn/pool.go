package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
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
	dialTimeout  = 500 * time.Millisecond // many times the round trip of a region
	idleLimit    = 30 * time.Second       // where the upstream names no limit
	idleMargin   = 700 * time.Millisecond // the upstream's timer may be ahead of ours
	readBuffer   = 8 << 10
	aheadBytes   = 16 << 10 // a longer body is written while the answer is read
	maxIdlePerUp = 64
)

// NotSent reports that no byte of the request has left this VM.
type NotSent struct {
	Cause error
}

// Error returns the cause.
func (n NotSent) Error() string { return n.Cause.Error() }

// Unwrap returns the cause.
func (n NotSent) Unwrap() error { return n.Cause }

// Pool holds connections to upstreams; it is safe for concurrent use.
type Pool struct {
	network network.Network

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	address string
	r       *bufio.Reader
	until   time.Time // not used again later
	fresh   bool      // serves its first request
}

// New returns an empty Pool.
func New(n network.Network) *Pool {
	return &Pool{network: n, idle: map[string][]*conn{}}
}

// Do sends a request to an address and returns the answer once its header is there.
//
// Answers that mine does not recognise belong to earlier requests on the connection and are passed over.
// The connection ends with ctx, or when the answer's body is closed before its end. A failure that is not NotSent
// leaves open whether the request has arrived.
func (p *Pool) Do(ctx context.Context, address string, r *http.Request, body []byte, mine func(*http.Response) bool) (*http.Response, error) {
	c, err := p.get(ctx, address)
	if err != nil {
		return nil, NotSent{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := c.send(r, body)
	a, err := c.receive(r, mine)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.Wrapf(err, "asking upstream %s", address)
	}
	a.Body = &answerBody{ReadCloser: a.Body, p: p, c: c, stop: stop, written: written, keep: !a.Close, limit: keepAlive(a.Header)}
	return a, nil
}

// Idle reports whether a connection to an address is open and idle.
func (p *Pool) Idle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[address]
	return len(l) > 0 && time.Now().Before(l[len(l)-1].until)
}

// Prune closes idle connections to addresses that are not in use any more, and those past their time.
func (p *Pool) Prune(now time.Time, used func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, l := range p.idle {
		var rest []*conn
		for _, c := range l {
			if used(a) && now.Before(c.until) {
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

// get returns a kept connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if time.Now().Before(c.until) && c.open() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, address: address, r: bufio.NewReaderSize(n, readBuffer), fresh: true}, nil
}

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

func (p *Pool) put(c *conn, limit time.Duration) {
	c.until = time.Now().Add(limit)
	c.fresh = false
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.idle[c.address]; len(l) < maxIdlePerUp {
		p.idle[c.address] = append(l, c)
		return
	}
	_ = c.Close()
}

// open reports whether the upstream has neither closed the connection nor sent bytes that nobody asked for.
func (c *conn) open() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, e := syscall.Read(int(fd), b[:])
		quiet = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes the request; a long body is written on while the answer may already come.
func (c *conn) send(r *http.Request, body []byte) <-chan error {
	done := make(chan error, 1)
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	if len(body) == 0 {
		r.Body = http.NoBody
	}
	write := func() {
		w := bufio.NewWriterSize(c.Conn, readBuffer)
		err := r.Write(w)
		if err == nil {
			err = w.Flush()
		}
		done <- err
	}
	if len(body) > aheadBytes {
		go write()
	} else {
		write()
	}
	return done
}

// receive reads the header of the answer, past interim ones and those to earlier requests.
func (c *conn) receive(r *http.Request, mine func(*http.Response) bool) (*http.Response, error) {
	for {
		a, err := http.ReadResponse(c.r, r)
		if err != nil {
			return nil, err
		}
		if a.StatusCode < http.StatusOK && a.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if mine(a) {
			return a, nil
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return nil, errors.Wrap(err, "passing over an earlier answer")
		}
	}
}

// keepAlive returns for how long an upstream keeps an idle connection.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(v); err == nil && strings.EqualFold(k, "timeout") {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return idleLimit
}

// answerBody is the body of one answer; it gives the connection back at its end.
type answerBody struct {
	io.ReadCloser
	p       *Pool
	c       *conn
	stop    func() bool
	written <-chan error
	keep    bool
	limit   time.Duration
	ended   bool
}

// Read reads on and keeps the connection for the next request at a sound end.
func (b *answerBody) Read(x []byte) (int, error) {
	n, err := b.ReadCloser.Read(x)
	if err != nil && !b.ended {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close ends the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	if !b.ended {
		b.finish(false)
	}
	return nil
}

func (b *answerBody) finish(whole bool) {
	b.ended = true
	alive := b.stop()
	if whole && alive && b.keep && b.limit > 0 && b.sent() && b.c.r.Buffered() == 0 {
		b.p.put(b.c, b.limit)
		return
	}
	_ = b.c.Close()
}

// sent reports whether the whole request has been written.
func (b *answerBody) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
