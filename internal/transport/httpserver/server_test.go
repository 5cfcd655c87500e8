package httpserver_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/httpserver"
)

// withServer runs f in virtual time with a connection to a server of h.
func withServer(t *testing.T, h http.HandlerFunc, f func(t *testing.T, c net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		l, err := n.Host("10.0.0.1").Listen("10.0.0.1:80")
		require.NoError(t, err)
		s := httpserver.New(h, slog.New(slog.DiscardHandler))
		done := make(chan error)
		go func() { done <- s.Serve(l) }()
		c, err := n.Host("10.0.0.2").Dial(t.Context(), "10.0.0.1:80")
		require.NoError(t, err)
		defer func() {
			_ = c.Close()
			_ = s.Close()
			n.Close()
			<-done
			time.Sleep(time.Minute) // until all goroutines have ended
		}()
		f(t, c)
	})
}

// dribble sends a chunk of one byte each interval until the connection ends.
func dribble(c net.Conn, interval time.Duration) {
	for {
		time.Sleep(interval)
		if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
			return
		}
	}
}

// TestCallerWithAnEndlessBodyKeepsNoConnection guards against callers that hold a request and its memory forever with a body
// that never ends.
func TestCallerWithAnEndlessBodyKeepsNoConnection(t *testing.T) {
	const chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	table := map[string]struct {
		head     string
		interval time.Duration // between bytes; 0 sends none
		refuse   bool          // the handler responds without reading the body
	}{
		"stops":                   {head: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nbegin"},
		"stops, refused":          {head: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nbegin", refuse: true},
		"bytes trickle":           {head: chunked, interval: time.Second},
		"bytes trickle, refused":  {head: chunked, interval: time.Second, refuse: true},
		"expects to be continued": {head: "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 100\r\n\r\n"},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			var failure error // of reading the body
			h := func(w http.ResponseWriter, r *http.Request) {
				if x.refuse {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				_, failure = io.Copy(io.Discard, r.Body)
				panic(http.ErrAbortHandler)
			}
			withServer(t, h, func(t *testing.T, c net.Conn) {
				began := time.Now()
				_, err := io.WriteString(c, x.head)
				require.NoError(t, err)
				if x.interval > 0 {
					go dribble(c, x.interval)
				}
				require.NoError(t, c.SetReadDeadline(began.Add(time.Minute)))
				_, err = io.Copy(io.Discard, c)
				require.NoError(t, err, "the connection is still open")
				require.Less(t, time.Since(began), 30*time.Second)
				if !x.refuse {
					require.ErrorIs(t, failure, os.ErrDeadlineExceeded)
				}
			})
		})
	}
}

// TestSoundUseIsNotCutOff checks that the bounds of servers allow slow uploads, long responses and long pauses of a handler.
func TestSoundUseIsNotCutOff(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		for range 10 {
			time.Sleep(30 * time.Second)
			fmt.Fprintf(w, "%d %v\n", n, r.Context().Err())
			_ = http.NewResponseController(w).Flush()
		}
	}
	withServer(t, h, func(t *testing.T, c net.Conn) {
		r := bufio.NewReader(c)
		for range 2 {
			const parts = 120
			part := strings.Repeat("x", 16<<10)
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", parts*len(part))
			require.NoError(t, err)
			for range parts {
				time.Sleep(time.Second)
				_, err := io.WriteString(c, part)
				require.NoError(t, err)
			}
			p, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			b, err := io.ReadAll(p.Body)
			require.NoError(t, err)
			require.Equal(t, strings.Repeat(fmt.Sprintf("%d <nil>\n", parts*len(part)), 10), string(b))
			time.Sleep(time.Minute)
		}
	})
}

// TestCallerThatAcceptsNoBytesIsDisconnected guards against callers that hold a request, and its slot at an upstream, by not
// reading their response.
func TestCallerThatAcceptsNoBytesIsDisconnected(t *testing.T) {
	var ended chan error
	h := func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				ended <- err
				return
			}
		}
	}
	withServer(t, h, func(t *testing.T, c net.Conn) {
		ended = make(chan error, 1)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		select {
		case err := <-ended:
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		default:
			require.Fail(t, "the handler is still writing")
		}
	})
}

// TestEarlierResponsesDoNotLimitTheNextOne guards against a write deadline that is left over from an earlier request of the
// connection, which would cut off a handler that writes nothing itself.
func TestEarlierResponsesDoNotLimitTheNextOne(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			time.Sleep(time.Minute)
			return
		}
		_, _ = io.WriteString(w, "x")
	}
	withServer(t, h, func(t *testing.T, c net.Conn) {
		r := bufio.NewReader(c)
		for _, p := range []string{"/", "/long", "/", "/long"} {
			_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", p)
			require.NoError(t, err)
			a, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, a.Body)
			require.NoError(t, err)
			time.Sleep(time.Minute)
		}
	})
}
