package fakenet_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
)

// TestLateCloseSparesTheNextProcess guards against a VM that started again and that nobody can reach, as its former process closes its listener
// and its packet connection only then.
func TestLateCloseSparesTheNextProcess(t *testing.T) {
	const ip, address = "10.0.0.1", "10.0.0.1:1000"
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		defer n.Close()
		server, client := n.Host(ip), n.Host("10.0.0.2")
		formerListener, err := server.Listen(address)
		require.NoError(t, err)
		formerPackets, err := server.ListenPacket(address)
		require.NoError(t, err)
		n.Kill(ip)
		l, err := server.Listen(address)
		require.NoError(t, err)
		p, err := server.ListenPacket(address)
		require.NoError(t, err)
		require.NoError(t, formerListener.Close())
		require.NoError(t, formerPackets.Close())

		go func() {
			if c, err := l.Accept(); err == nil {
				_ = c.Close()
			}
		}()
		c, err := client.Dial(t.Context(), address)
		require.NoError(t, err, "connections arrive")
		require.NoError(t, c.Close())

		sender, err := client.ListenPacket("10.0.0.2:0")
		require.NoError(t, err)
		to, err := net.ResolveUDPAddr("udp", address)
		require.NoError(t, err)
		_, err = sender.WriteTo([]byte("x"), to)
		require.NoError(t, err)
		require.NoError(t, p.SetReadDeadline(time.Now().Add(time.Second)))
		_, _, err = p.ReadFrom(make([]byte, 10))
		require.NoError(t, err, "packets arrive")

		require.NoError(t, l.Close())
		_, err = client.Dial(context.Background(), address)
		require.Error(t, err, "a listener still closes itself")
		require.NoError(t, p.Close())
	})
}
