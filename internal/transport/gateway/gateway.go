package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"snipetack/internal/coordination/queue"
	"snipetack/internal/coordination/routing"
	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpserver"
	"snipetack/internal/transport/upstream"
)

// MaxHeader bounds all headers of a request, in bytes.
const MaxHeader = httpserver.MaxHeader

// CopyProvider yields the VM's copy of the configuration; see feed.Copy.
type CopyProvider interface {
	Current() *catalog.Configuration
	Fresh() bool
	Age() time.Duration
	Changed() <-chan struct{}
}

// LimiterProvider admits requests within the account's rate and burst; it returns a Failure for the others.
type LimiterProvider interface {
	Admit(ctx context.Context, a catalog.Account) error
}

// QueueProvider lets requests wait in fair order for a free slot at the upstreams. After a successful Enter, leave must
// be called when the request has ended.
type QueueProvider interface {
	Enter(ctx context.Context, s catalog.Service, a catalog.Account, r queue.Request) (leave func(), err error)
}

// RouterProvider chooses an upstream for an attempt; Retry reports whether the retry budget of a service allows
// another.
type RouterProvider interface {
	Choose(c *catalog.Configuration, q routing.Request) (routing.Choice, error)
	Retry(service string) bool
}

// UpstreamProvider makes one attempt at an upstream; its Failure says whether a byte may have reached the upstream.
type UpstreamProvider interface {
	Do(ctx context.Context, c upstream.Call) (*http.Response, error)
}

// ProposeProvider commits a command to a replicated group and returns its result.
type ProposeProvider interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
}

// Deps are the collaborators of a Gateway.
type Deps struct {
	Copy    CopyProvider
	Limiter LimiterProvider
	Queue   QueueProvider
	Router  RouterProvider
	Caller  UpstreamProvider
	Groups  ProposeProvider
	Log     *slog.Logger
}

// Gateway serves callers' requests.
type Gateway struct {
	d          Deps
	mux        *http.ServeMux
	draining   atomic.Bool
	bodies     *httpserver.Bodies
	mu         sync.Mutex                  // guards admitted and active
	admitted   map[*admission]struct{}     // requests with a key in flight
	active     map[*http.Request]*Activity // all requests in flight
	keyPattern *regexp.Regexp
}

// New returns a Gateway.
func New(d Deps) *Gateway {
	g := &Gateway{
		d:          d,
		mux:        http.NewServeMux(),
		bodies:     httpserver.NewBodies(MaxBody, maxBodyMemory),
		admitted:   map[*admission]struct{}{},
		active:     map[*http.Request]*Activity{},
		keyPattern: newKeyPattern(),
	}
	g.mux.HandleFunc("GET /livez", g.live)
	g.mux.HandleFunc("GET /readyz", g.ready)
	g.mux.HandleFunc("GET /v1/models", g.models)
	g.mux.HandleFunc("POST /v1/chat/completions", g.completions)
	g.mux.HandleFunc("POST /v1/completions", g.completions)
	g.mux.HandleFunc("/services/{service}/{path...}", g.plain)
	g.mux.HandleFunc("/", g.unknown)
	return g
}

// Mount adds a handler for a pattern, for example of the batch interface.
func (g *Gateway) Mount(pattern string, h http.Handler) {
	g.mux.Handle(pattern, h)
}

// Handler returns the callers' HTTP interface.
func (g *Gateway) Handler() http.Handler {
	h := httpserver.Bound(g.mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer g.track(r)()
		// A chunked request closes its connection: a proxy in front may have found another end of the body, and what is
		// left over must not be read as the next request (request smuggling).
		if g.draining.Load() || len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Server returns an HTTP server with the bounds of package httpserver; its listener comes from Listener.
func (g *Gateway) Server() *http.Server {
	s := httpserver.New(nil, g.d.Log)
	s.Handler = g.Handler()
	return s
}

// Drain makes the VM unready, so that the platform's load balancer sends no new requests. Each connection that is still
// open is closed after its next request.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool {
	return g.draining.Load()
}

func (g *Gateway) live(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, map[string]bool{"live": true})
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.draining.Load():
		reply.Failure(w, result.New(result.Draining, "the VM is stopping"))
	case !g.d.Copy.Fresh():
		reply.Failure(w, result.New(result.NotReady, "the configuration copy is not fresh"))
	default:
		reply.JSON(w, http.StatusOK, map[string]bool{"ready": true})
	}
}

func (g *Gateway) unknown(w http.ResponseWriter, _ *http.Request) {
	reply.Failure(w, result.New(result.UnknownRoute, "no route has this path"))
}

func newRequestID() string {
	return "req-" + uuid.NewString()
}
