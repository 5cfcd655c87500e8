package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/network"
)

// Limits of connections to upstreams.
const (
	maxIdlePerUpstream = 64
	idleConnTimeout    = 30 * time.Second
	connectTimeout     = 2 * time.Second
	maxResponseHeader  = 64 << 10 // bytes
)

// errNoProgress is the cause of an attempt's cancellation when the upstream sends nothing within the progress timeout.
var errNoProgress = errors.New("no progress")

// Call is one attempt at an upstream.
type Call struct {
	Upstream        catalog.Upstream
	Method          string
	Path            string // escaped, with query
	Header          http.Header
	Body            []byte
	ProgressTimeout time.Duration // longest wait for bytes before and within the response; zero means unlimited
	NewConnection   bool          // uses a new connection, which is closed afterwards
}

// Client makes single attempts; it never retries and follows no redirect. It is safe for concurrent use.
type Client struct {
	network    network.Network
	mu         sync.Mutex
	transports map[string]*http.Transport // by address
}

// New returns a Client that dials over n.
func New(n network.Network) *Client {
	return &Client{network: n, transports: map[string]*http.Transport{}}
}

// Do makes one attempt and returns when the response's header has arrived. The caller closes the response's body, whose
// reads end with io.EOF only if it is complete, and otherwise with a Failure.
//
// Ran of its Failure is NotRun if no byte can have reached the upstream, and otherwise Unknown.
func (c *Client) Do(ctx context.Context, l Call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := newAttempt(cancel, l.ProgressTimeout)
	r, err := c.exchange(httptrace.WithClientTrace(ctx, a.trace()), l)
	a.pauseTimer()
	if err == nil {
		onTimeout := func() { c.closeIdle(l.Upstream.Address) }
		r.Body = &responseBody{ReadCloser: r.Body, response: r, attempt: a, ctx: ctx, upstream: l.Upstream.Name, onTimeout: onTimeout}
		return r, nil
	}
	f := result.Of(err)
	if f.Code == result.Internal {
		f = c.failure(ctx, err, l)
	}
	ran := result.NotRun
	if a.abandon() {
		ran = result.Unknown
	}
	cancel(nil)
	return nil, f.WithRan(ran)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}

func (c *Client) exchange(ctx context.Context, l Call) (*http.Response, error) {
	b := requestBody{bytes.NewReader(l.Body)}
	q, err := http.NewRequestWithContext(ctx, l.Method, "http://"+l.Upstream.Address+l.Path, b)
	if err != nil {
		return nil, result.New(result.MalformedRequest, "%s: the path can't be read", l.Method)
	}
	q.ContentLength = int64(len(l.Body))
	q.Close = l.NewConnection
	if l.Header != nil {
		q.Header = l.Header.Clone()
	}
	r, err := c.transport(l).RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if err := httpconn.CheckHead(r); err != nil {
		_ = r.Body.Close()
		return nil, err
	}
	return r, nil
}

func (c *Client) failure(ctx context.Context, err error, l Call) *result.Failure {
	if errors.Is(context.Cause(ctx), errNoProgress) {
		c.closeIdle(l.Upstream.Address)
		return result.New(result.UpstreamSilent, "upstream %s made no progress", l.Upstream.Name)
	}
	return result.New(result.UpstreamBroken, "upstream %s: %v", l.Upstream.Name, errors.Cause(err))
}

// transport returns the upstream's connection pool, or for a call on a new connection one that keeps none.
func (c *Client) transport(l Call) *http.Transport {
	if l.NewConnection {
		return c.newTransport(-1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[l.Upstream.Address]
	if !ok {
		t = c.newTransport(maxIdlePerUpstream)
		c.transports[l.Upstream.Address] = t
	}
	return t
}

func (c *Client) newTransport(idle int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			n, err := c.network.Dial(ctx, a)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: n}, nil
		},
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
	}
}

// closeIdle closes the idle connections to an upstream that sent nothing for too long; they may be unresponsive too.
func (c *Client) closeIdle(address string) {
	c.mu.Lock()
	t, ok := c.transports[address]
	c.mu.Unlock()
	if ok {
		t.CloseIdleConnections()
	}
}
