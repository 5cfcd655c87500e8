package quota

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/group"
	"snipetack/internal/state/result"
)

// leaseInterval is the time between two checks of the lease.
const leaseInterval = 100 * time.Millisecond

// LeaseProvider reports whether this keeper leads a group.
//
// If ok is true, no other keeper leads the group before until, everything that earlier leaders committed is applied
// here, and the term is higher than that of any earlier leader. The Server makes one call at a time.
type LeaseProvider interface {
	Lease(group uint32) (term uint64, until time.Time, ok bool)
}

// ConfigurationProvider reads the applied configuration.
type ConfigurationProvider interface {
	Current() *catalog.Configuration
	Changed() <-chan struct{}
}

// ServerDeps are the collaborators of a Server.
type ServerDeps struct {
	Leases        LeaseProvider
	Configuration ConfigurationProvider
	Log           *slog.Logger
}

// Server is the quota owner while its keeper leads the control group; it is safe for concurrent use.
type Server struct {
	d        ServerDeps
	mu       sync.Mutex
	owner    *Owner
	revision uint64
	term     uint64
}

// NewServer returns the Server of a keeper. Create one per process, since its Owner must see all changes of limits.
func NewServer(d ServerDeps) *Server {
	return &Server{d: d, owner: NewOwner(time.Now())}
}

// Run applies changes of the configuration and the lease until ctx ends, so that buckets fill before the first token
// request.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(leaseInterval)
	defer t.Stop()
	for {
		c := s.d.Configuration.Changed()
		s.refresh()
		select {
		case <-c:
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Grant serves one VM's token request, or fails with code NoQuorum when this keeper is not the owner.
func (s *Server) Grant(a TokenRequest) (TokenResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.checkLease()
	if !ok {
		return TokenResponse{}, result.New(result.NoQuorum, "this keeper is not the quota owner")
	}
	return s.owner.Grant(n, a), nil
}

// refresh applies the current lease and configuration; the Owner gets new limits also while another keeper leads.
func (s *Server) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.checkLease(); !ok {
		s.configure(n)
	}
}

// checkLease returns the current time and whether this keeper is the owner then. If it is, the Owner has the current
// limits and term on return.
func (s *Server) checkLease() (time.Time, bool) {
	term, until, ok := s.d.Leases.Lease(group.Control)
	n := time.Now()
	if !ok || !n.Before(until) {
		return n, false
	}
	s.configure(n)
	if term != s.term {
		s.term = term
		s.d.Log.Info("became the quota owner", "term", term, "reason", "control_lease")
	}
	s.owner.Lead(n, term)
	return n, true
}

func (s *Server) configure(now time.Time) {
	c := s.d.Configuration.Current()
	if c.Revision == s.revision {
		return
	}
	s.revision = c.Revision
	s.owner.Configure(now, Limits(c))
}
