package link

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/transport/network"
)

// Handler serves a request from the VM with an address and returns the response body. It may block; the message of an error
// is sent to the caller.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Receiver processes a one-way frame from the VM with an address; it must not block, since it delays the connection's other
// frames.
type Receiver func(from string, body []byte)

// Deps are the collaborators of a Link.
type Deps struct {
	Self    string // address under which other VMs reach this one
	Network network.Network
	Log     *slog.Logger
}

// Link exchanges frames with other VMs, which it identifies by their addresses; it is safe for concurrent use once its handlers
// and receivers are registered.
type Link struct {
	d         Deps
	handlers  map[Kind]Handler
	receivers map[Kind]Receiver
	memory    *semaphore.Weighted // of the bodies of frames from other VMs

	mu     sync.Mutex
	peers  map[string]*peer // by address
	closed bool

	connections atomic.Uint64 // dialled so far
}

// New returns a Link; handlers and receivers must be registered before Serve.
func New(d Deps) *Link {
	return &Link{d: d, handlers: map[Kind]Handler{}, receivers: map[Kind]Receiver{}, memory: semaphore.NewWeighted(maxBodyMemory),
		peers: map[string]*peer{}}
}

// Handle registers the Handler of requests of a kind.
func (l *Link) Handle(k Kind, h Handler) { l.handlers[k] = h }

// Receive registers the Receiver of one-way frames of a kind; without one they are dropped.
func (l *Link) Receive(k Kind, r Receiver) { l.receivers[k] = r }

// Self returns the address of this VM.
func (l *Link) Self() string { return l.d.Self }

// Send sends a one-way frame. It does not block and reports no error: the frame may be lost. A frame to this VM itself is
// dropped. It returns the number of the connection that has the frame, or 0 if it was dropped or there is no connection yet. As long as
// Connection returns the same number, the frame has arrived or is on its way.
func (l *Link) Send(vm string, k Kind, body []byte) (connection uint64) {
	if vm == l.d.Self {
		return 0
	}
	p := l.peer(vm)
	if p == nil {
		return 0
	}
	return p.send(frame{frameType: oneWay, kind: k, body: body})
}

// Connection returns the number of the current connection to a VM, which no other connection of this Link has, or 0 while there is none.
func (l *Link) Connection(vm string) uint64 {
	l.mu.Lock()
	p := l.peers[vm]
	l.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.connection()
}

// Call sends a request and returns the response. An error of the other VM's handler is a Refused; after any other error the
// request may have been handled. Without an earlier deadline in ctx the call fails after callTimeout. A call to this VM itself
// runs the handler directly.
func (l *Link) Call(ctx context.Context, vm string, k Kind, body []byte) ([]byte, error) {
	if vm == l.d.Self {
		b, err := l.handlers[k](ctx, vm, body)
		if err != nil {
			return nil, Refused{Reason: err.Error()}
		}
		return b, nil
	}
	p := l.peer(vm)
	if p == nil {
		return nil, errors.New("the link is closed")
	}
	return p.call(ctx, k, body)
}

// maxConnections limits the accepted connections: each VM of the largest fleets has one, and those that it lost stay until
// acceptedIdleTimeout.
const maxConnections = 2048

// acceptRetryDelay is the pause after a connection could not be accepted, for example because there is no free descriptor.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections from other VMs until ctx ends; then it closes n and all connections. Above maxConnections it closes
// new ones immediately.
func (l *Link) Serve(ctx context.Context, n net.Listener) error {
	defer l.close()
	defer context.AfterFunc(ctx, func() { _ = n.Close() })()
	open := make(chan struct{}, maxConnections)
	for {
		c, err := n.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accepting a VM's connection")
		}
		if err != nil {
			l.d.Log.Warn("connection of a VM not accepted", "error", err)
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		select {
		case open <- struct{}{}:
		default:
			_ = c.Close()
			continue
		}
		go func() {
			defer func() { <-open }()
			l.serveConnection(ctx, c)
		}()
	}
}

