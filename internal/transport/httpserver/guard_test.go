package httpserver_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/budget"
	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/httpserver"
)

// withGuard runs f in virtual time with a guarded server that reads and counts bodies; dial returns a connection to it.
func withGuard(t *testing.T, memory int64, files int, f func(g *httpserver.Guard, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		l, err := n.Host("10.0.0.1").Listen("10.0.0.1:80")
		require.NoError(t, err)
		log := slog.New(slog.DiscardHandler)
		b := budget.New(memory, files)
		g := httpserver.NewGuard(b, nil, log)
		bodies := httpserver.NewBodies(4<<20, 1<<30)
		s := httpserver.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/unread" {
				return
			}
			body, release, f := bodies.Read(w, r)
			if f != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer release()
			fmt.Fprint(w, len(body))
		}), log)
		g.Attach(s)
		done := make(chan error)
		go func() { done <- s.Serve(g.Listen(l, "callers", 1)) }()
		f(g, func() net.Conn {
			c, err := n.Host("10.0.0.2").Dial(t.Context(), "10.0.0.1:80")
			require.NoError(t, err)
			return c
		})
		_ = s.Close()
		n.Close()
		<-done
		time.Sleep(time.Minute)
		require.Zero(t, b.Held(), "bytes leak")
		require.Zero(t, b.Open())
	})
}

// exchange sends a request and returns the status and body of the response; status 0 is none.
func exchange(c net.Conn, r *bufio.Reader, request string) (int, string) {
	go func() { _, _ = io.WriteString(c, request) }()
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, ""
	}
	b, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(b)
}

// TestOrdinaryBodiesBesideACrowd guards against incomplete bodies that keep ordinary ones out for as long as they may stall.
func TestOrdinaryBodiesBesideACrowd(t *testing.T) {
	withGuard(t, 16<<20, 100, func(_ *httpserver.Guard, dial func() net.Conn) {
		const size = 4<<20 - 1
		for range 20 {
			c := dial()
			go func() {
				_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-10))
			}()
		}
		time.Sleep(time.Second)
		began := time.Now()
		for _, q := range []string{
			fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)),
			fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)),
		} {
			c := dial()
			status, body := exchange(c, bufio.NewReader(c), q)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, fmt.Sprint(size), body)
			_ = c.Close()
		}
		require.Less(t, time.Since(began), 5*time.Second)
	})
}

// TestKeptConnectionsServeRequestsInOrder guards against bounds that break reuse: bodies that a handler leaves unread, requests
// that arrive together and pauses below the idle time.
func TestKeptConnectionsServeRequestsInOrder(t *testing.T) {
	withGuard(t, 16<<20, 100, func(g *httpserver.Guard, dial func() net.Conn) {
		g.SetHeaders(httpserver.Headers{Bytes: 1024, Time: 3 * time.Second, Idle: 15 * time.Second})
		c := dial()
		r := bufio.NewReader(c)
		long := strings.Repeat("x\n", 50_000)
		for range 3 {
			status, _ := exchange(c, r, fmt.Sprintf("POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long))
			require.Equal(t, http.StatusOK, status)
			time.Sleep(12 * time.Second)
			status, body := exchange(c, r, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab")
			require.Equal(t, "200 3", fmt.Sprint(status, " ", body))
			status, body = exchange(c, r, "")
			require.Equal(t, "200 2", fmt.Sprint(status, " ", body))
		}
		time.Sleep(17 * time.Second)
		_, err := r.ReadByte()
		require.ErrorIs(t, err, io.EOF, "an idle connection stays open")
	})
}

// TestHeadsAreBounded guards against heads that take more than their bytes, or are never finished.
func TestHeadsAreBounded(t *testing.T) {
	const most = 4096
	field := func(n int) string { return strings.Repeat("a: b\r\n", n) }
	for name, x := range map[string]struct {
		head   string
		served bool
	}{
		"ordinary":              {"GET / HTTP/1.1\r\nHost: x\r\n" + field(60) + "\r\n", true},
		"as long as allowed":    {"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", most-18) + "\r\n\r\n", true},
		"too long":              {"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", most) + "\r\n\r\n", false},
		"too many fields":       {"GET / HTTP/1.1\r\nHost: x\r\n" + field(300) + "\r\n", false},
		"not finished":          {"GET / HTTP/1.1\r\nHost: x\r\n", false},
		"far too many requests": {strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 60), false},
		"nothing":               {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			withGuard(t, 16<<20, 100, func(g *httpserver.Guard, dial func() net.Conn) {
				g.SetHeaders(httpserver.Headers{Bytes: most, Time: 3 * time.Second, Idle: 15 * time.Second})
				began := time.Now()
				c := dial()
				status, _ := exchange(c, bufio.NewReader(c), x.head)
				require.Equal(t, x.served, status == http.StatusOK)
				require.Less(t, time.Since(began), 5*time.Second)
			})
		})
	}
}

// TestCrowdLeavesRoomForConnections guards against half-sent heads that take all places.
func TestCrowdLeavesRoomForConnections(t *testing.T) {
	withGuard(t, 16<<20, 50, func(_ *httpserver.Guard, dial func() net.Conn) {
		for range 200 {
			c := dial()
			go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nX-Half: ") }()
		}
		time.Sleep(time.Second)
		c := dial()
		status, _ := exchange(c, bufio.NewReader(c), "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Equal(t, http.StatusOK, status)
	})
}

// TestHeadWithoutRoomIsNotJoinedAgain guards against a request from whose head bytes are missing: a head for which there was no room ends the connection,
// also when there is room again before its next bytes arrive.
func TestHeadWithoutRoomIsNotJoinedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const memory = 256 << 10
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		l, err := n.Host("10.0.0.1").Listen("10.0.0.1:80")
		require.NoError(t, err)
		b := budget.New(memory, 100)
		var seen []http.Header
		s := httpserver.New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen = append(seen, r.Header) }), slog.New(slog.DiscardHandler))
		g := httpserver.NewGuard(b, nil, slog.New(slog.DiscardHandler))
		g.Attach(s)
		done := make(chan error)
		go func() { done <- s.Serve(g.Listen(l, "callers", 1)) }()
		c, err := n.Host("10.0.0.2").Dial(t.Context(), "10.0.0.1:80")
		require.NoError(t, err)
		send := func(x string) {
			_, _ = io.WriteString(c, x)
			time.Sleep(10 * time.Millisecond)
		}
		send("GET / HTTP/1.1\r\nHost: h\r\nX-Kept: 1\r\nX-Part: first")
		share := b.Listener("others", 1)
		fill := func(o *budget.Conn) {
			for ok := true; ok; {
				ok, _ = o.Take(time.Now(), 1<<10)
			}
		}
		last := share.Open(time.Now(), func(string) {})
		others := []*budget.Conn{last}
		for o := last; o != nil; o = share.Open(time.Now(), func(string) {}) {
			if o != last {
				fill(o)
				others = append(others, o)
			}
		}
		fill(last)
		send("-second\r\nX-Gone: " + strings.Repeat("x", 2000) + "\r\n")
		for _, o := range others {
			o.Close()
		}
		send("X-Late: 3\r\n\r\n")
		require.Empty(t, seen)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			require.Equal(t, http.StatusBadRequest, a.StatusCode)
			require.NoError(t, a.Body.Close())
		}
		_ = c.Close()
		_ = s.Close()
		n.Close()
		<-done
		time.Sleep(time.Minute)
	})
}
