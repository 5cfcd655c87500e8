package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"snipetack/internal/coordination/access"
	"snipetack/internal/coordination/budget"
	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/httpserver"
)

// maxBody bounds an operator's request in bytes.
const maxBody = 8 << 20

// maxBodies bounds all changes that are being sent, in bytes, without a budget of the process.
const maxBodies = 4 * maxBody

// CopyProvider is the VM's copy of the configuration.
type CopyProvider interface {
	Current() *catalog.Configuration
	// Fresh reports whether the copy is recent enough to authenticate configured operators.
	Fresh() bool
}

// ChangeProvider commits a change to the control log.
type ChangeProvider interface {
	Commit(ctx context.Context, c catalog.Change) (catalog.Outcome, error)
}

// HistoryProvider reads the changes that were committed after a revision.
type HistoryProvider interface {
	History(ctx context.Context, after uint64) ([]catalog.Applied, error)
}

// Deps are the dependencies of a Server.
type Deps struct {
	Copy    CopyProvider
	Change  ChangeProvider
	History HistoryProvider
	Reports ReportProvider
	Token   [32]byte // digest of the fleet's token, which needs no configured operator and no fresh copy
	Log     *slog.Logger
}

// Server serves operators' requests over HTTP and authenticates each by its bearer token.
type Server struct {
	d      Deps
	mux    *http.ServeMux
	bodies *httpserver.Bodies
}

// New returns a Server with the routes for the configuration and the VMs. The Mount functions add others.
func New(d Deps) *Server {
	s := &Server{d: d, mux: http.NewServeMux(), bodies: httpserver.NewBodies(maxBody, maxBodies)}
	s.mux.HandleFunc("GET /operator/v1/configuration", s.authenticated(s.configuration))
	s.mux.HandleFunc("POST /operator/v1/changes", s.authenticated(s.change))
	s.mux.HandleFunc("GET /operator/v1/history", s.authenticated(s.history))
	s.mux.HandleFunc("GET /operator/v1/vms", s.authenticated(s.reports))
	s.mux.HandleFunc("POST /operator/v1/vms/{vm}/drain", s.authenticated(s.drainVM))
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reply.Failure(w, result.New(result.UnknownRoute, "no route %s", r.URL.Path))
	})
	return s
}

// Mount adds a handler for a pattern of http.ServeMux. It is called with the operator's name, and only for authenticated
// requests, whose bodies are limited to maxBody.
func (s *Server) Mount(pattern string, f func(w http.ResponseWriter, r *http.Request, operator string)) {
	s.mux.HandleFunc(pattern, s.authenticated(f))
}

// Handler returns the operators' HTTP interface.
func (s *Server) Handler() http.Handler {
	return s.mux
}

// authenticated returns a handler that authenticates the request and bounds its body before it calls f.
func (s *Server) authenticated(f func(w http.ResponseWriter, r *http.Request, operator string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := s.authenticate(r)
		if err != nil {
			reply.Failure(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		f(w, r, n)
	}
}

// authenticate returns the name of the request's operator, or "fleet" for the fleet's token. Operators of a copy that is
// not fresh are refused, as a newer revision may have removed them.
func (s *Server) authenticate(r *http.Request) (string, error) {
	d := access.Digest(access.Bearer(r.Header.Get("Authorization")))
	if subtle.ConstantTimeCompare(d[:], s.d.Token[:]) == 1 {
		return "fleet", nil
	}
	for _, o := range s.d.Copy.Current().Operators {
		if subtle.ConstantTimeCompare(d[:], o.Digest[:]) != 1 {
			continue
		}
		if !s.d.Copy.Fresh() {
			return "", result.New(result.NotReady, "the operator may have been removed; only the fleet's token works here now")
		}
		return o.Name, nil
	}
	return "", result.New(result.OperatorWrong, "send an operator's token as a bearer token")
}

func (s *Server) configuration(w http.ResponseWriter, _ *http.Request, _ string) {
	reply.JSON(w, http.StatusOK, configurationOf(s.d.Copy.Current()))
}

// Memory that a decoded change takes beside its bytes.
const (
	opBytes    = 600 // an operation, and the lists that it was copied from while they grew
	fieldBytes = 64  // a field or an element of a list
)

// changeWeight returns the bytes that a change takes while it is decoded.
func changeWeight(b []byte) int64 {
	x := budget.ShapeOf(b)
	return opBytes*int64(x.Objects) + fieldBytes*int64(x.Fields+x.Elements)
}

func (s *Server) change(w http.ResponseWriter, r *http.Request, operator string) {
	var q changeRequest
	b, release, f := s.bodies.Read(w, r)
	if f == nil {
		defer release()
		f = httpserver.Reserve(r.Context(), changeWeight(b))
	}
	if f != nil {
		reply.Failure(w, f)
		return
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		reply.Failure(w, result.New(result.MalformedRequest, "the change can't be read: %v", err))
		return
	}
	c, err := q.change()
	if err != nil {
		reply.Failure(w, err)
		return
	}
	c.Author = operator
	c.At = time.Now()
	o, err := s.d.Change.Commit(r.Context(), c)
	if err != nil {
		reply.Failure(w, err)
		return
	}
	s.d.Log.Info("change", "id", c.ID, "operator", operator, "code", int(o.Code), "revision", o.Revision)
	reply.JSON(w, o.Code.Meaning().Status, outcomeOf(o))
}
