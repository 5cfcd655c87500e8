package gateway

import (
	"net/http"
	"strings"
	"time"
)

// Activity is one request that a VM is serving.
type Activity struct {
	Area    string // engine, service or other; not the path, which could hold a secret that must not be logged
	Account string // empty until a key has been authenticated
	Since   time.Time
}

// InFlight returns the requests that are being served, in no particular order.
func (g *Gateway) InFlight() []Activity {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := make([]Activity, 0, len(g.active))
	for _, a := range g.active {
		l = append(l, *a)
	}
	return l
}

// track registers a request as in flight until the returned function is called.
func (g *Gateway) track(r *http.Request) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active[r] = &Activity{Area: areaOf(r.URL.Path), Since: time.Now()}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.active, r)
	}
}

// setAccount records the account of a request in flight.
func (g *Gateway) setAccount(r *http.Request, account string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a, ok := g.active[r]; ok {
		a.Account = account
	}
}

func areaOf(path string) string {
	switch {
	case strings.HasPrefix(path, "/v1/"):
		return "engine"
	case strings.HasPrefix(path, "/services/"):
		return "service"
	default:
		return "other"
	}
}
