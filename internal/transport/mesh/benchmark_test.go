package mesh_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/control"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/catalog"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/mesh"
	"snipetack/internal/transport/network"
)

// packetOverhead is what IP and UDP add to each datagram in bytes.
const packetOverhead = 28

const hub = "hub"

// BenchmarkIdlePeers keeps idle connections from many VMs to one open; an iteration is a second without messages.
func BenchmarkIdlePeers(b *testing.B) {
	for _, n := range []int{1, 10, 50, 100, 200} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			r := newRig(b, n)
			r.hub.Handle(frame.VMStatus, echo)
			before := heapInUse()
			r.start()
			for _, m := range r.spokes {
				_, err := m.Call(b.Context(), hub, frame.VMStatus, []byte("x"))
				require.NoError(b, err)
			}
			r.metrics(b, n, func() { time.Sleep(time.Second) })
			b.ReportMetric(float64(heapInUse()-before)/float64(n)/2, "heap-B/end")
		})
	}
}

// BenchmarkCall measures a request and its response over an open connection.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{64, 1024, 16384} {
		b.Run(fmt.Sprintf("bytes=%d", n), func(b *testing.B) {
			r := newRig(b, 1)
			r.hub.Handle(frame.VMStatus, echo)
			r.start()
			q := make([]byte, n)
			_, err := r.spokes[0].Call(b.Context(), hub, frame.VMStatus, q)
			require.NoError(b, err)
			c, w := processorTime(), r.wire.Load()
			for b.Loop() {
				_, err := r.spokes[0].Call(b.Context(), hub, frame.VMStatus, q)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(processorTime()-c)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(r.wire.Load()-w)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkSend measures one-way messages on an open stream.
func BenchmarkSend(b *testing.B) {
	const size = 64
	r := newRig(b, 1)
	var received atomic.Int64
	r.hub.Receive(frame.Load, func(string, []byte) { received.Add(1) })
	r.start()
	q := make([]byte, size)
	c, w := processorTime(), r.wire.Load()
	for b.Loop() {
		n := received.Load()
		r.spokes[0].Send(hub, frame.Load, q)
		for received.Load() == n {
			runtime.Gosched()
		}
	}
	b.ReportMetric(float64(processorTime()-c)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(r.wire.Load()-w)/float64(b.N), "wire-B/op")
}

// BenchmarkWatch has many VMs follow one keeper's configuration; an iteration is a second without a change.
func BenchmarkWatch(b *testing.B) {
	for _, n := range []int{1, 10, 50, 100, 200, 370} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			r, _, _ := newWatchRig(b, n)
			r.metrics(b, n, func() { time.Sleep(time.Second) })
		})
	}
}

// BenchmarkFanOut has one keeper send a change with 4,000 bytes of answers to all followers.
func BenchmarkFanOut(b *testing.B) {
	for _, n := range []int{1, 10, 50, 100, 200, 370} {
		b.Run(fmt.Sprintf("followers=%d", n), func(b *testing.B) {
			_, m, copies := newWatchRig(b, n)
			i := 0
			c := processorTime()
			for b.Loop() {
				i++
				o := catalog.Op{Answers: &catalog.Answers{Team: "team", Document: make([]byte, 4000)}}
				m.Apply(uint64(i), catalog.EncodeChange(catalog.Change{ID: fmt.Sprint(i), Rebase: true, Ops: []catalog.Op{o}}))
				for _, f := range copies {
					for f.Current().Revision < uint64(i) {
						time.Sleep(100 * time.Microsecond)
					}
				}
			}
			b.ReportMetric(float64(processorTime()-c)/1000/float64(b.N*n), "cpu-us/follower")
		})
	}
}

// newWatchRig returns a rig whose spokes all follow the hub's configuration, once their copies are fresh.
func newWatchRig(b *testing.B, n int) (*rig, *control.Machine, []*feed.Copy) {
	r := newRig(b, n)
	m := control.New()
	p := feed.NewPublisher(alwaysCommitted{}, m, discardLog())
	r.hub.HandleStream(frame.Watch, func(ctx context.Context, from string, s *mesh.Stream) error {
		return p.Serve(ctx, from, s)
	})
	r.start()
	r.wait.Go(func() { _ = p.Run(r.ctx) })
	var copies []*feed.Copy
	for _, s := range r.spokes {
		c := feed.New(nil)
		f := feed.NewFollower(c, []string{hub}, opener(s), discardLog())
		copies = append(copies, c)
		r.wait.Go(func() { _ = f.Run(r.ctx) })
	}
	for _, c := range copies {
		require.Eventually(b, c.Fresh, time.Minute, time.Millisecond)
	}
	return r, m, copies
}

