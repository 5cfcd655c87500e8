package upstream

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is the error of a write after the attempt that used the connection was abandoned.
var errSealed = errors.New("write after the attempt was abandoned")

// conn counts the bytes written, so that a failed attempt can tell whether any byte may have been sent.
type conn struct {
	net.Conn
	writing sync.Mutex // held during a write
	mu      sync.Mutex // guards the fields below
	written int64
	sealed  bool
	failed  bool // a write has failed
}

// Write counts bytes before they are sent, so that none is sent uncounted, and fails once the connection is sealed.
func (c *conn) Write(b []byte) (int, error) {
	if !c.count(len(b)) {
		return 0, errSealed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.mu.Lock()
		c.failed = true
		c.mu.Unlock()
	}
	return n, err
}

// writeFailed waits for a write that has begun and reports whether any has failed.
func (c *conn) writeFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// mark returns the count of bytes written so far, for seal.
func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all later writes fail and reports whether bytes were written after the mark.
func (c *conn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written > mark
}

// count adds n bytes to be written, or returns false if the connection is sealed.
func (c *conn) count(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.written += int64(n)
	return true
}
