package batches

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// Numbers of entries in a page of a listing.
const (
	defaultPageSize = 20
	maxPageSize     = 100
)

// AccessProvider authenticates a request.
type AccessProvider interface {
	Authenticate(r *http.Request) (catalog.Account, catalog.Key, error)
}

// MountProvider registers HTTP handlers.
type MountProvider interface {
	Mount(pattern string, h http.Handler)
}

// CopyProvider returns the VM's copy of the configuration.
type CopyProvider interface {
	Current() *catalog.Configuration
}

// Deps are the dependencies of an API.
type Deps struct {
	Client *Client
	Access AccessProvider
	Copy   CopyProvider
	VMs    []string // all VMs of the fleet
	Log    *slog.Logger
}

// API serves the files and batches endpoints to client accounts.
type API struct {
	d Deps
}

// New returns an API; Mount makes it serve.
func New(d Deps) *API {
	return &API{d: d}
}

// Mount registers the handlers of all endpoints.
func (i *API) Mount(m MountProvider) {
	m.Mount("POST /v1/files", i.authenticated(i.upload))
	m.Mount("GET /v1/files", i.authenticated(i.files))
	m.Mount("GET /v1/files/{id}", i.authenticated(i.file))
	m.Mount("DELETE /v1/files/{id}", i.authenticated(i.deleteFile))
	m.Mount("GET /v1/files/{id}/content", i.authenticated(i.content))
	m.Mount("POST /v1/batches", i.authenticated(i.create))
	m.Mount("GET /v1/batches", i.authenticated(i.jobs))
	m.Mount("GET /v1/batches/{id}", i.authenticated(i.job))
	m.Mount("POST /v1/batches/{id}/cancel", i.authenticated(i.cancel))
}

type handler func(w http.ResponseWriter, r *http.Request, a catalog.Account) error

// authenticated calls f with the account that the request authenticates and sends errors as failure responses.
func (i *API) authenticated(f handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, _, err := i.d.Access.Authenticate(r)
		if err == nil {
			err = f(w, r, a)
		}
		if err != nil {
			reply.Failure(w, err)
		}
	})
}

// findFile returns a file of the account, or FileUnknown when the account has none with this id.
func (i *API) findFile(ctx context.Context, account, id string) (ledger.File, error) {
	a, err := i.d.Client.ReadLatest(ctx, ledger.Query{Subject: ledger.OneFile, Account: account, ID: id})
	if err != nil {
		return ledger.File{}, err
	}
	if len(a.Files) == 0 {
		return ledger.File{}, result.New(result.FileUnknown, "account %s has no file %q", account, id)
	}
	return a.Files[0], nil
}

// pageQuery returns a query for the page that the parameters after and limit select; limit is capped at maxPageSize.
func pageQuery(r *http.Request, s ledger.Subject, account string) (ledger.Query, error) {
	q := ledger.Query{Subject: s, Account: account, After: r.URL.Query().Get("after"), Limit: defaultPageSize}
	v := r.URL.Query().Get("limit")
	if v == "" {
		return q, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 {
		return q, result.New(result.MalformedRequest, "limit is not a positive number")
	}
	q.Limit = min(n, maxPageSize)
	return q, nil
}

func newID(prefix string) string {
	return prefix + uuid.NewString()
}
