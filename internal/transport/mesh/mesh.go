package mesh

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"snipetack/internal/protocol/frame"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/network"
)

// Timing of connections.
const (
	idleTimeout      = 3 * time.Second        // a connection on which nothing arrives for so long is closed
	keepAlive        = 750 * time.Millisecond // between pings on an unused connection, so that it stays open
	handshakeTimeout = 2 * time.Second
	messageTimeout   = 30 * time.Second       // for a peer to send a whole message once it began
	redialDelay      = 200 * time.Millisecond // pause of a sender of one-way messages when its peer is unreachable
)

// maxStreams bounds the streams of each type, two-way and one-way, that a peer may have open on a connection.
const maxStreams = 4096

// DirectoryProvider maps VMs to their mesh addresses.
type DirectoryProvider interface {
	// MeshAddress returns ip:port, or false for an unknown VM.
	MeshAddress(vm string) (string, bool)
}

// Handler serves a call from a peer and returns the response. An error reaches the caller as a *result.Failure: one
// in its chain unchanged, any other as an internal failure. Handlers of several calls run concurrently.
type Handler func(ctx context.Context, from string, request []byte) ([]byte, error)

// Receiver takes a one-way message. It must not block, since the later messages of the same stream wait for it.
type Receiver func(from string, message []byte)

// StreamHandler serves a stream, which is aborted when the handler returns. Its error is only logged.
type StreamHandler func(ctx context.Context, from string, s *Stream) error

// Deps are the dependencies of a Mesh.
type Deps struct {
	VM          string
	Listen      string // ip:port of the VM's own socket
	Local       string // ip:0 for outgoing connections
	Network     network.Network
	Credentials identity.Provider
	Directory   DirectoryProvider
	Log         *slog.Logger
}

// Mesh is one VM's endpoint in the fleet's network. Handlers are set before Run. Call, Open and Send are safe for
// concurrent use.
type Mesh struct {
	d         Deps
	handlers  [frame.Count]Handler
	receivers [frame.Count]Receiver
	streams   [frame.Count]StreamHandler
	mu        sync.Mutex
	peers     map[string]*peer
	ctx       context.Context
	stop      context.CancelFunc
	spawnMu   sync.Mutex     // held while ctx is ended or wait is added to, so that Run does not wait meanwhile
	wait      sync.WaitGroup // for the goroutines of spawn
}

// New returns a Mesh that accepts no connections until Run.
func New(d Deps) *Mesh {
	c, f := context.WithCancel(context.Background())
	return &Mesh{d: d, peers: map[string]*peer{}, ctx: c, stop: f}
}

// Handle sets the handler of a kind of call.
func (m *Mesh) Handle(k frame.Kind, h Handler) { m.handlers[k] = h }

// Receive sets the receiver of a kind of one-way message.
func (m *Mesh) Receive(k frame.Kind, r Receiver) { m.receivers[k] = r }

// HandleStream sets the handler of a kind of stream.
func (m *Mesh) HandleStream(k frame.Kind, h StreamHandler) { m.streams[k] = h }

// Run accepts connections until ctx ends, and then closes all connections.
func (m *Mesh) Run(ctx context.Context) error {
	p, err := m.d.Network.ListenPacket(m.d.Listen)
	if err != nil {
		return err
	}
	t := &quic.Transport{Conn: p}
	l, err := t.Listen(identity.ServerConfig(m.d.Credentials), quicConfig())
	if err != nil {
		_ = p.Close()
		return errors.Wrapf(err, "listening for VMs on %s", m.d.Listen)
	}
	defer m.shutdown(t, l, p)
	for {
		c, err := l.Accept(ctx)
		if err != nil {
			return errors.Wrap(ctx.Err(), "accepting connections")
		}
		m.spawn(func() { m.serve(c) })
	}
}

// Call sends a request to a VM and returns its response. It returns early when ctx ends, which should have a deadline. A
// failure that the handler returned is the error, a *result.Failure.
func (m *Mesh) Call(ctx context.Context, vm string, k frame.Kind, request []byte) ([]byte, error) {
	s, err := m.Open(ctx, vm, k)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Send(request); err != nil {
		return nil, errors.Wrapf(err, "sending a request to VM %q", vm)
	}
	b, err := s.Receive()
	if err != nil {
		return nil, errors.Wrapf(err, "waiting for VM %q", vm)
	}
	return decodeReply(b)
}

// Open opens a stream of a kind to a VM, and connects to the VM first when there is no connection. The caller closes or
// aborts the stream.
func (m *Mesh) Open(ctx context.Context, vm string, k frame.Kind) (*Stream, error) {
	p, err := m.peer(vm)
	if err != nil {
		return nil, err
	}
	c, err := p.connection(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to VM %q", vm)
	}
	q, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "opening a stream to VM %q", vm)
	}
	s := newStream(q)
	if _, err := q.Write([]byte{byte(k)}); err != nil {
		return nil, errors.Wrapf(err, "opening a stream to VM %q", vm)
	}
	return s, nil
}

