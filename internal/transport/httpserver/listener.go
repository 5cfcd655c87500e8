package httpserver

import (
	"net"
	"sync"
)

// limited closes connections above a limit as soon as they are accepted.
type limited struct {
	net.Listener
	open chan struct{} // holds a token for each open connection
}

// Limit returns a listener that closes new connections while n are open; 0 is no limit.
func Limit(l net.Listener, n int) net.Listener {
	if n <= 0 {
		return l
	}
	return &limited{Listener: l, open: make(chan struct{}, n)}
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			_ = c.Close()
		}
	}
}

// limitedConn frees its place when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
