package httpconn_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/httpconn"
)

const address = "10.0.0.2:80"

// upstream responds to the requests of each connection with respond; it counts connections and requests.
type upstream struct {
	conns, requests int
	respond         func(c net.Conn, request int) bool // false closes the connection
}

func (u *upstream) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.conns++
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, q.Body); err != nil {
					return
				}
				u.requests++
				if !u.respond(c, u.requests) {
					return
				}
			}
		}()
	}
}

// okResponse returns a complete response with an Id header.
func okResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
}

// withUpstream runs f with a pool on a simulated network on which u serves address.
func withUpstream(t *testing.T, u *upstream, f func(p *httpconn.Pool, n *fakenet.Net)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		l, err := n.Host("10.0.0.2").Listen(address)
		require.NoError(t, err)
		go u.serve(l)
		f(httpconn.New(n.Host("10.0.0.1")), n)
		n.Close()
		_ = l.Close()
		synctest.Wait()
	})
}

// do sends a request with a body of so many bytes and reads the response whose Id header is id.
func do(p *httpconn.Pool, id string, body int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
	a, err := p.Do(ctx, address, r, make([]byte, body), func(a *http.Response) bool { return a.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// write returns a respond function that writes a text to the connection.
func write(format string, args ...any) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool {
		_, err := fmt.Fprintf(c, format, args...)
		return err == nil
	}
}

func TestConnectionsAreReused(t *testing.T) {
	u := &upstream{respond: write("%s", okResponse("x"))}
	withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		for range 5 {
			b, err := do(p, "x", 100_000)
			require.NoError(t, err)
			require.Equal(t, "ok", b)
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, 1, u.conns)
	})
}

func TestConnectionsAreNotReusedAfterTheKeepAliveTimeout(t *testing.T) {
	u := &upstream{respond: write("HTTP/1.1 200 OK\r\nId: x\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok")}
	withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		_, err := do(p, "x", 0)
		require.NoError(t, err)
		time.Sleep(4500 * time.Millisecond)
		_, err = do(p, "x", 0)
		require.NoError(t, err)
		require.Equal(t, 2, u.conns)
	})
}

// TestDuplicateOfAnEarlierResponseIsDiscarded sends the response to the first request twice: the second request must
// not get the duplicate.
func TestDuplicateOfAnEarlierResponseIsDiscarded(t *testing.T) {
	u := &upstream{}
	u.respond = func(c net.Conn, n int) bool {
		if n == 2 {
			write("%s", okResponse("first"))(c, n)
		}
		return write("%s", okResponse([]string{"first", "second"}[n-1]))(c, n)
	}
	withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		_, err := do(p, "first", 0)
		require.NoError(t, err)
		b, err := do(p, "second", 0)
		require.NoError(t, err)
		require.Equal(t, "ok", b)
		require.Equal(t, 1, u.conns)
	})
}

// TestNoRequestIsRepeated breaks the connection off at each stage of the response; the upstream must receive the
// request only once.
func TestNoRequestIsRepeated(t *testing.T) {
	table := map[string]string{
		"no response":           "",
		"half a header":         "HTTP/1.1 200 OK\r\nId",
		"no HTTP":               "nonsense\r\n\r\n",
		"half a body":           "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 20\r\n\r\nhalf",
		"half a chunk":          "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf",
		"no end of chunks":      "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"only another response": okResponse("y"),
	}
	for name, text := range table {
		t.Run(name, func(t *testing.T) {
			u := &upstream{respond: func(c net.Conn, n int) bool {
				write("%s", text)(c, n)
				return false
			}}
			withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
				_, err := do(p, "x", 10)
				require.Error(t, err)
				require.NotErrorAs(t, err, &httpconn.NotSent{})
				require.Equal(t, 1, u.requests)
			})
		})
	}
}

func TestFailedDialIsNotSent(t *testing.T) {
	u := &upstream{respond: write("%s", okResponse("x"))}
	withUpstream(t, u, func(p *httpconn.Pool, n *fakenet.Net) {
		n.Cut("10.0.0.1", "10.0.0.2")
		_, err := do(p, "x", 0)
		var s httpconn.NotSent
		require.True(t, errors.As(err, &s))
	})
}

// TestCancelledContextClosesTheConnection cancels the request's context before the response has ended; the upstream
// must see its connection close, so that it can stop the run.
func TestCancelledContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	u := &upstream{respond: func(c net.Conn, n int) bool {
		write("HTTP/1.1 200 OK\r\nId: x\r\n\r\n%s", strings.Repeat("x", 10))(c, n)
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
		return false
	}}
	withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
		ctx, cancel := context.WithCancel(context.Background())
		a, err := p.Do(ctx, address, r, nil, func(*http.Response) bool { return true })
		require.NoError(t, err)
		defer a.Body.Close()
		cancel()
		<-closed
	})
}
