package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
)

// TestEntriesShareTheRateOfTheList checks that all entry VMs of a fleet together call the list at their fraction of its rate.
func TestEntriesShareTheRateOfTheList(t *testing.T) {
	for _, c := range []struct {
		entries, calls int
		rate           float64
	}{{1, 1, 40}, {9, 1, 47}, {56, 2, 50}, {370, 13, 40}, {5, 1, 0}} {
		d := ownListInterval(c.entries, c.calls, c.rate)
		require.Positive(t, d)
		total := float64(c.entries*c.calls) / d.Seconds()
		require.InDelta(t, listFraction*max(1, c.rate), total, 0.01)
	}
	require.Equal(t, 4480*time.Millisecond, ownListInterval(56, 2, 50))
}

// TestConnectionsLeaveDescriptors guards against a VM that can reach neither upstreams nor other VMs since callers' connections
// use up its descriptors.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		n := &Node{Deps: Deps{Network: w.Host("10.0.0.1"), Log: slog.New(slog.DiscardHandler), Settings: Settings{MaxFiles: 100}}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			done <- serveHTTP(ctx, n, "10.0.0.1:80", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		}()
		synctest.Wait()
		defer func() {
			cancel()
			<-done
			w.Close()
			time.Sleep(time.Minute)
		}()
		dial := func() net.Conn {
			c, err := w.Host("10.0.0.2").Dial(t.Context(), "10.0.0.1:80")
			require.NoError(t, err)
			return c
		}
		open := func(c net.Conn) bool {
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Millisecond*10)))
			_, err := c.Read(make([]byte, 1))
			return !errors.Is(err, io.EOF)
		}
		var l []net.Conn
		for range 300 {
			l = append(l, dial())
		}
		held := 0
		for _, c := range l {
			if open(c) {
				held++
				_ = c.Close()
			}
		}
		require.Equal(t, 50, held)
		time.Sleep(time.Second)
		require.True(t, open(dial()), "no connection is accepted any more")
	})
}
