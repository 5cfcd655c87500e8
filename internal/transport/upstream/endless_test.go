package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/upstream"
)

// maxEndless is how many bytes an endless response sends before it stalls.
const maxEndless = 8 << 20

// endless sends start and then next again and again, until the caller closes the connection.
type endless struct {
	start, next string
	pause       time.Duration // before each repetition
	sent        atomic.Int64  // bytes
	closed      atomic.Int32  // connections that the caller closed
}

func (e *endless) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := io.WriteString(c, e.start)
	for err == nil && e.sent.Add(int64(n)) < maxEndless {
		time.Sleep(e.pause)
		n, err = io.WriteString(c, e.next)
	}
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	if err != nil {
		e.closed.Add(1)
	}
}

// TestResponseWithoutEndEndsTheAttempt sends bytes without end in each part of a response: the attempt must end long before
// its deadline and close the connection.
func TestResponseWithoutEndEndsTheAttempt(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	const slow = 100 * time.Millisecond
	block := strings.Repeat("x", 32<<10)
	table := map[string]struct {
		e        *endless
		response bool // the attempt has its response, and the body fails
	}{
		"garbage without a line end":          {e: &endless{next: block}},
		"header line without end":             {e: &endless{start: ok + "A: ", next: block}},
		"header lines without end":            {e: &endless{start: ok, next: strings.Repeat("A: b\r\n", 4<<10)}},
		"interim responses without end":       {e: &endless{next: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)}},
		"header lines of interim without end": {e: &endless{next: "HTTP/1.1 103 Early Hints\r\nLink: " + block + "\r\n\r\n"}},
		"chunk extension without end":         {e: &endless{start: chunked + "2;", next: block}, response: true},
		"chunk extensions without end":        {e: &endless{start: chunked, next: "1;" + block[:2000] + "\r\nx\r\n"}, response: true},
		"trailer without end":                 {e: &endless{start: chunked + "0\r\nA: ", next: block}, response: true},
		"slow garbage without a line end":     {e: &endless{next: "x", pause: slow}},
		"slow header lines without end":       {e: &endless{start: ok, next: "A: b\r\n", pause: slow}},
		"slow interim responses without end":  {e: &endless{next: "HTTP/1.1 102 Processing\r\n\r\n", pause: slow}},
		"slow trailer without end":            {e: &endless{start: chunked + "0\r\nA: ", next: "x", pause: slow}, response: true},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			var doErr, readErr error
			var took time.Duration
			var sent int64
			synctest.Test(t, func(*testing.T) {
				n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
				defer n.Close()
				l, _ := n.Host("10.0.0.2").Listen("10.0.0.2:80")
				defer l.Close()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go x.e.serve(c)
					}
				}()
				c := upstream.New(n.Host("10.0.0.1"))
				defer c.Close()
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				began := time.Now()
				var r *http.Response
				r, doErr = c.Do(ctx, upstream.Call{Upstream: catalog.Upstream{Name: "u", Address: "10.0.0.2:80"}, Method: http.MethodPost,
					Path: "/", ProgressTimeout: 5 * time.Second})
				if doErr == nil {
					_, readErr = io.Copy(io.Discard, r.Body)
					_ = r.Body.Close()
				}
				took, sent = time.Since(began), x.e.sent.Load()
				time.Sleep(time.Second) // the server notices the close
			})
			if x.response {
				require.NoError(t, doErr)
				doErr = readErr
			}
			require.Error(t, doErr)
			require.Contains(t, []result.Code{result.UpstreamBroken, result.UpstreamSilent}, result.Of(doErr).Code)
			require.NotEqual(t, result.NotRun, result.Of(doErr).Ran)
			require.LessOrEqual(t, took, 6*time.Second)
			require.Less(t, sent, int64(1<<20), "bytes sent before the connection was closed")
			require.Equal(t, int32(1), x.e.closed.Load(), "the attempt was repeated, or its connection is open")
		})
	}
}
