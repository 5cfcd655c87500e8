package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Speed of a replica.
const (
	slots     = 8
	queue     = 24
	stride    = 6 // tokens of an event
	eventTime = 20 * time.Millisecond
)

// replica stands in for a model replica: it runs requests one in each slot and streams their events.
type replica struct {
	*record
	id, address, zone string
	slots             chan struct{}

	mu      sync.Mutex
	waiting int
	begun   map[string]int // runs, by request id
}

func newReplica(r *record, id, address, zone string) *replica {
	return &replica{record: r, id: id, address: address, zone: zone, slots: make(chan struct{}, slots), begun: map[string]int{}}
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
	c := http.NewResponseController(w)
	for i := last + 1; i <= (tokens+stride-1)/stride; i++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %s\n\n", i, i, id); err != nil {
			return
		}
		if c.Flush() != nil {
			return
		}
	}
}
