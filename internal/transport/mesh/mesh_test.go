package mesh_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/result"
	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/mesh"
)

type directory map[string]string

func (d directory) MeshAddress(vm string) (string, bool) {
	a, ok := d[vm]
	return a, ok
}

// pair is two VMs, a and b. b serves calls and records the one-way messages that it receives.
type pair struct {
	net      *fakenet.Net
	a, b     *mesh.Mesh
	received chan string
	stop     context.CancelFunc
}

func newPair(t *testing.T, l fakenet.Link, credentials func(vm string) identity.Provider) *pair {
	n := fakenet.New(1, l)
	ctx, stop := context.WithCancel(context.Background())
	p := &pair{net: n, received: make(chan string, 100_000), stop: stop}
	made := map[string]*mesh.Mesh{}
	for _, vm := range []string{"a", "b"} {
		ip := map[string]string{"a": "10.0.0.1", "b": "10.0.0.2"}[vm]
		made[vm] = mesh.New(mesh.Deps{
			VM:          vm,
			Listen:      ip + ":7400",
			Local:       ip + ":0",
			Network:     n.Host(ip),
			Credentials: credentials(vm),
			Directory:   directory{"a": "10.0.0.1:7400", "b": "10.0.0.2:7400"},
			Log:         slog.New(slog.DiscardHandler),
		})
	}
	p.a, p.b = made["a"], made["b"]
	p.b.Handle(frame.Propose, func(_ context.Context, from string, q []byte) ([]byte, error) {
		if len(q) == 0 {
			return nil, result.New(result.NoQuorum, "nothing to do").After(time.Second)
		}
		return append([]byte(from+":"), q...), nil
	})
	p.b.Receive(frame.Consensus, func(_ string, m []byte) { p.received <- string(m) })
	for _, m := range made {
		go func() { _ = m.Run(ctx) }()
	}
	synctest.Wait()
	return p
}

func (p *pair) close() {
	p.stop()
	p.net.Close()
}

func (p *pair) call(limit time.Duration, q string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b, err := p.a.Call(ctx, "b", frame.Propose, []byte(q))
	return string(b), err
}

func oneAuthority(t *testing.T) func(string) identity.Provider {
	a, err := identity.NewAuthority("test", time.Now())
	require.NoError(t, err)
	return func(vm string) identity.Provider {
		c, err := a.Issue(vm, time.Now())
		require.NoError(t, err)
		return identity.New(c, a.Certificate)
	}
}

func TestCallReturnsResponsesAndFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, fakenet.Link{Delay: time.Millisecond, Loss: 0.1, Duplicate: 0.1, Jitter: 3 * time.Millisecond}, oneAuthority(t))
		defer p.close()
		b, err := p.call(10*time.Second, "x")
		require.NoError(t, err)
		require.Equal(t, "a:x", b)
		_, err = p.call(10*time.Second, "")
		require.Equal(t, &result.Failure{Code: result.NoQuorum, Ran: result.NotRun, Detail: "nothing to do", RetryAfter: time.Second}, result.Of(err))
	})
}

// Guards against a connection that stays in use after the path drops all its packets, as when a NAT has lost its state. It
// is replaced by one over a new socket after the idle timeout.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, fakenet.Link{Delay: time.Millisecond}, oneAuthority(t))
		defer p.close()
		_, err := p.call(time.Second, "x")
		require.NoError(t, err)
		p.net.BlackholeOpen("10.0.0.1", "10.0.0.2")
		start := time.Now()
		require.Eventually(t, func() bool {
			_, err := p.call(time.Second, "x")
			return err == nil
		}, time.Minute, 10*time.Millisecond)
		require.LessOrEqual(t, time.Since(start), 4*time.Second)
	})
}

// Guards against a sender that blocks on an unreachable peer with a full ring, and against one that does not deliver the
// newest message once the peer is back.
func TestSendNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, fakenet.Link{Delay: time.Millisecond}, oneAuthority(t))
		defer p.close()
		p.net.Isolate("10.0.0.2", []string{"10.0.0.1"}, true)
		start := time.Now()
		for range 50_000 {
			p.a.Send("b", frame.Consensus, []byte("old"))
		}
		require.Zero(t, time.Since(start))
		p.net.Isolate("10.0.0.2", []string{"10.0.0.1"}, false)
		time.Sleep(5 * time.Second)
		p.a.Send("b", frame.Consensus, []byte("new"))
		time.Sleep(5 * time.Second)
		last := ""
		for len(p.received) > 0 {
			last = <-p.received
		}
		require.Equal(t, "new", last)
	})
}

func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, fakenet.Link{Delay: time.Millisecond}, func(vm string) identity.Provider {
			return oneAuthority(t)(vm) // each VM has an authority of its own
		})
		defer p.close()
		_, err := p.call(5*time.Second, "x")
		require.Error(t, err)
	})
}

// TestUnfinishedCallsEnd guards against peers that hold streams, and their goroutines, with a request that never ends.
func TestUnfinishedCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, fakenet.Link{Delay: time.Millisecond}, oneAuthority(t))
		defer p.close()
		s, err := p.a.Open(t.Context(), "b", frame.Propose)
		require.NoError(t, err)
		s.SetReceiveTimeout(2 * time.Minute)
		began := time.Now()
		_, err = s.Receive()
		require.Error(t, err)
		require.Less(t, time.Since(began), time.Minute)
		b, err := p.call(time.Second, "x")
		require.NoError(t, err)
		require.Equal(t, "a:x", b)
	})
}

// TestIdleOneWayStreamsStayOpen checks that the time limit of a message does not begin before its first byte.
func TestIdleOneWayStreamsStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, fakenet.Link{Delay: time.Millisecond}, oneAuthority(t))
		defer p.close()
		for range 3 {
			p.a.Send("b", frame.Consensus, []byte("x"))
			time.Sleep(5 * time.Minute)
			require.Len(t, p.received, 1)
			<-p.received
		}
	})
}

// TestUnknownOneWayMessagesDoNotBlockOthers guards against messages of kinds that a VM does not receive, as during an upgrade,
// which fill the window of the connection.
func TestUnknownOneWayMessagesDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, fakenet.Link{Delay: time.Millisecond}, oneAuthority(t))
		defer p.close()
		for range 40 {
			for _, k := range []frame.Kind{frame.Load, frame.Preempt, frame.BatchLoad} {
				p.a.Send("b", k, make([]byte, 64<<10))
			}
		}
		time.Sleep(10 * time.Second)
		p.a.Send("b", frame.Consensus, make([]byte, 256<<10))
		time.Sleep(10 * time.Second)
		require.Len(t, p.received, 1)
	})
}
