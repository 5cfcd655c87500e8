package link_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/link"
)

const delay = time.Millisecond

// vm is a VM with a Link, of a test.
type vm struct {
	*link.Link
	address string
	stop    func()

	mu  sync.Mutex
	got []string // bodies of the one-way frames received
}

func (v *vm) received() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.got)
}

func start(t *testing.T, n *fakenet.Net, ip string) *vm {
	v := &vm{address: net.JoinHostPort(ip, "7000")}
	v.Link = link.New(link.Deps{Self: v.address, Network: n.Host(ip), Log: slog.New(slog.DiscardHandler)})
	v.Handle(link.Sync, func(_ context.Context, from string, b []byte) ([]byte, error) {
		if string(b) == "fail" {
			return nil, errors.New("no")
		}
		return fmt.Appendf(nil, "%s from %s", b, from), nil
	})
	v.Receive(link.Load, func(_ string, b []byte) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.got = append(v.got, string(b))
	})
	l, err := n.Host(ip).Listen(v.address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- v.Serve(ctx, l) }()
	v.stop = func() {
		cancel()
		<-done
	}
	return v
}

// world runs f in virtual time with two VMs.
func world(t *testing.T, f func(n *fakenet.Net, a, b *vm)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: delay})
		a, b := start(t, n, "10.0.0.1"), start(t, n, "10.0.0.2")
		defer func() {
			a.stop()
			b.stop()
			n.Close()
			time.Sleep(time.Minute) // lets the goroutines of watch end, which they do at their next tick
		}()
		f(n, a, b)
	})
}

func call(v *vm, to string, body string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b, err := v.Call(ctx, to, link.Sync, []byte(body))
	return string(b), err
}

func TestCallsAndFrames(t *testing.T) {
	world(t, func(_ *fakenet.Net, a, b *vm) {
		x, err := call(a, b.address, "hello", time.Second)
		require.NoError(t, err)
		require.Equal(t, "hello from 10.0.0.1:7000", x)
		x, err = call(a, a.address, "self", time.Second)
		require.NoError(t, err)
		require.Equal(t, "self from 10.0.0.1:7000", x)
		_, err = call(a, b.address, "fail", time.Second)
		require.Equal(t, link.Refused{Reason: "no"}, err)
		for range 10 {
			a.Send(b.address, link.Load, []byte("x"))
		}
		time.Sleep(10 * delay)
		require.Equal(t, 10, b.received())
	})
}

func TestLargeResponsesArrive(t *testing.T) {
	world(t, func(_ *fakenet.Net, a, b *vm) {
		body := string(bytes.Repeat([]byte("x"), 3<<20))
		x, err := call(a, b.address, body, 10*time.Second)
		require.NoError(t, err)
		require.Len(t, x, len(body)+len(" from 10.0.0.1:7000"))
	})
}

// TestUnresponsiveConnectionIsReplaced guards against calls that keep using a dead connection: when a firewall on the way loses
// the connection's state, no bytes arrive and neither end gets an error.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	world(t, func(n *fakenet.Net, a, b *vm) {
		_, err := call(a, b.address, "first", time.Second)
		require.NoError(t, err)
		n.BlackholeOpen("10.0.0.1", "10.0.0.2")
		began := time.Now()
		for {
			if _, err = call(a, b.address, "again", 200*time.Millisecond); err == nil {
				break
			}
			require.Less(t, time.Since(began), 5*time.Second)
		}
	})
}

// fullTable is a listener that fails for lack of file descriptors a number of times.
type fullTable struct {
	net.Listener
	failures int
}

func (l *fullTable) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestServeOutlivesAFullDescriptorTable guards against the end of a VM, with all its callers' requests, when callers' connections
// take all file descriptors for a moment.
func TestServeOutlivesAFullDescriptorTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: delay})
		a := start(t, n, "10.0.0.1")
		b := link.New(link.Deps{Self: "10.0.0.2:7000", Network: n.Host("10.0.0.2"), Log: slog.New(slog.DiscardHandler)})
		b.Handle(link.Sync, func(context.Context, string, []byte) ([]byte, error) { return []byte("served"), nil })
		l, err := n.Host("10.0.0.2").Listen(b.Self())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- b.Serve(ctx, &fullTable{Listener: l, failures: 3}) }()
		got := ""
		for began := time.Now(); got == "" && time.Since(began) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
			got, _ = call(a, b.Self(), "x", time.Second)
		}
		require.Equal(t, "served", got)
		cancel()
		require.NoError(t, <-done)
		a.stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}

// TestOneWayFramesDetectAnUnresponsiveConnection sends only frames without responses, as the replicated groups do, so that only
// a probe can detect the loss.
func TestOneWayFramesDetectAnUnresponsiveConnection(t *testing.T) {
	world(t, func(n *fakenet.Net, a, b *vm) {
		a.Send(b.address, link.Load, []byte("first"))
		time.Sleep(time.Second)
		n.BlackholeOpen("10.0.0.1", "10.0.0.2")
		for range 40 {
			a.Send(b.address, link.Load, []byte("x"))
			time.Sleep(100 * time.Millisecond)
		}
		require.Greater(t, b.received(), 10)
	})
}

func TestCallsFailDuringAPartitionAndSucceedAfterwards(t *testing.T) {
	world(t, func(n *fakenet.Net, a, b *vm) {
		n.Cut("10.0.0.1", "10.0.0.2")
		n.Cut("10.0.0.2", "10.0.0.1")
		_, err := call(a, b.address, "x", time.Second)
		require.Error(t, err)
		n.Reconnect("10.0.0.1", "10.0.0.2")
		n.Reconnect("10.0.0.2", "10.0.0.1")
		time.Sleep(time.Second)
		_, err = call(a, b.address, "x", time.Second)
		require.NoError(t, err)
	})
}

// TestResponseCutAtAnyByteFailsTheCall guards against a response of another VM that breaks off within its head or body and counts as complete.
func TestResponseCutAtAnyByteFailsTheCall(t *testing.T) {
	world(t, func(n *fakenet.Net, a, _ *vm) {
		const peer = "10.0.0.9:7000"
		body := []byte("response")
		whole := len(head(response, byte(link.Sync), 0, len(body))) + len(body)
		l, err := n.Host("10.0.0.9").Listen(peer)
		require.NoError(t, err)
		defer l.Close()
		for cut := range whole + 1 {
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				h := make([]byte, len(head(request, byte(link.Sync), 0, 0)))
				for h[4] != request {
					if _, err := io.ReadFull(c, h); err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(h))-int64(len(h)-4))
				}
				number := binary.BigEndian.Uint64(h[6:])
				b := append(head(response, byte(link.Sync), number, len(body)), body...)
				_, _ = c.Write(b[:cut/2])
				time.Sleep(2 * delay)
				_, _ = c.Write(b[cut/2 : cut])
				if cut == whole {
					time.Sleep(10 * delay)
				}
			}()
			b, err := a.Call(context.Background(), peer, link.Sync, []byte("request"))
			if cut == whole {
				require.NoError(t, err)
				require.Equal(t, body, b)
			} else {
				require.Error(t, err, "%d of %d bytes: %q", cut, whole, b)
			}
			time.Sleep(time.Second)
		}
	})
}
