package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timing of the end of callers' connections.
const (
	drainInterval    = 20 * time.Millisecond  // between checks whether all connections are closed
	firstRequestWait = 500 * time.Millisecond // a new connection on which no request arrives for this long is closed
)

// drainer ends the connections of an HTTP server. It serves each request of which a byte has been read, whereas
// http.Server.Shutdown closes a connection without a response when a request arrives on it completely after the call.
// Callers must not pipeline requests.
type drainer struct {
	mu       sync.Mutex
	listener net.Listener
	conns    map[*callerConn]struct{}
	draining bool
}

// newDrainer returns a drainer of a server that serves drainer.listen; it sets ConnState and wraps the Handler.
func newDrainer(s *http.Server) *drainer {
	d := &drainer{conns: map[*callerConn]struct{}{}}
	s.ConnState = d.onState
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&drainWriter{ResponseWriter: w, d: d}, r)
	})
	return d
}

// listen returns a listener whose connections the drainer ends.
func (d *drainer) listen(l net.Listener) net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener = l
	return &drainListener{Listener: l, d: d}
}

// drain accepts no more connections and closes each one once its request has its response. It returns when all are closed or
// ctx ends.
func (d *drainer) drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	if d.listener != nil {
		_ = d.listener.Close()
	}
	d.mu.Unlock()
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for {
		d.mu.Lock()
		l := make([]*callerConn, 0, len(d.conns))
		for c := range d.conns {
			l = append(l, c)
		}
		d.mu.Unlock()
		if len(l) == 0 {
			return nil
		}
		for _, c := range l {
			c.closeIdle(time.Now())
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *drainer) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *drainer) onState(n net.Conn, s http.ConnState) {
	c, ok := n.(*callerConn)
	if !ok || s != http.StateIdle {
		return
	}
	c.responded()
	if d.isDraining() {
		c.closeIdle(time.Now())
	}
}

// drainListener registers its connections at a drainer.
type drainListener struct {
	net.Listener
	d *drainer
}

// Accept returns the next connection, and http.ErrServerClosed once the drainer has closed the listener.
func (l *drainListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil && l.d.isDraining() {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: n, d: l.d, opened: time.Now()}
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.conns[c] = struct{}{}
	return c, nil
}

// callerConn is a connection on which no byte is read after closeIdle has closed it.
type callerConn struct {
	net.Conn
	d      *drainer
	opened time.Time

	mu     sync.Mutex
	used   bool // a byte has been read
	busy   bool // a byte of a request has been read, and there is no response yet
	closed bool // by closeIdle
}

// Read reads bytes of a request.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.used, c.busy = true, true
	return n, err
}

// NetConn returns the underlying connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *callerConn) Close() error {
	c.d.mu.Lock()
	delete(c.d.conns, c)
	c.d.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction; net/http uses it so that a response is not lost with unread bytes of its request.
func (c *callerConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// responded notes that the last request has its response.
func (c *callerConn) responded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// closeIdle closes the connection unless a byte of a request has been read or its first request may still arrive.
func (c *callerConn) closeIdle(now time.Time) {
	c.mu.Lock()
	if c.busy || !c.used && now.Sub(c.opened) < firstRequestWait {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
}

// drainWriter announces the end of the connection in responses that begin while the drainer drains.
type drainWriter struct {
	http.ResponseWriter
	d *drainer
}

// WriteHeader sends the header.
func (w *drainWriter) WriteHeader(status int) {
	if w.d.isDraining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
