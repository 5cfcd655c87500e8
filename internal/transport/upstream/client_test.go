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

// misbehaviour is how a server fails the second request of a connection.
type misbehaviour string

const (
	closes       misbehaviour = "closes instead of responding"
	closesIdle   misbehaviour = "closes while idle, unnoticed"
	unresponsive misbehaviour = "stops responding"
	halfResponse misbehaviour = "sends half a response"
)

// TestAttemptsAreNotRetried checks that a failed attempt, with or without a body, is not retried by net/http, which does
// so for idempotent requests on reused connections, and that its failure says whether any of it may have been sent.
func TestAttemptsAreNotRetried(t *testing.T) {
	for _, m := range []misbehaviour{closes, closesIdle, unresponsive, halfResponse} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
			for _, body := range []string{"", "note"} {
				t.Run(string(m)+" "+method+" "+body, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runAttempts(t, m, method, body) })
				})
			}
		}
	}
}

func runAttempts(t *testing.T, m misbehaviour, method, body string) {
	n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
	defer n.Close()
	l, err := n.Host("10.0.0.2").Listen("10.0.0.2:80")
	require.NoError(t, err)
	var seen atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveTwo(c, m, &seen)
		}
	}()
	defer l.Close()
	c := upstream.New(n.Host("10.0.0.1"))
	defer c.Close()
	h := http.Header{"Idempotency-Key": {"k"}, "X-Long": {strings.Repeat("x", 8<<10)}}
	a := upstream.Call{Upstream: catalog.Upstream{Name: "u", Address: "10.0.0.2:80"}, Method: method, Path: "/", Header: h, Body: []byte(body), ProgressTimeout: time.Second}
	r, err := c.Do(context.Background(), a)
	require.NoError(t, err)
	_, err = io.ReadAll(r.Body)
	require.NoError(t, err)
	r.Body.Close()
	if m != closesIdle {
		time.Sleep(10 * time.Millisecond)
	}
	r, err = c.Do(context.Background(), a)
	if err == nil {
		_, err = io.ReadAll(r.Body)
		r.Body.Close()
	}
	if m != closesIdle {
		require.Error(t, err)
		require.NotEqual(t, result.NotRun, result.Of(err).Ran, "%v", err)
	}
	require.LessOrEqual(t, seen.Load(), int32(2), "the attempt was repeated")
	time.Sleep(10 * time.Millisecond) // the second attempt's connection may be closing, too
	r, err = c.Do(context.Background(), a)
	require.NoError(t, err, "a new connection works")
	r.Body.Close()
	a.Upstream.Address = "10.0.0.3:80"
	_, err = c.Do(context.Background(), a)
	require.Equal(t, result.NotRun, result.Of(err).Ran)
}

func serveTwo(c net.Conn, m misbehaviour, seen *atomic.Int32) {
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 2 {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		seen.Add(1)
		switch {
		case i == 0:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			if m == closesIdle {
				return
			}
		case m == unresponsive:
			_, _ = r.ReadByte()
		case m == halfResponse:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
		}
	}
}
