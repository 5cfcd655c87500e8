package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
)

// TestUploadThatTricklesIsCutOff guards against callers that hold an upload for years with a byte a second.
func TestUploadThatTricklesIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		l, err := n.Host("10.0.0.1").Listen("10.0.0.1:80")
		require.NoError(t, err)
		g := New(Deps{Log: slog.New(slog.DiscardHandler)})
		g.Mount("POST /v1/files", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
		}))
		s := g.Server()
		done := make(chan error)
		go func() { done <- s.Serve(l) }()
		c, err := n.Host("10.0.0.2").Dial(context.Background(), "10.0.0.1:80")
		require.NoError(t, err)
		defer func() {
			_ = c.Close()
			_ = s.Close()
			n.Close()
			<-done
			time.Sleep(time.Minute)
		}()
		_, err = io.WriteString(c, "POST /v1/files HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
		require.NoError(t, err)
		go func() {
			var err error
			for err == nil {
				time.Sleep(time.Second)
				_, err = io.WriteString(c, "1\r\nx\r\n")
			}
		}()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Minute)))
		_, err = io.Copy(io.Discard, c)
		require.NoError(t, err, "the connection is still open")
	})
}
