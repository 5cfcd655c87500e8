package fakenet

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// streamBuffer is the max number of unread bytes in each direction of a TCP connection; a writer then blocks.
const streamBuffer = 64 << 10

// host is the network interface of one IP address.
type host struct {
	n  *Net
	ip string
}

func (h *host) ListenPacket(address string) (net.PacketConn, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	a, err := h.n.bind(address, func(a string) bool { return h.n.packets[a] != nil })
	if err != nil {
		return nil, err
	}
	p := newPacketConn(h.n, a)
	h.n.packets[a] = p
	return p, nil
}

func (h *host) Listen(address string) (net.Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	a, err := h.n.bind(address, func(a string) bool { return h.n.listeners[a] != nil })
	if err != nil {
		return nil, err
	}
	l := &listener{n: h.n, address: a, in: make(chan net.Conn), closed: make(chan struct{})}
	h.n.listeners[a] = l
	return l, nil
}

func (h *host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.n.mu.Lock()
	to := h.n.link(h.ip, hostOf(address))
	back := h.n.link(hostOf(address), h.ip)
	l := h.n.listeners[address]
	h.n.portCounter++
	a := net.JoinHostPort(h.ip, strconv.Itoa(firstFreePort+h.n.portCounter%40_000))
	h.n.mu.Unlock()
	if to.Cut || back.Cut {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "connecting to %s", address)
	}
	if l == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connecting to %s", address)
	}
	x, y := h.n.pair(a, address)
	select {
	case l.in <- y:
		return x, nil
	case <-l.closed:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "connecting to %s", address)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connecting to %s", address)
	}
}

type listener struct {
	n       *Net
	address string
	in      chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.n.mu.Lock()
	if l.n.listeners[l.address] == l { // after Kill, another process may listen there
		delete(l.n.listeners, l.address)
	}
	l.n.mu.Unlock()
	l.kill()
	return nil
}

func (l *listener) Addr() net.Addr { return tcpAddr(l.address) }

func (l *listener) kill() { l.once.Do(func() { close(l.closed) }) }

// segment is a run of bytes in transit; they can be read from at on.
type segment struct {
	b  []byte
	at time.Time
}

// half is one direction of a TCP connection.
type half struct {
	mu         sync.Mutex
	queue      []segment
	size       int           // bytes written and not yet read, dropped ones included
	closed     bool          // either end has closed the connection
	blackholed bool          // drops what is written from now on
	changed    chan struct{} // closed and replaced on each change
}

func (h *half) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// conn is one end of a TCP connection.
type conn struct {
	n               *Net
	local, remote   string
	in, out         *half
	mu              sync.Mutex
	read, write     time.Time     // deadlines; zero is none
	deadlineChanged chan struct{} // closed and replaced when a deadline changes
	done            chan struct{}
	once            sync.Once
}

var _ net.Conn = (*conn)(nil)

func (n *Net) pair(a, b string) (*conn, *conn) {
	x := &half{changed: make(chan struct{})}
	y := &half{changed: make(chan struct{})}
	l := &conn{n: n, local: a, remote: b, in: x, out: y, deadlineChanged: make(chan struct{}), done: make(chan struct{})}
	r := &conn{n: n, local: b, remote: a, in: y, out: x, deadlineChanged: make(chan struct{}), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[l] = true
	n.conns[r] = true
	n.allConns = append(n.allConns, l, r)
	return l, r
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, wait, err := c.in.take(b)
		if n > 0 || err != nil {
			return n, err
		}
		if err := c.await(wait, c.readDeadline); err != nil {
			return 0, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		c.n.mu.Lock()
		l := c.n.link(hostOf(c.local), hostOf(c.remote))
		at := time.Now().Add(c.n.delay(l))
		c.n.mu.Unlock()
		n, wait, err := c.out.put(b[done:], at, l.Cut)
		if err != nil {
			return done, err
		}
		done += n
		if n == 0 {
			if err := c.await(wait, c.writeDeadline); err != nil {
				return done, err
			}
		}
	}
	return done, nil
}

// Close closes the connection. Writes fail before reads do: a server that notices the close by its reads must not write an end to its response.
func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	cut := c.n.link(hostOf(c.local), hostOf(c.remote)).Cut
	c.n.mu.Unlock()
	for _, h := range []*half{c.out, c.in} {
		h.mu.Lock()
		if !h.blackholed && !cut {
			h.closed = true
			h.notify()
		}
		h.mu.Unlock()
	}
	c.once.Do(func() { close(c.done) })
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return tcpAddr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return tcpAddr(c.remote) }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(&c.read, t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(&c.write, t)
	return nil
}