// rig is one hub VM and many spoke VMs on loopback, with a count of the bytes that all of them send.
type rig struct {
	tb     testing.TB
	hub    *mesh.Mesh
	spokes []*mesh.Mesh
	wire   *atomic.Int64 // bytes sent, packetOverhead included
	ctx    context.Context
	wait   sync.WaitGroup
}

func newRig(b testing.TB, spokes int) *rig {
	a, err := identity.NewAuthority("bench", time.Now())
	require.NoError(b, err)
	free, err := network.New().ListenPacket("127.0.0.1:0")
	require.NoError(b, err)
	d := hubDirectory(free.LocalAddr().String())
	require.NoError(b, free.Close())
	r := &rig{tb: b, wire: &atomic.Int64{}}
	r.hub = r.mesh(a, d, hub, string(d))
	for i := range spokes {
		r.spokes = append(r.spokes, r.mesh(a, d, fmt.Sprintf("vm-%d", i), "127.0.0.1:0"))
	}
	ctx, stop := context.WithCancel(context.Background())
	r.ctx = ctx
	b.Cleanup(func() {
		stop()
		r.wait.Wait()
	})
	return r
}

func (r *rig) mesh(a *identity.Authority, d mesh.DirectoryProvider, name, listen string) *mesh.Mesh {
	c, err := a.Issue(name, time.Now())
	require.NoError(r.tb, err)
	return mesh.New(mesh.Deps{
		VM:          name,
		Listen:      listen,
		Local:       "127.0.0.1:0",
		Network:     countingNetwork{network.New(), r.wire},
		Credentials: identity.New(c, a.Certificate),
		Directory:   d,
		Log:         discardLog(),
	})
}

func (r *rig) start() {
	for _, m := range append([]*mesh.Mesh{r.hub}, r.spokes...) {
		r.wait.Go(func() { _ = m.Run(r.ctx) })
	}
}

// metrics runs f for each iteration, and reports bytes sent and processor time per second and spoke. With n spokes, each
// figure is that of the whole process divided by n, so it covers both ends of a connection.
func (r *rig) metrics(b *testing.B, n int, f func()) {
	c, w, t := processorTime(), r.wire.Load(), time.Now()
	for b.Loop() {
		f()
	}
	s := time.Since(t).Seconds() * float64(n)
	b.ReportMetric(float64(processorTime()-c)/1000/s, "cpu-us/s/peer")
	b.ReportMetric(float64(r.wire.Load()-w)/s, "wire-B/s/peer")
}

type hubDirectory string

func (d hubDirectory) MeshAddress(vm string) (string, bool) { return string(d), vm == hub }

// countingNetwork adds the bytes of all datagrams sent to wire.
type countingNetwork struct {
	network.Network
	wire *atomic.Int64
}

func (c countingNetwork) ListenPacket(a string) (net.PacketConn, error) {
	p, err := c.Network.ListenPacket(a)
	return countingConn{p, c.wire}, err
}

type countingConn struct {
	net.PacketConn
	wire *atomic.Int64
}

func (c countingConn) WriteTo(b []byte, a net.Addr) (int, error) {
	c.wire.Add(int64(len(b) + packetOverhead))
	return c.PacketConn.WriteTo(b, a)
}

// alwaysCommitted is a group whose read barrier returns immediately.
type alwaysCommitted struct{}

func (alwaysCommitted) Barrier(context.Context, uint32) error { return nil }

var _ feed.HistoryProvider = (*control.Machine)(nil)

func opener(m *mesh.Mesh) feed.Opener {
	return func(ctx context.Context, k string) (feed.Stream, func(), error) {
		s, err := m.Open(ctx, k, frame.Watch)
		if err != nil {
			return nil, nil, err
		}
		return s, s.Abort, nil
	}
}

func echo(_ context.Context, _ string, b []byte) ([]byte, error) { return b, nil }

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// processorTime returns the processor time of this process so far, user and system, in nanoseconds.
func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
