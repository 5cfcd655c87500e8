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
	"slices"
	"strings"
	"sync/atomic"
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
		defer func() { // also after a failed assertion
			n.Close()
			_ = l.Close()
			synctest.Wait()
		}()
		f(httpconn.New(n.Host("10.0.0.1")), n)
	})
}

// do sends a request with a body of so many bytes and reads the response whose Id header is id.
func do(p *httpconn.Pool, id string, body int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
	a, err := p.Do(ctx, address, r, make([]byte, body), func(a *http.Response, _ bool) bool { return a.Header.Get("Id") == id })
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

// TestResponseMayEndWithItsConnection sends responses that have neither a length nor chunks.
func TestResponseMayEndWithItsConnection(t *testing.T) {
	u := &upstream{respond: func(c net.Conn, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\nsome")
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(c, " text")
		return false
	}}
	withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		for range 2 {
			b, err := do(p, "x", 10)
			require.NoError(t, err)
			require.Equal(t, "some text", b)
		}
		require.Equal(t, 2, u.conns, "the connection can't be used again")
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
		a, err := p.Do(ctx, address, r, nil, func(*http.Response, bool) bool { return true })
		require.NoError(t, err)
		defer a.Body.Close()
		cancel()
		<-closed
	})
}

// endless sends a response that never ends, until the connection is closed.
type endless struct {
	start, repeat string        // sent once, and then again and again
	pause         time.Duration // between the repetitions
	sent          atomic.Int64  // bytes
	closed        atomic.Bool   // by the caller
}

// maxEndless is how many bytes an endless response sends before it stalls.
const maxEndless = 8 << 20

func (e *endless) respond(c net.Conn, _ int) bool {
	b := []byte(e.start)
	for e.sent.Load() < maxEndless {
		n, err := c.Write(b)
		e.sent.Add(int64(n))
		if err != nil {
			e.closed.Store(true)
			return false
		}
		time.Sleep(e.pause)
		if b = []byte(e.repeat); len(b) == 0 {
			break
		}
	}
	_, err := c.Read(make([]byte, 1))
	e.closed.Store(err != nil)
	return false
}

// TestResponseWithoutEndEndsTheCall sends bytes without end in each part of a response: the call must end long before its
// deadline, with a BadResponse if it has no response yet, and the connection must be closed.
func TestResponseWithoutEndEndsTheCall(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: x\r\n"
	const other = "HTTP/1.1 200 OK\r\nId: y\r\n"
	const slow = 100 * time.Millisecond
	block := strings.Repeat("x", 32<<10)
	table := map[string]struct {
		e        *endless
		response bool // the call has its response, and the body fails
	}{
		"garbage without a line end":              {e: &endless{repeat: block}},
		"header line without end":                 {e: &endless{start: ok + "A: ", repeat: block}},
		"continued header line without end":       {e: &endless{start: ok + "A: b", repeat: "\r\n " + block}},
		"header lines without end":                {e: &endless{start: ok, repeat: strings.Repeat("A: b\r\n", 4<<10)}},
		"interim responses without end":           {e: &endless{repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)}},
		"header lines of interim without end":     {e: &endless{repeat: "HTTP/1.1 103 Early Hints\r\nLink: " + block + "\r\n\r\n"}},
		"discarded body without end":              {e: &endless{start: other + "\r\n", repeat: block}},
		"discarded chunks without end":            {e: &endless{start: other + "Transfer-Encoding: chunked\r\n\r\n", repeat: "8000\r\n" + block + "\r\n"}},
		"discarded responses without end":         {e: &endless{repeat: other + "Content-Length: 32768\r\n\r\n" + block}},
		"empty discarded responses without end":   {e: &endless{repeat: other + "Content-Length: 0\r\n\r\n"}},
		"chunk extension without end":             {e: &endless{start: ok + "Transfer-Encoding: chunked\r\n\r\n2;", repeat: block}, response: true},
		"chunk extensions without end":            {e: &endless{start: ok + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1;" + block[:2000] + "\r\nx\r\n"}, response: true},
		"trailer without end":                     {e: &endless{start: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", repeat: block}, response: true},
		"slow garbage without a line end":         {e: &endless{repeat: "x", pause: slow}},
		"slow header lines without end":           {e: &endless{start: ok, repeat: "A: b\r\n", pause: slow}},
		"slow interim responses without end":      {e: &endless{repeat: "HTTP/1.1 102 Processing\r\n\r\n", pause: slow}},
		"slow discarded body without end":         {e: &endless{start: other + "\r\n", repeat: "x", pause: slow}},
		"slow discarded responses without end":    {e: &endless{repeat: other + "Content-Length: 0\r\n\r\n", pause: slow}},
		"head that stops midway":                  {e: &endless{start: ok}},
		"body that stops midway, to be discarded": {e: &endless{start: other + "Content-Length: 10\r\n\r\nx"}},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			e := x.e
			u := &upstream{respond: e.respond}
			var sendErr, readErr error
			var took time.Duration
			var sent int64
			var idle bool
			withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				began := time.Now()
				var a *http.Response
				a, sendErr = p.Do(ctx, address, get(), nil, func(a *http.Response, _ bool) bool { return a.Header.Get("Id") == "x" })
				if sendErr == nil {
					_, readErr = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
				}
				took, sent, idle = time.Since(began), e.sent.Load(), p.Idle(address)
				time.Sleep(2 * time.Hour)
			})
			if x.response {
				require.NoError(t, sendErr)
				require.Error(t, readErr)
			} else {
				require.ErrorAs(t, sendErr, &httpconn.BadResponse{}, "after %s and %d bytes sent", took, sent)
				require.NotErrorAs(t, sendErr, &httpconn.NotSent{})
			}
			require.Less(t, took, 10*time.Second)
			require.Less(t, sent, int64(2<<20), "bytes sent before the connection was closed")
			require.True(t, e.closed.Load())
			require.False(t, idle)
			require.Equal(t, 1, u.requests, "the request was sent again")
		})
	}
}

