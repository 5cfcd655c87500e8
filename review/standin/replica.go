package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers on the wire.
const (
	headerRequest  = "X-Snipetack-Request-Id"
	headerDeadline = "X-Snipetack-Deadline-Ms"
	headerExpect   = "X-Snipetack-Expect-Instance"
	headerTenant   = "X-Snipetack-Tenant"
	headerKey      = "X-Api-Key"
	headerStamp    = "X-Snipetack-Server-Stamp"
	headerNotRun   = "X-Snipetack-Not-Run"
	headerTokens   = "X-Snipetack-Token-Count"
	headerWait     = "X-Snipetack-Wait-Ms"
	headerLast     = "Last-Event-Id"
)

// Behaviour of replicas.
const (
	replicaQueue = 4                    // requests that wait for a slot at most
	eventTime    = 5 * time.Millisecond // between the events of an item
	itemEvents   = 20
	kvCapacity   = 72000 // tokens
)

// arrival is a request that a replica runs.
type arrival struct {
	replica, id, tenant string
	at                  time.Time
}

// replica stands in for a replica of a service.
type replica struct {
	f       *fleet
	id      string
	service string
	address string
	slots   int
	work    time.Duration // of a request; 0 streams events instead
	events  int           // of a stream
	pace    time.Duration // between events
	server  *http.Server
	running chan struct{} // a token for each request that runs
	places  chan struct{} // a token for each request that runs or waits

	mu       sync.Mutex
	arrivals []arrival
	rejected int
	version  string    // of its software
	born     time.Time // start of its process
	conns    map[net.Conn]bool
}

func newReplica(f *fleet, id, service string, i, slots int, work time.Duration) (*replica, error) {
	r := &replica{f: f, id: id, service: service, address: f.address(8, i) + ":" + replicaPort, slots: slots, work: work, events: itemEvents, pace: eventTime, version: "v1", born: time.Now(), conns: map[net.Conn]bool{},
		running: make(chan struct{}, slots), places: make(chan struct{}, slots+replicaQueue)}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", r.address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute, ConnState: r.track}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// track notes which connections are open.
func (r *replica) track(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	default:
	}
}

// end stops the process of the replica; requests in progress break off.
func (r *replica) end() { _ = r.server.Close() }

// upgrade starts the replica again under its id, with another version of its software: its connections are reset, and it holds nothing of before.
func (r *replica) upgrade(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.born = version, time.Now()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // closing resets the connection
		}
		_ = c.Close()
	}
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	if e := q.Header.Get(headerExpect); e != "" && e != r.id {
		r.f.line("%s: %s is for %s: 421", r.id, id, e)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if !r.fits(q) {
		r.reject(w, id, "larger than its memory")
		return
	}
	select {
	case r.places <- struct{}{}:
		defer func() { <-r.places }()
	default:
		r.reject(w, id, "full")
		return
	}
	select {
	case r.running <- struct{}{}:
		defer func() { <-r.running }()
	case <-q.Context().Done():
		return
	}
	r.begin(q, id)
	w.Header().Set(headerStamp, "stamp."+r.id)
	if r.work == 0 {
		r.stream(w, q)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.f.line("%s: %s was dropped by its sender", r.id, id)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id+" of "+r.service)
}

// fits reports whether the replica's memory is large enough for a request.
func (r *replica) fits(q *http.Request) bool {
	n := 0
	for t := range strings.SplitSeq(q.Header.Get(headerTokens), ",") {
		k, _ := strconv.Atoi(t)
		n += k
	}
	return n <= kvCapacity
}

// reject refuses a request that has not run.
func (r *replica) reject(w http.ResponseWriter, id, why string) {
	r.mu.Lock()
	r.rejected++
	r.mu.Unlock()
	r.f.line("%s: %s is rejected, not run: %s", r.id, id, why)
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (r *replica) begin(q *http.Request, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.f.line("%s (%s): runs %s for %q from event %q on", r.id, r.version, id, q.Header.Get(headerTenant), q.Header.Get(headerLast))
	r.arrivals = append(r.arrivals, arrival{replica: r.id, id: id, tenant: q.Header.Get(headerTenant), at: time.Now()})
}

// stream writes the events of an item, from the one after Last-Event-Id on.
func (r *replica) stream(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get(headerLast))
	r.mu.Lock()
	v := r.version
	r.mu.Unlock()
	for i := last + 1; i <= r.events; i++ {
		select {
		case <-time.After(r.pace):
		case <-q.Context().Done():
			r.f.line("%s: %s was dropped by its sender or reset at event %d", r.id, q.Header.Get(headerRequest), i)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, v, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// ran returns the requests that have run so far.
func (r *replica) ran() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
