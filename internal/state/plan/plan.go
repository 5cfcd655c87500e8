package plan

import (
	"strings"
	"time"
)

// Kind tells what of a request may be repeated.
type Kind uint8

// The kinds of routes.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // may run more than once
	Stream             // answers with a series of events
	Batch              // takes jobs of many items
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream", "batch"}[k]
}

// Plan is one whole configuration.
type Plan struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Accounts map[string]Account
	Limits   Limits

	keys  map[string]string   // account by key
	hosts map[string][]*Route // longest prefix first
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Kind       Kind
	Timeout    time.Duration // a caller is kept waiting no longer
	Objective  time.Duration // of the first byte
	GapLimit   time.Duration // longest pause between events that is still on time
	Priority   int           // 0 is the most urgent
	Targets    []Target
	Attempts   int  // upstreams that one request may be sent to
	Public     bool // needs no key
	Sticky     bool
	Resumable  bool          // a stream may go on at another upstream
	Due        time.Duration // from a job's first arrival to its results
	GiveUp     time.Duration // from a job's first arrival until an item may be given up
	MaxWaiting int           // tokens of an account that may wait; 0 is no limit
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a pool of upstreams.
type Service struct {
	Name     string
	Health   string // path of the health check
	MaxConns int    // connections of one upstream, from all callers
	Slots    int    // requests that a model engine runs at once; 0 for plain services
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority int
	Rate     float64 // requests a second over the whole fleet; 0 is no limit
	Burst    float64 // requests
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Index prepares a plan for look-ups; it is called once, before the plan is shared.
func (p *Plan) Index() {
	p.keys = map[string]string{}
	for _, a := range p.Accounts {
		for _, k := range a.Keys {
			p.keys[k] = a.Name
		}
	}
	p.hosts = map[string][]*Route{}
	for i := range p.Routes {
		r := &p.Routes[i]
		p.hosts[r.Host] = insertLongest(p.hosts[r.Host], r)
	}
}

func insertLongest(l []*Route, r *Route) []*Route {
	i := 0
	for i < len(l) && len(l[i].Prefix) >= len(r.Prefix) {
		i++
	}
	l = append(l, nil)
	copy(l[i+1:], l[i:])
	l[i] = r
	return l
}

// Route returns the route with the longest prefix that begins a path, or nil.
func (p *Plan) Route(host, path string) *Route {
	for _, r := range p.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AccountOf returns the account that holds a key.
func (p *Plan) AccountOf(key string) (Account, bool) {
	n, ok := p.keys[key]
	if !ok {
		return Account{}, false
	}
	return p.Accounts[n], true
}
