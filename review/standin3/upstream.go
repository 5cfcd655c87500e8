package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// keepAlive is the timeout of idle connections that upstreams state.
const keepAlive = 2 * time.Second

// upstream is a replica of a service: it checks for whom a request is meant and answers by respond.
type upstream struct {
	f       *fleet
	i       instance
	respond func(u *upstream, c net.Conn, r *http.Request)

	mu      sync.Mutex
	l       net.Listener
	conns   map[net.Conn]struct{}
	running int
}

func newUpstream(f *fleet, n int, respond func(u *upstream, c net.Conn, r *http.Request)) *upstream {
	return &upstream{f: f, respond: respond, conns: map[net.Conn]struct{}{}, i: instance{ID: "i-" + strconv.Itoa(n), Service: "engines", Addr: f.upstream(n),
		Zone: zoneOf(n), Slots: 8, State: "ready"}}
}

// start begins an incarnation, which the list shows later.
func (u *upstream) start(version string) error {
	l, err := net.Listen("tcp4", u.i.Addr) //nolint:noctx // crash ends it
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.l, u.i.Version, u.i.Born = l, version, time.Now().UnixMilli()
	i := u.i
	u.mu.Unlock()
	u.f.log.printf("upstream %s starts with version %s", i.ID, version)
	u.f.list.set(i)
	go u.accept(l)
	return nil
}

// crash ends the incarnation with all its connections; the list goes on showing it.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.f.log.printf("upstream %s crashes; it has %d requests and %d connections", u.i.ID, u.running, len(u.conns))
	_ = u.l.Close()
	for c := range u.conns {
		_ = c.Close()
	}
	u.conns = map[net.Conn]struct{}{}
}

func (u *upstream) version() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.i.Version
}

func (u *upstream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = struct{}{}
		u.mu.Unlock()
		go u.serve(c)
	}
}

// serve answers one request after the other.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c)
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(keepAlive))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Header.Get("X-Snipetack-Expect-Instance") != u.i.ID {
			u.reject(c, r, http.StatusMisdirectedRequest)
			continue
		}
		u.count(1)
		u.respond(u, c, r)
		u.count(-1)
	}
}

func (u *upstream) count(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += n
}

// head returns the head of an answer, up to its last fields.
func (u *upstream) head(r *http.Request, status int, more string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Snipetack-Request-Id: %s\r\nX-Snipetack-Server-Stamp: stamp-%s\r\nX-Snipetack-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=%d\r\n%s",
		status, http.StatusText(status), r.Header.Get("X-Snipetack-Request-Id"), u.i.ID, u.running, u.i.Slots, int(keepAlive.Seconds()), more)
}

// answer sends a whole answer.
func (u *upstream) answer(c net.Conn, r *http.Request, body string) {
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", u.head(r, http.StatusOK, ""), len(body), body)
}

// reject sends an answer that says that the request does not run.
func (u *upstream) reject(c net.Conn, r *http.Request, status int) {
	_, _ = fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", u.head(r, status, "X-Snipetack-Not-Run: 1\r\n"))
}

// stream sends the events after Last-Event-Id up to n: the head with the first one after a time, since a request begins to run with its first token,
// and each further one after a pause. It reports whether it sent all of them.
func (u *upstream) stream(c net.Conn, r *http.Request, first time.Duration, n int, pause time.Duration, data func(i int) string) bool {
	time.Sleep(first)
	head := u.head(r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= n; i++ {
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, data(i))
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", head, len(e), e); err != nil {
			return false
		}
		head = ""
		time.Sleep(pause)
	}
	_, err := c.Write([]byte(head + "0\r\n\r\n"))
	return err == nil
}
