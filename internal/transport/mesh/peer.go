package mesh

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/transport/identity"
)

// ringSize bounds the one-way messages of each kind that wait to be sent to a peer.
const ringSize = 1024

// peer holds the connection to one VM and the rings of one-way messages to it.
type peer struct {
	m        *Mesh
	vm       string
	linkLock chan struct{} // guards link; a channel rather than a mutex, so that waiting for it can end with a context
	link     *link
	ringMu   sync.Mutex // guards rings
	rings    [frame.Count]chan []byte
}

// link is a dialled connection and the socket that only it uses.
type link struct {
	conn      *quic.Conn
	transport *quic.Transport
	socket    net.PacketConn
}

func newPeer(m *Mesh, vm string) *peer {
	return &peer{m: m, vm: vm, linkLock: make(chan struct{}, 1)}
}

// connection returns the open connection to the VM, or dials one when there is none. Only one caller dials at a time.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	select {
	case p.linkLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-p.linkLock }()
	if p.link != nil && p.link.conn.Context().Err() == nil {
		return p.link.conn, nil
	}
	p.dropLink()
	if p.m.ctx.Err() != nil {
		return nil, errors.New("the mesh is closed")
	}
	l, err := p.dial(ctx)
	if err != nil {
		return nil, err
	}
	p.link = l
	p.m.spawn(func() { p.m.serve(l.conn) })
	return l.conn, nil
}

// dial connects over a new socket, within handshakeTimeout.
func (p *peer) dial(ctx context.Context) (*link, error) {
	a, ok := p.m.d.Directory.MeshAddress(p.vm)
	if !ok {
		return nil, errors.Errorf("VM %q is not in the settings", p.vm)
	}
	to, err := net.ResolveUDPAddr("udp", a)
	if err != nil {
		return nil, errors.Wrapf(err, "reading address %q", a)
	}
	t, err := identity.ClientConfig(p.m.d.Credentials, p.vm)
	if err != nil {
		return nil, err
	}
	s, err := p.m.d.Network.ListenPacket(p.m.d.Local)
	if err != nil {
		return nil, err
	}
	l := &link{socket: s, transport: &quic.Transport{Conn: s}}
	c, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	defer context.AfterFunc(p.m.ctx, cancel)()
	l.conn, err = l.transport.Dial(c, to, t, quicConfig())
	if err != nil {
		l.close()
		return nil, errors.Wrapf(err, "dialling %s", a)
	}
	return l, nil
}

// send queues a one-way message. While the ring is full, it drops the oldest message.
func (p *peer) send(k frame.Kind, message []byte) {
	r := p.ring(k)
	for {
		select {
		case r <- message:
			return
		default:
		}
		select {
		case <-r:
		default:
		}
	}
}

// ring returns the ring of a kind. The first call for a kind creates it and starts its sender.
func (p *peer) ring(k frame.Kind) chan []byte {
	p.ringMu.Lock()
	defer p.ringMu.Unlock()
	r := p.rings[k]
	if r == nil {
		r = make(chan []byte, ringSize)
		p.rings[k] = r
		p.m.spawn(func() { p.sendLoop(k, r) })
	}
	return r
}

// sendLoop writes the messages of a ring to the peer, over a new stream after the last one failed. The message whose write
// fails, or for which no stream can be opened, is lost.
func (p *peer) sendLoop(k frame.Kind, r chan []byte) {
	var s *quic.SendStream
	for {
		var b []byte
		select {
		case b = <-r:
		case <-p.m.ctx.Done():
			return
		}
		if s == nil {
			s = p.openOneWay(k)
		}
		if s == nil {
			continue
		}
		if frame.Write(s, b) != nil {
			s = nil
		}
	}
}

// openOneWay returns a new one-way stream, or nil after redialDelay when the peer can't be reached.
func (p *peer) openOneWay(k frame.Kind) *quic.SendStream {
	ctx, cancel := context.WithTimeout(p.m.ctx, handshakeTimeout)
	defer cancel()
	c, err := p.connection(ctx)
	if err == nil {
		s, e := c.OpenUniStream()
		if e == nil {
			_, e = s.Write([]byte{byte(k)})
		}
		if e == nil {
			return s
		}
		err = e
	}
	p.m.d.Log.Debug("peer unreachable", "peer", p.vm, "error", err)
	pause.For(p.m.ctx, redialDelay)
	return nil
}

func (p *peer) close() {
	p.linkLock <- struct{}{}
	defer func() { <-p.linkLock }()
	p.dropLink()
}

func (p *peer) dropLink() {
	if p.link != nil {
		p.link.close()
		p.link = nil
	}
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, "closed")
	}
	_ = l.transport.Close()
	_ = l.socket.Close()
}
