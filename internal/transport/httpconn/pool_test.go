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

// upstream answers each connection's requests by a script; it counts what arrives.
type upstream struct {
	conns, requests int
	answer          func(c net.Conn, request int) bool // false closes the connection
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
				if !u.answer(c, u.requests) {
					return
				}
			}
		}()
	}
}

func whole(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
}

func world(t *testing.T, u *upstream, f func(p *httpconn.Pool, n *fakenet.Net)) {
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

func say(format string, args ...any) func(net.Conn, int) bool {
	return func(c net.Conn, _ int) bool {
		_, err := fmt.Fprintf(c, format, args...)
		return err == nil
	}
}

func TestConnectionsAreKept(t *testing.T) {
	u := &upstream{answer: say("%s", whole("x"))}
	world(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		for range 5 {
			b, err := do(p, "x", 100_000)
			require.NoError(t, err)
			require.Equal(t, "ok", b)
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, 1, u.conns)
	})
}

func TestConnectionsAreNotKeptLongerThanTheUpstreamDoes(t *testing.T) {
	u := &upstream{answer: say("HTTP/1.1 200 OK\r\nId: x\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok")}
	world(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		_, err := do(p, "x", 0)
		require.NoError(t, err)
		time.Sleep(4500 * time.Millisecond)
		_, err = do(p, "x", 0)
		require.NoError(t, err)
		require.Equal(t, 2, u.conns)
	})
}

// TestLateSecondAnswerIsPassedOver gives the answer to the first request twice; the second request gets its own.
func TestLateSecondAnswerIsPassedOver(t *testing.T) {
	u := &upstream{}
	u.answer = func(c net.Conn, n int) bool {
		if n == 2 {
			say("%s", whole("first"))(c, n)
		}
		return say("%s", whole([]string{"first", "second"}[n-1]))(c, n)
	}
	world(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		_, err := do(p, "first", 0)
		require.NoError(t, err)
		b, err := do(p, "second", 0)
		require.NoError(t, err)
		require.Equal(t, "ok", b)
		require.Equal(t, 1, u.conns)
	})
}

// TestNoRequestIsRepeated breaks connections off at each stage; the upstream sees every request once.
func TestNoRequestIsRepeated(t *testing.T) {
	table := map[string]string{
		"no answer":         "",
		"half a header":     "HTTP/1.1 200 OK\r\nId",
		"no HTTP":           "nonsense\r\n\r\n",
		"half a body":       "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 20\r\n\r\nhalf",
		"half a chunk":      "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf",
		"no end of chunks":  "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"only other answer": whole("y"),
	}
	for name, text := range table {
		t.Run(name, func(t *testing.T) {
			u := &upstream{answer: func(c net.Conn, n int) bool {
				say("%s", text)(c, n)
				return false
			}}
			world(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
				_, err := do(p, "x", 10)
				require.Error(t, err)
				require.NotErrorAs(t, err, &httpconn.NotSent{})
				require.Equal(t, 1, u.requests)
			})
		})
	}
}

func TestNothingIsSentWithoutAConnection(t *testing.T) {
	u := &upstream{answer: say("%s", whole("x"))}
	world(t, u, func(p *httpconn.Pool, n *fakenet.Net) {
		n.Cut("10.0.0.1", "10.0.0.2")
		_, err := do(p, "x", 0)
		var s httpconn.NotSent
		require.True(t, errors.As(err, &s))
	})
}

// TestEndOfTheCallerEndsTheRun closes the body early; the upstream sees its connection close.
func TestEndOfTheCallerEndsTheRun(t *testing.T) {
	closed := make(chan struct{})
	u := &upstream{answer: func(c net.Conn, n int) bool {
		say("HTTP/1.1 200 OK\r\nId: x\r\n\r\n%s", strings.Repeat("x", 10))(c, n)
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
		return false
	}}
	world(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
		ctx, cancel := context.WithCancel(context.Background())
		a, err := p.Do(ctx, address, r, nil, func(*http.Response) bool { return true })
		require.NoError(t, err)
		defer a.Body.Close()
		cancel()
		<-closed
	})
}