func (c *conn) setDeadline(d *time.Time, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*d = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
}

func (c *conn) readDeadline() time.Time  { return c.read }
func (c *conn) writeDeadline() time.Time { return c.write }

// await blocks until a half changes, a segment arrives or the deadline is changed, all without an error, or until
// the deadline passes or the connection is closed.
func (c *conn) await(w waitCondition, deadline func() time.Time) error {
	c.mu.Lock()
	d, m := deadline(), c.deadlineChanged
	c.mu.Unlock()
	t, stop := timerFor(d)
	defer stop()
	arrival, stopArrival := timerFor(w.at)
	defer stopArrival()
	select {
	case <-w.changed:
	case <-arrival:
	case <-m:
	case <-c.done:
		return net.ErrClosed
	case <-t:
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c *conn) between(a, b string) bool {
	return between(a, b, hostOf(c.local), hostOf(c.remote))
}

// blackhole makes both directions drop everything, without an error at either end.
func (c *conn) blackhole() {
	for _, h := range []*half{c.in, c.out} {
		h.mu.Lock()
		h.blackholed = true
		h.queue = nil
		h.mu.Unlock()
	}
}

// waitCondition is what ends the wait of a blocked call: a change of the half, or the arrival of a segment.
type waitCondition struct {
	changed <-chan struct{}
	at      time.Time // arrival of the first segment; zero when none is in transit
}

// take reads bytes that have arrived; it returns 0 and what to wait for when there are none.
func (h *half) take(b []byte) (int, waitCondition, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := waitCondition{changed: h.changed}
	if len(h.queue) == 0 {
		if h.closed && !h.blackholed {
			return 0, w, io.EOF
		}
		return 0, w, nil
	}
	s := &h.queue[0]
	if time.Now().Before(s.at) {
		w.at = s.at
		return 0, w, nil
	}
	n := copy(b, s.b)
	s.b = s.b[n:]
	if len(s.b) == 0 {
		h.queue = h.queue[1:]
	}
	h.size -= n
	h.notify()
	return n, w, nil
}

// put queues up to a full buffer of bytes, which arrive at a time but never before earlier ones; it returns 0 and
// what to wait for when the buffer is full. On a cut or unresponsive connection the bytes are dropped but still
// fill the buffer, like unacknowledged bytes, so that the writer blocks in the end.
func (h *half) put(b []byte, at time.Time, cut bool) (int, waitCondition, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := waitCondition{changed: h.changed}
	if h.closed && !h.blackholed {
		return 0, w, io.ErrClosedPipe
	}
	n := min(len(b), streamBuffer-h.size)
	if n == 0 {
		return 0, w, nil
	}
	h.size += n
	if cut || h.blackholed {
		h.blackholed = true
		return n, w, nil
	}
	if l := len(h.queue); l > 0 && at.Before(h.queue[l-1].at) {
		at = h.queue[l-1].at
	}
	h.queue = append(h.queue, segment{b: append([]byte(nil), b[:n]...), at: at})
	h.notify()
	return n, w, nil
}

func tcpAddr(address string) net.Addr {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return a
}

// Unread returns how many of the bytes written to a TCP connection the other end has not read.
func Unread(c net.Conn) int {
	f, ok := c.(*conn)
	if !ok {
		return 0
	}
	f.out.mu.Lock()
	defer f.out.mu.Unlock()
	return f.out.size
}
