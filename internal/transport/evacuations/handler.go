package evacuations

import (
	"context"
	"encoding/json"
	"net/http"

	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
)

// Path is the path of the list of evacuations; that of a data centre follows after a slash.
const Path = "/v1/evacuations"

// Names of the states on the wire.
const (
	stateEvacuated = "evacuated"
	stateEnded     = "ended"
)

// ControlProvider orders and reads evacuations.
type ControlProvider interface {
	// Evacuate lets no VM start anything at the upstreams of a data centre.
	Evacuate(ctx context.Context, zone string) error
	// EndEvacuation revokes Evacuate.
	EndEvacuation(ctx context.Context, zone string) error
	// Evacuations returns the newest committed evacuations and their revision.
	Evacuations(ctx context.Context) (revision uint64, l []plan.Evacuation, err error)
}

// List is what is known of evacuations, as on the wire.
type List struct {
	Revision    uint64  `json:"revision"`
	Evacuations []Entry `json:"evacuations"`
}

// Entry is a data centre that is or was evacuated, as on the wire.
type Entry struct {
	Zone     string `json:"zone"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
}

// wireFailure is the body of an error response.
type wireFailure struct {
	Code  int    `json:"code"`
	Name  string `json:"name"`
	Error string `json:"error"`
}

// Handler returns a handler that serves GET of the list, and PUT and DELETE of a data centre to start and to end its evacuation. Other paths are
// served by next.
func Handler(c ControlProvider, next http.Handler) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+Path, func(w http.ResponseWriter, r *http.Request) {
		revision, l, err := c.Evacuations(r.Context())
		respond(w, err, encode(revision, l))
	})
	m.HandleFunc("PUT "+Path+"/{zone}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, c.Evacuate(r.Context(), r.PathValue("zone")), struct{}{})
	})
	m.HandleFunc("DELETE "+Path+"/{zone}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, c.EndEvacuation(r.Context(), r.PathValue("zone")), struct{}{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := m.Handler(r); pattern == "" {
			next.ServeHTTP(w, r)
			return
		}
		m.ServeHTTP(w, r)
	})
}

func encode(revision uint64, l []plan.Evacuation) List {
	x := List{Revision: revision, Evacuations: []Entry{}}
	for _, e := range l {
		state := stateEvacuated
		if e.Ended {
			state = stateEnded
		}
		x.Evacuations = append(x.Evacuations, Entry{Zone: e.Zone, State: state, Revision: e.Revision})
	}
	return x
}

// respond sends v, or the failure with its status.
func respond(w http.ResponseWriter, err error, v any) {
	status := http.StatusOK
	if err != nil {
		f := result.Of(err)
		m := f.Code.Meaning()
		status, v = m.Status, wireFailure{Code: int(f.Code), Name: m.Name, Error: f.Error()}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only when the operator has disconnected
}
