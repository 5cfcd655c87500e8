package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is a request that the service has started to execute.
type Call struct {
	Method  string
	Path    string
	Query   string
	Body    string
	Header  http.Header
	Trailer http.Header
	At      time.Time
}

// Faults are the faults that a service injects; the zero value injects none.
type Faults struct {
	Refuse   bool   // responds 503 without executing the call
	Cut      bool   // executes a call and closes the connection without a response
	Silent   bool   // executes a call and never responds
	Truncate bool   // sends one byte less than Content-Length states
	Redirect string // executes a call and responds 307 with this location; empty for none
	Leaving  bool   // reports in /load that it is leaving, and responds 503
}

// Service records each call and responds with a JSON summary of it. It is safe for concurrent use.
type Service struct {
	Name   string
	Work   time.Duration // time to execute a call
	mu     sync.Mutex
	calls  []Call
	faults Faults
}

// New returns a Service that takes d to execute a call.
func New(name string, d time.Duration) *Service {
	return &Service{Name: name, Work: d}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns a copy of the calls so far, in order of arrival.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// ServeHTTP responds to GET /load with a load report and executes any other request as a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if r.URL.Path == "/load" {
		_ = json.NewEncoder(w).Encode(map[string]any{"running": 0, "leaving": f.Leaving})
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.Refuse || f.Leaving {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	n := s.record(Call{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(b),
		Header: r.Header.Clone(), Trailer: r.Trailer.Clone(), At: time.Now()})
	t := time.NewTimer(s.Work)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return
	}
	s.respond(w, r, f, map[string]any{"service": s.Name, "call": n, "path": r.URL.Path, "bytes": len(b)})
}

// record stores a call and returns its number, from 1.
func (s *Service) record(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	return len(s.calls)
}

func (s *Service) respond(w http.ResponseWriter, r *http.Request, f Faults, v any) {
	switch {
	case f.Silent:
		<-r.Context().Done()
		return
	case f.Cut:
		panic(http.ErrAbortHandler)
	case f.Redirect != "":
		http.Redirect(w, r, f.Redirect, http.StatusTemporaryRedirect)
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	n := len(b)
	if f.Truncate {
		n++
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(b)
}
