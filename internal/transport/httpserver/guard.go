package httpserver

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipetack/internal/coordination/budget"
	"snipetack/internal/state/result"
)

// Bounds of a request's head beside its bytes.
const (
	maxFields    = 256                     // more than any client library sends; each field takes much more memory than its bytes
	fieldBytes   = 200                     // what a field takes in memory, beside its bytes
	maxPipelined = 16                      // complete heads that arrive at once
	headerMargin = time.Second             // beyond the time for a head, for pauses of this process
	roomTimeout  = 2500 * time.Millisecond // for which a body waits for room
	maxDiscarded = 256 << 10               // bytes of a body that its handler did not read
	logInterval  = time.Second             // between log lines on closed connections of one reason
)

// Headers bound the heads of requests and the time between requests; a zero field sets no bound beside the server's own.
type Headers struct {
	Bytes int           // of the fields
	Time  time.Duration // for a whole head
	Idle  time.Duration // between two requests of a connection
}

// CutProvider counts connections that were closed.
type CutProvider interface {
	// Cut counts a connection of a listener that was closed for a reason.
	Cut(listener, reason string)
}

// Guard holds the connections of a process's servers within its budget.
type Guard struct {
	budget  *budget.Budget
	cuts    CutProvider
	log     *slog.Logger
	headers atomic.Pointer[Headers]

	mu     sync.Mutex
	logged map[string]*cutLog // by reason
}

// cutLog counts closed connections since the last log line.
type cutLog struct {
	at    time.Time
	count int
}

// NewGuard returns a Guard with a budget; cuts may be nil.
func NewGuard(b *budget.Budget, cuts CutProvider, log *slog.Logger) *Guard {
	g := &Guard{budget: b, cuts: cuts, log: log, logged: map[string]*cutLog{}}
	g.headers.Store(&Headers{})
	return g
}

// SetHeaders sets the bounds of heads for all connections from now on.
func (g *Guard) SetHeaders(h Headers) { g.headers.Store(&h) }

// Attach makes a server use the guard for connections that come from Listen, which its listener may wrap if the wrappers have a
// method NetConn. It wraps the server's Handler.
func (g *Guard) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		for {
			switch x := n.(type) {
			case *conn:
				return context.WithValue(ctx, connKey{}, x)
			case interface{ NetConn() net.Conn }:
				n = x.NetConn()
			default:
				return ctx
			}
		}
	}
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.share.Enter(time.Now(), budget.Run)
		defer c.finish()
		if r.ContentLength == 0 {
			h.ServeHTTP(w, r)
			return
		}
		b := &guardedBody{ReadCloser: r.Body, c: c}
		r.Body = b
		h.ServeHTTP(w, r)
		b.discard(w, r)
	})
}

// Listen returns a listener whose connections are counted in the budget; part is the part of the descriptors that they may take.
func (g *Guard) Listen(l net.Listener, name string, part float64) net.Listener {
	return &guarded{Listener: l, g: g, share: g.budget.Listener(name, part)}
}

// guardedBody tells the budget when the client is waited for.
type guardedBody struct {
	io.ReadCloser
	c     *conn
	ended bool
}

// Read reads the body.
func (b *guardedBody) Read(p []byte) (int, error) {
	b.c.share.Enter(time.Now(), budget.Body)
	n, err := b.ReadCloser.Read(p)
	b.c.share.EndRead(time.Now(), n)
	b.ended = b.ended || err != nil
	return n, err
}

// discard reads what a handler left unread of a body, as net/http would after the end of the request, when its bytes could not be
// told from the next head. The connection is closed after a longer rest.
func (b *guardedBody) discard(w http.ResponseWriter, r *http.Request) {
	if b.ended || r.Header.Get("Expect") != "" || w.Header().Get("Connection") == "close" {
		return
	}
	if n, err := io.CopyN(io.Discard, b, maxDiscarded); n == maxDiscarded && err == nil {
		w.Header().Set("Connection", "close")
	}
}

// cut counts a closed connection and logs it unless another was logged for the same reason just before.
func (g *Guard) cut(listener, reason string, client net.Addr) {
	if g.cuts != nil {
		g.cuts.Cut(listener, reason)
	}
	now := time.Now()
	g.mu.Lock()
	k := listener + reason
	l := g.logged[k]
	if l == nil {
		l = &cutLog{}
		g.logged[k] = l
	}
	l.count++
	n := l.count
	due := now.Sub(l.at) >= logInterval
	if due {
		l.at, l.count = now, 0
	}
	g.mu.Unlock()
	if due {
		g.log.Warn("client cut off", "listener", listener, "reason", reason, "client", prefixOf(client), "connections", n,
			"held", g.budget.Held(), "open", g.budget.Open())
	}
}

// prefixOf returns the network of a client: 24 bits of an IPv4 address and 48 of an IPv6 one.
func prefixOf(a net.Addr) string {
	p, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return ""
	}
	bits := 24
	if p.Addr().Is6() {
		bits = 48
	}
	n, err := p.Addr().Prefix(bits)
	if err != nil {
		return ""
	}
	return n.String()
}

// guarded is a listener of guarded connections.
type guarded struct {
	net.Listener
	g     *Guard
	share *budget.Listener
}

// Accept returns the next connection for which there is room.
func (l *guarded) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, g: l.g, listener: l.share.Name()}
		c.share = l.share.Open(time.Now(), c.cut)
		if c.share != nil {
			return c, nil
		}
		l.g.cut(l.share.Name(), "no room", n.RemoteAddr())
		_ = n.Close()
	}
}

type connKey struct{}

// connOf returns the guarded connection of a request, or nil.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Reserve reserves memory that a request takes beside its body until its end, such as a decoded document. It returns a failure when there is none in time.
func Reserve(ctx context.Context, n int64) *result.Failure {
	c := connOf(ctx)
	if c == nil || c.take(ctx, n) {
		return nil
	}
	return noRoom()
}

func noRoom() *result.Failure {
	return result.New(result.QueueFull, "the VM holds too many requests").After(retryBody)
}
