package fakenet

import (
	"net"
	"os"
	"sync"
	"time"
)

// socketBuffer is the max number of datagrams that wait at a socket; further ones are dropped.
const socketBuffer = 4096

type datagram struct {
	from string
	b    []byte
}

// packetConn is one UDP socket.
type packetConn struct {
	n               *Net
	address         string
	in              chan datagram
	closed          chan struct{}
	once            sync.Once
	flows           map[string]bool // addresses sent to; guarded by the network's lock
	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{} // closed and replaced when the deadline changes
}

var _ net.PacketConn = (*packetConn)(nil)

func newPacketConn(n *Net, address string) *packetConn {
	return &packetConn{
		n:               n,
		address:         address,
		in:              make(chan datagram, socketBuffer),
		closed:          make(chan struct{}),
		flows:           map[string]bool{},
		deadlineChanged: make(chan struct{}),
	}
}

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		p.mu.Lock()
		d, m := p.deadline, p.deadlineChanged
		p.mu.Unlock()
		t, stop := timerFor(d)
		select {
		case g := <-p.in:
			stop()
			return copy(b, g.b), addrOf(g.from), nil
		case <-p.closed:
			stop()
			return 0, nil, net.ErrClosed
		case <-t:
			return 0, nil, os.ErrDeadlineExceeded
		case <-m:
			stop()
		}
	}
}

func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-p.closed:
		return 0, net.ErrClosed
	default:
	}
	p.n.transmit(p, to.String(), append([]byte(nil), b...))
	return len(b), nil
}

func (p *packetConn) Close() error {
	p.n.mu.Lock()
	if p.n.packets[p.address] == p { // after Kill, another process may have the address
		delete(p.n.packets, p.address)
	}
	p.n.mu.Unlock()
	p.kill()
	return nil
}

func (p *packetConn) LocalAddr() net.Addr { return addrOf(p.address) }

func (p *packetConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

func (p *packetConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	close(p.deadlineChanged)
	p.deadlineChanged = make(chan struct{})
	return nil
}

func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing; quic-go logs a warning for sockets that lack it.
func (p *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing; quic-go logs a warning for sockets that lack it.
func (p *packetConn) SetWriteBuffer(int) error { return nil }

func (p *packetConn) kill() {
	p.once.Do(func() { close(p.closed) })
}

// transmit sends a datagram over the link between the two hosts, which may drop, duplicate or reorder it.
func (n *Net) transmit(p *packetConn, to string, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Packets++
	n.Bytes += len(b)
	p.flows[to] = true
	l := n.link(hostOf(p.address), hostOf(to))
	if l.Cut || n.blackholed[[2]string{p.address, to}] || n.rand.Float64() < l.Loss {
		return
	}
	n.deliver(p.address, to, b, n.delay(l))
	if n.rand.Float64() < l.Duplicate {
		n.deliver(p.address, to, b, n.delay(l))
	}
}

func (n *Net) deliver(from, to string, b []byte, after time.Duration) {
	time.AfterFunc(after, func() {
		n.mu.Lock()
		q := n.packets[to]
		n.mu.Unlock()
		if q == nil {
			return
		}
		select {
		case q.in <- datagram{from: from, b: b}:
		default:
		}
	})
}

func addrOf(address string) net.Addr {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return &net.UDPAddr{}
	}
	return a
}

// timerFor returns a channel that fires at a deadline, never for the zero time, and a function that stops the timer.
func timerFor(d time.Time) (<-chan time.Time, func()) {
	if d.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(d))
	return t.C, func() { t.Stop() }
}