// get returns a request.
func get() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
}

// TestSoundResponsesStayWithinTheBounds checks that the bounds end no sound response.
func TestSoundResponsesStayWithinTheBounds(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	table := map[string]struct {
		parts []string
		pause time.Duration // before each part
		body  int           // bytes
	}{
		"late head":                  {parts: []string{okResponse("x")}, pause: 20 * time.Second, body: 2},
		"long header":                {parts: []string{"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 2\r\nA: " + long[:48<<10] + "\r\n\r\nok"}, body: 2},
		"late head after an interim": {parts: []string{"HTTP/1.1 100 Continue\r\n\r\n", okResponse("x")}, pause: 10 * time.Second, body: 2},
		"many interim responses":     {parts: []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20), okResponse("x")}, body: 2},
		"long body without a length": {parts: []string{"HTTP/1.1 200 OK\r\nId: x\r\n\r\n" + long}, body: len(long)},
		"long body with a length":    {parts: []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long)}, body: len(long)},
		"slow body":                  {parts: []string{"HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 3\r\n\r\n", "a", "b", "c"}, pause: 7 * time.Second, body: 3},
		"responses to be discarded": {parts: append(slices.Repeat([]string{
			fmt.Sprintf("HTTP/1.1 200 OK\r\nId: y\r\nContent-Length: %d\r\n\r\n%s", 16<<10, long[:16<<10])}, 20), okResponse("x")), pause: 10 * time.Millisecond, body: 2},
		"long response to be discarded": {parts: []string{
			fmt.Sprintf("HTTP/1.1 200 OK\r\nId: y\r\nContent-Length: %d\r\n\r\n%s", 256<<10, long[:256<<10]), okResponse("x")}, pause: 5 * time.Second, body: 2},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			u := &upstream{respond: func(c net.Conn, n int) bool {
				for _, s := range x.parts {
					time.Sleep(x.pause)
					write("%s", s)(c, n)
				}
				return false
			}}
			var b []byte
			var err error
			withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
				var a *http.Response
				a, err = p.Do(context.Background(), address, get(), nil, func(a *http.Response, _ bool) bool { return a.Header.Get("Id") == "x" })
				if err == nil {
					b, err = io.ReadAll(a.Body)
					_ = a.Body.Close()
				}
				time.Sleep(time.Hour) // the upstream ends also if the call failed
			})
			require.NoError(t, err)
			require.Len(t, b, x.body)
		})
	}
}
