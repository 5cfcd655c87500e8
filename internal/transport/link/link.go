package link

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

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

	mu     sync.Mutex
	peers  map[string]*peer // by address
	closed bool
}

// New returns a Link; handlers and receivers must be registered before Serve.
func New(d Deps) *Link {
	return &Link{d: d, handlers: map[Kind]Handler{}, receivers: map[Kind]Receiver{}, peers: map[string]*peer{}}
}

// Handle registers the Handler of requests of a kind.
func (l *Link) Handle(k Kind, h Handler) { l.handlers[k] = h }

// Receive registers the Receiver of one-way frames of a kind; without one they are dropped.
func (l *Link) Receive(k Kind, r Receiver) { l.receivers[k] = r }

// Self returns the address of this VM.
func (l *Link) Self() string { return l.d.Self }

// Send sends a one-way frame. It does not block and reports no error: the frame may be lost. A frame to this VM itself is
// dropped.
func (l *Link) Send(vm string, k Kind, body []byte) {
	if vm == l.d.Self {
		return
	}
	if p := l.peer(vm); p != nil {
		p.enqueue(frame{frameType: oneWay, kind: k, body: body})
	}
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

// acceptRetryDelay is the time until the next attempt after a connection could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts connections from other VMs until ctx ends; then it closes n and all connections. It goes on after an error for
// lack of resources, such as file descriptors.
func (l *Link) Serve(ctx context.Context, n net.Listener) error {
	defer l.close()
	defer context.AfterFunc(ctx, func() { _ = n.Close() })()
	for {
		c, err := n.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accepting a VM's connection")
		}
		if err != nil {
			l.d.Log.Warn("accepting a VM's connection failed; retrying", "error", err)
			pause.For(ctx, acceptRetryDelay)
			continue
		}
		go l.serveConnection(ctx, c)
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
		p = newPeer(vm, l.d)
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

// serveConnection processes the frames of one accepted connection until it ends.
func (l *Link) serveConnection(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	s := newStream(c)
	defer cancel()
	defer s.close()
	defer context.AfterFunc(ctx, s.close)()
	go s.write()
	from := ""
	for {
		if err := c.SetReadDeadline(time.Now().Add(acceptedIdleTimeout)); err != nil {
			return
		}
		f, err := readFrame(s.r)
		if err != nil {
			return
		}
		switch f.frameType {
		case greeting:
			from = string(f.body)
		case probe:
			s.enqueue(frame{frameType: echo, number: f.number})
		case oneWay:
			if h := l.receivers[f.kind]; h != nil {
				h(from, f.body)
			}
		case request:
			go l.handleRequest(ctx, s, from, f)
		}
	}
}

// handleRequest runs a request's Handler and queues the response.
func (l *Link) handleRequest(ctx context.Context, s *stream, from string, f frame) {
	h := l.handlers[f.kind]
	if h == nil {
		s.enqueue(frame{frameType: failure, number: f.number, body: []byte("the VM does not serve this")})
		return
	}
	b, err := h(ctx, from, f.body)
	if err != nil {
		s.enqueue(frame{frameType: failure, number: f.number, body: []byte(err.Error())})
		return
	}
	s.enqueue(frame{frameType: response, number: f.number, body: b})
}
