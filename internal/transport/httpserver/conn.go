package httpserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"snipetack/internal/coordination/budget"
)

// conn is a connection whose heads, memory and progress are bounded.
type conn struct {
	net.Conn
	g        *Guard
	listener string
	share    *budget.Conn

	mu       sync.Mutex
	head     headScanner
	deadline time.Time // for reading, as the server set it
	from     time.Time // when the current head or the wait for the next one began
	ended    bool      // a head exceeded a bound: nothing more is read
}

// Read reads bytes of requests. It ends with io.EOF for good, as if the client had left, when a head exceeds a bound: a response might
// belong to an earlier request. Later bytes must not be read, since net/http takes a line that ends with io.EOF for complete and would
// go on with them.
func (c *conn) Read(b []byte) (int, error) {
	if c.hasEnded() {
		return 0, io.EOF
	}
	c.limitRead()
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	switch c.share.Stage() {
	case budget.Idle:
		c.startHead(now)
		c.share.Enter(now, budget.Head)
		fallthrough
	case budget.Head:
		if why := c.readHead(b[:n], now); why != "" {
			c.g.cut(c.listener, why, c.RemoteAddr())
			c.mu.Lock()
			c.ended = true
			c.mu.Unlock()
			return 0, io.EOF
		}
	default:
	}
	return n, err
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// readHead bounds and charges bytes of a head. It returns why the connection is closed, or "".
func (c *conn) readHead(b []byte, now time.Time) string {
	c.mu.Lock()
	bytes, fields := c.head.add(b)
	total, lines, next := c.head.bytes, c.head.fields, c.head.next
	c.mu.Unlock()
	h := c.g.headers.Load()
	switch {
	case h.Bytes > 0 && total > h.Bytes:
		return "head too long"
	case lines > maxFields:
		return "too many fields"
	case next > maxPipelined:
		return "pipelined requests"
	}
	if ok, _ := c.share.Take(now, int64(bytes+fields*fieldBytes)); !ok {
		return "no room for a head"
	}
	return ""
}

// startHead begins the count of a head.
func (c *conn) startHead(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{}
	c.from = now
}

// SetReadDeadline sets the server's deadline; the bounds of heads may be earlier.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// limitRead sets the deadline of a read that waits for a head or a next request, if the bounds have an earlier one.
func (c *conn) limitRead() {
	h := c.g.headers.Load()
	limit := time.Duration(0)
	switch c.share.Stage() {
	case budget.Head:
		limit = h.Time
	case budget.Idle:
		limit = h.Idle
	default:
	}
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.from.IsZero() {
		c.from = time.Now()
	}
	t := c.from.Add(limit + headerMargin)
	if c.deadline.IsZero() || t.Before(c.deadline) {
		_ = c.Conn.SetReadDeadline(t)
	}
}

// Write sends bytes of a response; while it blocks, the client makes no progress.
func (c *conn) Write(b []byte) (int, error) {
	s := c.share.Stage()
	if s == budget.Run {
		c.share.Enter(time.Now(), budget.Accept)
		defer func() {
			if c.share.Stage() == budget.Accept {
				c.share.Enter(time.Now(), budget.Run)
			}
		}()
	}
	return c.Conn.Write(b)
}

// finish records that the handler has ended.
func (c *conn) finish() {
	now := time.Now()
	c.startHead(now)
	c.share.Enter(now, budget.Idle)
}

// take reserves memory for the request; it waits for it for roomTimeout.
func (c *conn) take(ctx context.Context, n int64) bool {
	ok, wait := c.share.Take(time.Now(), n)
	if ok || wait == nil {
		return ok
	}
	t := time.NewTimer(roomTimeout)
	defer t.Stop()
	again := time.NewTicker(roomInterval)
	defer again.Stop()
	for !ok && wait != nil {
		select {
		case <-wait:
		case <-again.C: // others may have become late
		case <-t.C:
			return false
		case <-ctx.Done():
			return false
		}
		ok, wait = c.share.Take(time.Now(), n)
	}
	return ok
}

// roomInterval is the time between attempts to find room while none is released.
const roomInterval = 50 * time.Millisecond

// cut closes the connection for another client.
func (c *conn) cut(reason string) {
	c.g.cut(c.listener, reason, c.RemoteAddr())
	_ = c.Close()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.share.Close()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction; net/http uses it so that a response is not lost with unread bytes of its request.
func (c *conn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// headScanner counts the bytes and fields of one head as they arrive in parts.
type headScanner struct {
	bytes  int // of the fields
	fields int
	next   int // complete heads that have arrived after it
	line   int // bytes of the current line
	start  bool
	ended  bool
}

// add counts bytes and returns how many bytes and fields they add to the head.
func (s *headScanner) add(b []byte) (n, fields int) {
	bytesBefore, fieldsBefore := s.bytes, s.fields
	for i := 0; i < len(b) && !s.ended; i++ {
		x := b[i]
		if s.start {
			s.bytes++
		}
		switch {
		case x == '\n' && s.start && s.line == 0:
			s.ended = true
			s.countNext(b[i+1:])
		case x == '\n':
			if s.start {
				s.fields++
			}
			s.start, s.line = s.start || s.line > 0, 0
		case x != '\r':
			s.line++
		}
	}
	return s.bytes - bytesBefore, s.fields - fieldsBefore
}

// countNext counts the heads of further requests that arrived together with this one.
func (s *headScanner) countNext(b []byte) {
	for {
		line, rest, ok := bytes.Cut(b, []byte("\n"))
		if !ok || !bytes.Contains(line, []byte(" HTTP/1.")) {
			return
		}
		_, b, ok = bytes.Cut(rest, []byte("\r\n\r\n"))
		if !ok {
			return
		}
		s.next++
	}
}
