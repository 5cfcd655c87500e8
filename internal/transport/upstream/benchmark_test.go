package upstream_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"snipetack/internal/coordination/routing"
	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/upstream"
)

// BenchmarkWatcher measures the CPU time and bytes that polling an idle engine costs per second; an iteration takes one
// second. The engine runs in the same process, so the CPU time includes its share.
func BenchmarkWatcher(b *testing.B) {
	for _, n := range []int{1, 10, 50, 150, 600} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			e := engine.New(engine.DefaultSettings())
			defer e.Close()
			s := httptest.NewServer(e.Handler())
			defer s.Close()
			c := catalog.NewConfiguration()
			c.Services["drafts"] = catalog.Service{Name: "drafts", Kind: catalog.Engine}
			for i := range n {
				u := fmt.Sprintf("upstream-%d", i)
				c.Upstreams[u] = catalog.Upstream{Name: u, Service: "drafts", Address: strings.TrimPrefix(s.URL, "http://")}
			}
			wire := &atomic.Int64{}
			h := upstream.New(countedNetwork{network.New(), wire})
			defer h.Close()
			l := slog.New(slog.DiscardHandler)
			w := upstream.NewWatcher(h, fixedCopy{c}, routing.New(l, "a", 1), l)
			ctx, stop := context.WithCancel(b.Context())
			var g sync.WaitGroup
			g.Go(func() { _ = w.Run(ctx) })
			time.Sleep(2 * time.Second)
			p, x, t := processorTime(), wire.Load(), time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			d := time.Since(t).Seconds() * float64(n)
			b.ReportMetric(float64(processorTime()-p)/1000/d, "cpu-us/s/upstream")
			b.ReportMetric(float64(wire.Load()-x)/d, "wire-B/s/upstream")
			stop()
			g.Wait()
		})
	}
}

type fixedCopy struct{ c *catalog.Configuration }

func (f fixedCopy) Current() *catalog.Configuration { return f.c }

// countedNetwork counts the payload bytes of all connections, without TCP and IP headers.
type countedNetwork struct {
	network.Network
	wire *atomic.Int64
}

func (n countedNetwork) Dial(ctx context.Context, a string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, a)
	return countedConn{c, n.wire}, err
}

type countedConn struct {
	net.Conn
	wire *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wire.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wire.Add(int64(n))
	return n, err
}

// processorTime returns the CPU time of this process in nanoseconds.
func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}
