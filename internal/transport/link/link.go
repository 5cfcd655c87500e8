package link

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/transport/network"
)

// Handler answers a request of another VM.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Receiver takes a one-way frame of another VM; it must not block.
type Receiver func(from string, body []byte)

// Deps are the collaborators of a Link.
type Deps struct {
	Self    string // address under which other VMs reach this one
	Network network.Network
	Log     *slog.Logger
}

// Link exchanges frames with other VMs, which are named by their addresses.
type Link struct {
	d         Deps
	handlers  map[Kind]Handler
	receivers map[Kind]Receiver

	mu    sync.Mutex
	peers map[string]*peer
	done  bool
}

// New returns a Link; handlers are registered before Serve.
func New(d Deps) *Link {
	return &Link{d: d, handlers: map[Kind]Handler{}, receivers: map[Kind]Receiver{}, peers: map[string]*peer{}}
}

// Handle registers who answers requests of a kind.
func (l *Link) Handle(k Kind, h Handler) { l.handlers[k] = h }

// Receive registers who takes one-way frames of a kind.
func (l *Link) Receive(k Kind, r Receiver) { l.receivers[k] = r }

// Self returns the address of this VM.
func (l *Link) Self() string { return l.d.Self }

// Send sends a one-way frame; it does not block, and the frame may be lost.
func (l *Link) Send(vm string, k Kind, body []byte) {
	if vm == l.d.Self {
		return
	}
	if p := l.peer(vm); p != nil {
		p.offer(frame{shape: oneWay, kind: k, body: body})
	}
}

// Call sends a request and returns the answer; a failure of the other VM's handler is a Refused.
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

// Serve accepts connections of other VMs until ctx ends.
func (l *Link) Serve(ctx context.Context, n net.Listener) error {
	defer l.close()
	defer context.AfterFunc(ctx, func() { _ = n.Close() })()
	for {
		c, err := n.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accepting a VM's connection")
		}
		go l.accepted(ctx, c)
	}
}

// Refused is the failure of a handler at another VM.
type Refused struct {
	Reason string
}

// Error returns the handler's message.
func (r Refused) Error() string { return r.Reason }

func (l *Link) peer(vm string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
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
	l.done = true
	for _, p := range l.peers {
		p.close()
	}
}

// Forget closes the connection to a VM that has left the fleet.
func (l *Link) Forget(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[vm]; p != nil {
		p.close()
		delete(l.peers, vm)
	}
}

// acceptedIdle closes a connection that its owner has stopped probing, far later than the owner's idle probe.
const acceptedIdle = 3 * idleProbe

// accepted serves the frames of one connection of another VM.
func (l *Link) accepted(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	s := newStream(c)
	defer cancel()
	defer s.end()
	defer context.AfterFunc(ctx, s.end)()
	go s.write()
	from := ""
	for {
		if err := c.SetReadDeadline(time.Now().Add(acceptedIdle)); err != nil {
			return
		}
		f, err := readFrame(s.r)
		if err != nil {
			return
		}
		switch f.shape {
		case greeting:
			from = string(f.body)
		case probe:
			s.offer(frame{shape: echo, number: f.number})
		case oneWay:
			if h := l.receivers[f.kind]; h != nil {
				h(from, f.body)
			}
		case request:
			go l.answer(ctx, s, from, f)
		}
	}
}

func (l *Link) answer(ctx context.Context, s *stream, from string, f frame) {
	h := l.handlers[f.kind]
	if h == nil {
		s.offer(frame{shape: failure, number: f.number, body: []byte("the VM does not serve this")})
		return
	}
	b, err := h(ctx, from, f.body)
	if err != nil {
		s.offer(frame{shape: failure, number: f.number, body: []byte(err.Error())})
		return
	}
	s.offer(frame{shape: answer, number: f.number, body: b})
}
