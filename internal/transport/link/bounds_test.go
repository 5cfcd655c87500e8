package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/link"
)

// Frame types and limits of the wire format.
const (
	oneWay   = 1
	request  = 2
	response = 3
	failure  = 4
	greeting = 7
	maxFrame = 24 << 20 // bytes
)

// head returns the start of a frame whose body has so many bytes.
func head(frameType, kind byte, number uint64, body int) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(10+body))
	return binary.BigEndian.AppendUint64(append(b, frameType, kind), number)
}

// dial opens a connection on which a test sends frames itself.
func dial(t *testing.T, n *fakenet.Net, to string) net.Conn {
	c, err := n.Host("10.0.0.9").Dial(context.Background(), to)
	require.NoError(t, err)
	return c
}

// allocated returns the bytes allocated so far, freed ones included.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// awaitClosed fails unless the other end closes a connection within a time limit.
func awaitClosed(t *testing.T, c net.Conn, limit time.Duration) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(limit)))
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err, "the connection is still open")
}

// TestAnnouncedFramesTakeNoMemory guards against peers that end a VM for lack of memory with a few bytes: the heads of frames
// of the maximum size.
func TestAnnouncedFramesTakeNoMemory(t *testing.T) {
	world(t, func(n *fakenet.Net, _, b *vm) {
		before := allocated()
		for range 20 {
			for _, k := range []byte{oneWay, request} {
				_, err := dial(t, n, b.address).Write(head(k, byte(link.Sync), 1, maxFrame-10))
				require.NoError(t, err)
			}
		}
		time.Sleep(time.Second)
		require.Less(t, allocated()-before, uint64(maxFrame))
	})
}

// TestUnservedFramesTakeNoMemory guards against keeping the bodies of frames that nobody asked for or serves.
func TestUnservedFramesTakeNoMemory(t *testing.T) {
	world(t, func(n *fakenet.Net, _, b *vm) {
		c := dial(t, n, b.address)
		before := allocated()
		body := make([]byte, maxFrame-10)
		for _, k := range []byte{oneWay, request, response, failure, 99} {
			_, err := c.Write(head(k, 200, 1, len(body)))
			require.NoError(t, err)
			_, err = c.Write(body)
			require.NoError(t, err)
		}
		_, err := c.Write(append(head(oneWay, byte(link.Load), 0, 1), 'x'))
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.Equal(t, 1, b.received(), "the frame after them is lost")
		require.Less(t, allocated()-before, uint64(7*maxFrame)) // one for the test, and fakenet one for each frame
	})
}

// TestRequestsInProgressDoNotFillTheMemory guards against a peer whose requests arrive faster than they are handled. Those that
// are refused say so, and other connections go on.
func TestRequestsInProgressDoNotFillTheMemory(t *testing.T) {
	table := map[string]struct {
		requests, size int
		most           int64 // in progress
	}{
		"many":  {50_000, 1, 2048},
		"large": {100, 1 << 20, 40},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			world(t, func(n *fakenet.Net, a, b *vm) {
				var running, peak atomic.Int64
				end := make(chan struct{})
				b.Handle(link.Quota, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
					peak.Store(max(peak.Load(), running.Add(1)))
					defer running.Add(-1)
					select {
					case <-ctx.Done():
					case <-end:
					}
					return nil, nil
				})
				c := dial(t, n, b.address)
				answers := make(chan int)
				go func() {
					m, _ := io.Copy(io.Discard, c)
					answers <- int(m)
				}()
				body := bytes.Repeat([]byte("x"), x.size)
				for i := range x.requests {
					_, err := c.Write(append(head(request, byte(link.Quota), uint64(i), x.size), body...))
					require.NoError(t, err)
				}
				time.Sleep(time.Second)
				require.LessOrEqual(t, peak.Load(), x.most)
				require.Positive(t, peak.Load())
				for range 2 * x.most {
					a.Send(b.address, link.Load, []byte("x"))
				}
				time.Sleep(time.Second)
				require.Positive(t, b.received())
				close(end)
				time.Sleep(time.Second)
				_, err := call(a, b.address, "hello", time.Second)
				require.NoError(t, err)
				_ = c.Close()
				require.Positive(t, <-answers)
			})
		})
	}
}

