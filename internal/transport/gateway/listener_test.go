package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
)

// TestListenerRefusesAFlood checks that connections above the limit get a 503 response and are closed, and that a freed
// slot is used again, but only once when its connection is closed twice.
func TestListenerRefusesAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		defer n.Close()
		inner, err := n.Host("10.0.0.1").Listen("10.0.0.1:80")
		require.NoError(t, err)
		l := newListener(inner, 3)
		served := make(chan net.Conn, 10)
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				served <- c
			}
		}()
		defer l.Close()
		dial := func() net.Conn {
			c, err := n.Host("10.0.0.2").Dial(context.Background(), "10.0.0.1:80")
			require.NoError(t, err)
			return c
		}
		for range 3 {
			dial()
		}
		b, err := io.ReadAll(dial())
		require.NoError(t, err)
		require.Contains(t, string(b), "HTTP/1.1 503")
		require.Contains(t, string(b), `"ran":"not_run"`)
		require.Len(t, served, 3)
		c := <-served
		_ = c.Close()
		_ = c.Close()
		dial()
		synctest.Wait()
		require.Len(t, served, 3)
		require.EqualValues(t, 3, l.openConns.Load())
	})
}
