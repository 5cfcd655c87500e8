package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Speed of a replica.
const (
	slots       = 8
	queue       = 24
	stride      = 6 // tokens of an event
	eventTime   = 20 * time.Millisecond
	listLag     = 800 * time.Millisecond // of the list
	idleTimeout = 1 * time.Second        // after which an idle connection is closed
	maxHead     = 16 << 20               // bytes of a head
	shortPath   = "/puxa403/"            // of requests with a short answer, which take no slot
)

// replica stands in for a model replica: it runs requests one in each slot and streams their events.
type replica struct {
	*record
	id, address, zone string
	slots             chan struct{}

	mu      sync.Mutex
	waiting int
	begun   map[string]int // runs, by request id
	version string         // of its software
	shown   []entry        // what the list shows, the newest last
	server  *http.Server
	short   []arrival
	seen    []headersSeen
}

func newReplica(r *record, id, address, zone string) *replica {
	return &replica{record: r, id: id, address: address, zone: zone, slots: make(chan struct{}, slots), begun: map[string]int{}}
}

// entry is what the list says of a replica from some time on.
type entry struct {
	from    time.Time
	version string
	born    time.Time
}

// start lets the replica serve with a version of its software.
func (p *replica) start(version string) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.address)
	if err != nil {
		return err
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	e := entry{from: now.Add(listLag), version: version, born: now}
	if len(p.shown) == 0 {
		e.from = now
	}
	p.version, p.shown = version, append(p.shown, e)
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: maxHead, IdleTimeout: idleTimeout}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	return nil
}

// stop lets the replica crash: its connections end at once.
func (p *replica) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.server.Close()
}

// listed returns what the list shows of the replica.
func (p *replica) listed() entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.shown[0]
	for _, n := range p.shown {
		if !n.from.After(time.Now()) {
			e = n
		}
	}
	return e
}

// softwareVersion returns the version that the replica runs.
func (p *replica) softwareVersion() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}

// headers returns what came with the streams and items that have run.
func (p *replica) headers() []headersSeen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.seen)
}

// arrival is a request with a short answer.
type arrival struct {
	id string
	at time.Time
}

// arrivals returns the requests with short answers that have run.
func (p *replica) arrivals() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.short)
}

// answer runs a request with a short answer.
func (p *replica) answer(w http.ResponseWriter, id string) {
	p.mu.Lock()
	p.short = append(p.short, arrival{id, time.Now()})
	p.mu.Unlock()
	w.Header().Set("X-Snipetack-Server-Stamp", "stamp."+p.id+"."+id)
	_, _ = io.WriteString(w, "done")
}

func (p *replica) addWaiting(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
	return p.waiting
}

// ServeHTTP serves the health check and requests.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Snipetack-Server-Load", fmt.Sprintf("%d,%d,%d", len(p.slots), p.addWaiting(0), slots))
	if r.URL.Path == "/health" {
		h.Set("X-Snipetack-Instance-Id", p.id)
		return
	}
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	id := r.Header.Get("X-Snipetack-Request-Id")
	h.Set("X-Snipetack-Request-Id", id)
	if e := r.Header.Get("X-Snipetack-Expect-Instance"); e != "" && e != p.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if strings.HasPrefix(r.URL.Path, shortPath) {
		p.answer(w, id)
		return
	}
	if p.addWaiting(1) > queue {
		p.addWaiting(-1)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case p.slots <- struct{}{}:
		p.addWaiting(-1)
	case <-r.Context().Done():
		p.addWaiting(-1)
		return
	}
	defer func() { <-p.slots }()
	p.stream(w, r, id)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Snipetack-Not-Run", "1")
	w.WriteHeader(status)
}

// stream runs a request: an event for each stride of its tokens, from Last-Event-Id on.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	p.mu.Lock()
	p.begun[id]++
	p.seen = append(p.seen, headersSeen{id, r.Header.Get("X-Snipetack-Tenant"), r.Header.Get("X-Api-Key")})
	p.mu.Unlock()
	_, out, _ := strings.Cut(r.Header.Get("X-Snipetack-Token-Count"), ",")
	tokens, err := strconv.Atoi(out)
	if err != nil {
		tokens = stride
	}
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	w.Header().Set("X-Snipetack-Server-Stamp", "stamp."+p.id+"."+id)
	w.Header().Set("X-Snipetack-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	version := p.softwareVersion()
	c := http.NewResponseController(w)
	for i := last + 1; i <= (tokens+stride-1)/stride; i++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s by %s\n\n", i, i, id, version); err != nil {
			return
		}
		if c.Flush() != nil {
			return
		}
	}
}