// TestUnfinishedFramesEndTheConnection guards against peers that hold a connection with a frame that never ends.
func TestUnfinishedFramesEndTheConnection(t *testing.T) {
	table := map[string]struct {
		start    []byte
		interval time.Duration // between further bytes; 0 sends none
	}{
		"no frame":         {},
		"part of a head":   {start: []byte{0, 0}},
		"part of a body":   {start: head(oneWay, byte(link.Load), 0, 1000)},
		"bytes trickle":    {start: head(request, byte(link.Sync), 1, maxFrame-10), interval: time.Second},
		"unserved trickle": {start: head(request, 200, 1, maxFrame-10), interval: time.Second},
		"long greeting":    {start: head(greeting, 0, 0, 1<<20), interval: time.Second},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			world(t, func(n *fakenet.Net, _, b *vm) {
				c := dial(t, n, b.address)
				_, err := c.Write(x.start)
				require.NoError(t, err)
				go func() {
					for x.interval > 0 && err == nil {
						time.Sleep(x.interval)
						_, err = c.Write([]byte("x"))
					}
				}()
				awaitClosed(t, c, time.Minute)
			})
		})
	}
}

// TestConnectionsDoNotFillTheMemory guards against strangers that open connections without end. Those of VMs that are connected
// already go on.
func TestConnectionsDoNotFillTheMemory(t *testing.T) {
	world(t, func(n *fakenet.Net, a, b *vm) {
		_, err := call(a, b.address, "first", time.Second)
		require.NoError(t, err)
		before := runtime.NumGoroutine()
		for range 5000 {
			dial(t, n, b.address)
		}
		synctest.Wait()
		require.Less(t, runtime.NumGoroutine()-before, 5000)
		_, err = call(a, b.address, "again", time.Second)
		require.NoError(t, err)
		time.Sleep(time.Minute) // until the idle connections are closed
		c := dial(t, n, b.address)
		_, err = c.Write(append(head(oneWay, byte(link.Load), 0, 1), 'x'))
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.Equal(t, 1, b.received())
	})
}

// fullListener fails to accept for a while, as when a process has no descriptor left.
type fullListener struct {
	net.Listener
	failures int
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestFailureToAcceptDoesNotEndTheVM guards against the end of the process when it has no descriptor left for a moment.
func TestFailureToAcceptDoesNotEndTheVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: delay})
		b := link.New(link.Deps{Self: "10.0.0.3:7000", Network: n.Host("10.0.0.3"), Log: slog.New(slog.DiscardHandler)})
		l, err := n.Host("10.0.0.3").Listen("10.0.0.3:7000")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- b.Serve(ctx, &fullListener{l, 20}) }()
		time.Sleep(10 * time.Second)
		select {
		case err := <-done:
			require.Fail(t, "the VM has ended", "%v", err)
		default:
		}
		c := dial(t, n, "10.0.0.3:7000")
		awaitClosed(t, c, time.Minute)
		cancel()
		require.NoError(t, <-done)
		time.Sleep(time.Minute)
	})
}

// TestUnaskedResponsesTakeNoMemory guards against a called VM that sends responses without end which no call waits for.
func TestUnaskedResponsesTakeNoMemory(t *testing.T) {
	world(t, func(n *fakenet.Net, a, _ *vm) {
		l, err := n.Host("10.0.0.9").Listen("10.0.0.9:7000")
		require.NoError(t, err)
		accepted := make(chan net.Conn, 1)
		go func() {
			c, _ := l.Accept()
			accepted <- c
		}()
		go func() { _, _ = call(a, "10.0.0.9:7000", "x", 30*time.Second) }()
		c := <-accepted
		body := make([]byte, maxFrame-10)
		before := allocated()
		for range 3 {
			_, err = c.Write(head(response, byte(link.Sync), 77, len(body)))
			require.NoError(t, err)
			_, err = c.Write(body)
			require.NoError(t, err)
		}
		time.Sleep(100 * time.Millisecond)
		require.Less(t, allocated()-before, uint64(4*maxFrame)) // fakenet takes one for each frame
		_ = l.Close()
		awaitClosed(t, c, time.Minute)
	})
}
