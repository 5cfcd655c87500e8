package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// list is the platform's list of replicas.
type list struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	entries []string // JSON, or what another writer has left there
}

func newList(address string) (*list, error) {
	n, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &list{address: address}
	m := http.NewServeMux()
	m.HandleFunc("GET /instances", l.serve)
	l.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(n) }()
	return l, nil
}

// set replaces all entries.
func (l *list) set(entries ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

func (l *list) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"instances":[%s],"nextToken":null}`, strings.Join(l.entries, ","))
}

func (l *list) close() { _ = l.server.Close() }

// entry returns the complete entry of a replica.
func (r *replica) entry(state string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf(`{"service":%q,"addr":%q,"zone":"ch-mitte-a","version":%q,"slots":%d,"state":%q,"coldLeftMs":0,"id":%q,"born":%d}`,
		r.service, r.address, r.version, r.slots, state, r.id, r.born.UnixMilli())
}
