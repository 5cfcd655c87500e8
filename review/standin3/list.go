package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is by how much the list lags behind the upstreams.
const listLag = 800 * time.Millisecond

// instance is an entry of the list.
type instance struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Addr       string  `json:"addr"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMs float64 `json:"coldLeftMs"`
	Born       int64   `json:"born"`
}

// list serves the platform's list of upstreams, which shows each change listLag later.
type list struct {
	s   *http.Server
	log *recorder

	mu    sync.Mutex
	shown map[string]instance // by id
	added []instance          // by another writer
}

func serveList(address string, log *recorder) (*list, error) {
	n, err := net.Listen("tcp4", address) //nolint:noctx // it lasts as long as the process
	if err != nil {
		return nil, err
	}
	l := &list{log: log, shown: map[string]instance{}}
	m := http.NewServeMux()
	m.HandleFunc("GET /instances", l.serve)
	l.s = &http.Server{Handler: m, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = l.s.Serve(n) }()
	return l, nil
}

func (l *list) close() { _ = l.s.Close() }

// set shows an instance from listLag from now on.
func (l *list) set(i instance) {
	time.AfterFunc(listLag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.shown[i.ID] = i
		l.log.printf("the list shows %s with version %s, born %d", i.ID, i.Version, i.Born)
	})
}

// add shows an entry of another writer after the others.
func (l *list) add(i instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.added = append(l.added, i)
	l.log.printf("the list also shows %s of service %s at %s", i.ID, i.Service, i.Addr)
}

func (l *list) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	all := []instance{}
	for _, i := range l.shown {
		all = append(all, i)
	}
	all = append(all, l.added...)
	l.mu.Unlock()
	b, err := json.Marshal(map[string]any{"instances": all, "nextToken": nil})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