// Send queues a one-way message to a VM and never blocks. A full ring drops the oldest message of the same kind. Messages
// are also lost, without an error, when the VM is unknown or can't be reached.
func (m *Mesh) Send(vm string, k frame.Kind, message []byte) {
	p, err := m.peer(vm)
	if err != nil {
		return
	}
	p.send(k, message)
}

// peer returns the peer of a VM and creates it on first use.
func (m *Mesh) peer(vm string) (*peer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[vm]; ok {
		return p, nil
	}
	if m.ctx.Err() != nil {
		return nil, errors.New("the mesh is closed")
	}
	if _, ok := m.d.Directory.MeshAddress(vm); !ok {
		return nil, errors.Errorf("VM %q is not in the settings", vm)
	}
	p := newPeer(m, vm)
	m.peers[vm] = p
	return p, nil
}

// allPeers returns the peers that were created so far.
func (m *Mesh) allPeers() []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.peers))
}

// spawn runs f in a goroutine, which Run waits for before it returns. It does nothing once the mesh is closed.
func (m *Mesh) spawn(f func()) {
	m.spawnMu.Lock()
	defer m.spawnMu.Unlock()
	if m.ctx.Err() == nil {
		m.wait.Go(f)
	}
}

// close ends the context of the mesh; afterwards spawn does nothing.
func (m *Mesh) close() {
	m.spawnMu.Lock()
	defer m.spawnMu.Unlock()
	m.stop()
}

// serve handles the streams that a peer opens on a connection, which either side may have dialled, until it is closed.
func (m *Mesh) serve(c *quic.Conn) {
	from, err := identity.PeerVM(c.ConnectionState().TLS)
	if err != nil {
		_ = c.CloseWithError(0, "no certificate")
		return
	}
	m.spawn(func() { m.serveOneWay(c, from) })
	for {
		q, err := c.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.spawn(func() { m.serveStream(c.Context(), from, q) })
	}
}

func (m *Mesh) serveOneWay(c *quic.Conn, from string) {
	for {
		q, err := c.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		m.spawn(func() { m.receive(q, from) })
	}
}

// receive passes the messages of a one-way stream to the receiver of its kind. Those of an unknown kind are discarded, since
// unread ones would use up the window of the connection.
func (m *Mesh) receive(q *quic.ReceiveStream, from string) {
	_ = q.SetReadDeadline(time.Now().Add(messageTimeout))
	r := bufio.NewReader(q)
	k, err := r.ReadByte()
	if err != nil {
		q.CancelRead(codeAborted)
		return
	}
	if int(k) >= frame.Count || m.receivers[k] == nil {
		_ = q.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, r)
		return
	}
	for {
		_ = q.SetReadDeadline(time.Time{}) // the stream may be idle between two messages
		if _, err := r.Peek(1); err != nil {
			return
		}
		_ = q.SetReadDeadline(time.Now().Add(messageTimeout))
		b, err := frame.Read(r)
		if err != nil {
			q.CancelRead(codeAborted)
			return
		}
		m.receivers[k](from, b)
	}
}

func (m *Mesh) serveStream(ctx context.Context, from string, q *quic.Stream) {
	s := newStream(q)
	defer s.Close()
	s.SetReceiveTimeout(messageTimeout)
	k, err := s.r.ReadByte()
	if err != nil || int(k) >= frame.Count {
		s.Abort()
		return
	}
	if h := m.streams[k]; h != nil {
		_ = q.SetReadDeadline(time.Time{})
		if err := h(ctx, from, s); err != nil {
			m.d.Log.Debug("stream ended", "peer", from, "kind", int(k), "error", err)
		}
		s.Abort()
		return
	}
	if h := m.handlers[k]; h != nil {
		m.serveCall(ctx, from, s, h)
	}
}

func (m *Mesh) serveCall(ctx context.Context, from string, s *Stream, h Handler) {
	b, err := s.Receive()
	if err != nil {
		return
	}
	response, err := h(ctx, from, b)
	if err := s.Send(encodeReply(response, err)); err != nil {
		m.d.Log.Debug("response not sent", "peer", from, "error", err)
	}
}

// shutdown closes all connections and the listening socket, and waits for the goroutines of spawn.
func (m *Mesh) shutdown(t *quic.Transport, l *quic.Listener, p net.PacketConn) {
	m.close()
	for _, p := range m.allPeers() {
		p.close()
	}
	_ = l.Close()
	_ = t.Close()
	_ = p.Close()
	m.wait.Wait()
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
		MaxIncomingStreams:      maxStreams,
		MaxIncomingUniStreams:   maxStreams,
		DisablePathMTUDiscovery: true,
	}
}
