package gateway

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/result"
)

// Bounds of callers' connections to a VM.
const (
	MaxConnections = 8192
	maxRefusals    = 64 // connections that are refused with a response at the same time; more are closed without one
	refusalTimeout = time.Second
)

// Listener bounds the connections of l to MaxConnections. A connection above the limit gets a 503 response and is
// closed.
func (g *Gateway) Listener(l net.Listener) net.Listener {
	return newListener(l, MaxConnections)
}

// listener counts open connections.
type listener struct {
	net.Listener
	limit     int64
	openConns atomic.Int64
	refusals  atomic.Int64
}

func newListener(l net.Listener, limit int64) *listener {
	return &listener{Listener: l, limit: limit}
}

// Accept returns the next connection within the limit and refuses the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.limit {
			return &countedConn{Conn: c, open: &l.openConns}, nil
		}
		l.openConns.Add(-1)
		l.refuse(c)
	}
}

// refuse closes a connection, with a 503 response unless maxRefusals are being sent already. It does not block Accept.
func (l *listener) refuse(c net.Conn) {
	if l.refusals.Add(1) > maxRefusals {
		l.refusals.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer l.refusals.Add(-1)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Write(refusal())
	}()
}

// refusal returns the complete HTTP response for a connection that is not served.
func refusal() []byte {
	f := result.New(result.TooManyConns, "the VM has no room for another connection").After(retryDelay)
	b := reply.FailureEvent(f)
	return fmt.Appendf(nil, "HTTP/1.1 %d Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+
		"Retry-After: 1\r\n%s: %d\r\nConnection: close\r\n\r\n%s", f.Code.Meaning().Status, len(b), reply.CodeHeader, int(f.Code), b)
}

// countedConn stops counting as open when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// NetConn returns the underlying connection.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