// Refused is an error that the called VM responded with.
type Refused struct {
	Reason string
}

// Error returns the handler's message.
func (r Refused) Error() string { return r.Reason }

// peer returns the peer at an address, or nil when the link is closed.
func (l *Link) peer(vm string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	p := l.peers[vm]
	if p == nil {
		p = newPeer(vm, l.d, l.memory, &l.connections)
		l.peers[vm] = p
	}
	return p
}

func (l *Link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, p := range l.peers {
		p.close()
	}
}

// Forget closes the connection to a VM that has left the fleet. A later frame to that address opens a new one.
func (l *Link) Forget(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[vm]; p != nil {
		p.close()
		delete(l.peers, vm)
	}
}

// acceptedIdleTimeout is how long an accepted connection may be idle before it is closed. The VM that dialled probes an idle
// connection every idleProbeInterval, so that a longer silence means that it has closed or lost the connection.
const acceptedIdleTimeout = 3 * idleProbeInterval

// maxRequests limits the requests of a connection that are in progress; more are refused.
const maxRequests = 2048

// serveConnection processes the frames of one accepted connection until it ends.
func (l *Link) serveConnection(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	s := newStream(c, l.memory)
	inProgress := make(chan struct{}, maxRequests)
	defer cancel()
	defer s.close()
	defer context.AfterFunc(ctx, s.close)()
	go s.write()
	from := ""
	for {
		if err := c.SetReadDeadline(time.Now().Add(acceptedIdleTimeout)); err != nil {
			return
		}
		f, err := s.r.next()
		if err != nil {
			return
		}
		switch f.frameType {
		case greeting:
			from, err = readAddress(s.r)
		case probe:
			s.enqueue(frame{frameType: echo, number: f.number})
			err = s.r.skip()
		case oneWay:
			err = l.receive(s, from, f)
		case request:
			err = l.serveRequest(ctx, s, from, f, inProgress)
		default:
			err = s.r.skip()
		}
		if err != nil {
			return
		}
	}
}

// readAddress reads the body of a greeting.
func readAddress(r *frameReader) (string, error) {
	if r.left > maxAddress {
		return "", errors.Errorf("address of %d bytes is too long", r.left)
	}
	b, release, err := r.body(maxAddress)
	if err != nil {
		return "", err
	}
	release()
	return string(b), nil
}

// receive passes a one-way frame to its Receiver. It returns an error only if the connection failed.
func (l *Link) receive(s *stream, from string, f frame) error {
	h := l.receivers[f.kind]
	if h == nil {
		return s.r.skip()
	}
	b, release, err := s.r.body(freeBytes)
	if errors.Is(err, errNoMemory) {
		return nil
	}
	if err != nil {
		return err
	}
	defer release()
	h(from, b)
	return nil
}

// serveRequest starts the Handler of a request, which queues the response. It holds a place in inProgress until then. It returns
// an error only if the connection failed.
func (l *Link) serveRequest(ctx context.Context, s *stream, from string, f frame, inProgress chan struct{}) error {
	refuse := func(reason string) {
		s.enqueue(frame{frameType: failure, number: f.number, body: []byte(reason)})
	}
	h := l.handlers[f.kind]
	if h == nil {
		refuse("the VM does not serve this")
		return s.r.skip()
	}
	select {
	case inProgress <- struct{}{}:
	default:
		refuse("too many requests in progress")
		return s.r.skip()
	}
	leave := func() { <-inProgress }
	b, release, err := s.r.body(0)
	if errors.Is(err, errNoMemory) {
		leave()
		refuse(err.Error())
		return nil
	}
	if err != nil {
		return err
	}
	go func() {
		defer leave()
		defer release()
		a, err := h(ctx, from, b)
		if err != nil {
			refuse(err.Error())
			return
		}
		s.enqueue(frame{frameType: response, number: f.number, body: a})
	}()
	return nil
}
