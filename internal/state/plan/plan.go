package plan

import (
	"slices"
	"strings"
	"time"
)

// Kind is how a route's requests are executed, and whether that may happen more than once.
type Kind uint8

// The kinds of routes.
const (
	Unsafe Kind = iota // executed at most once
	Safe               // may be executed more than once
	Stream             // the response is a stream of events
	Batch              // accepts batch jobs of many items
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "stream", "batch"}[k]
}

// Plan is one complete configuration. Index must be called before look-ups; after that it is never modified.
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
	Timeout    time.Duration // max time for which a caller waits for the response
	Objective  time.Duration // target for the time to the first byte
	GapLimit   time.Duration // target for the longest pause between a stream's events
	Patience   time.Duration // from a stream's request or event to the next one, after which its caller leaves; 0 is unlimited
	Priority   int           // 0 is the most urgent
	Targets    []Target
	Attempts   int           // max upstreams that one request may be sent to; below 1 counts as 1
	Public     bool          // needs no key
	Sticky     bool          // without effect so far
	Resumable  bool          // a stream may be continued at another upstream
	Due        time.Duration // from a job's first arrival until its results are due
	GiveUp     time.Duration // from a job's first arrival until an item may be given up; 0 is never
	MaxWaiting int           // max tokens of an account's open items on the route; 0 is no limit
	Homes      Homes
}

// Target is a service and its weight in the choice among a route's targets.
type Target struct {
	Service string
	Weight  float64
}

// Service is a pool of upstreams.
type Service struct {
	Name     string
	Health   string  // path of the health check
	MaxConns int     // max connections to one upstream, from all callers together
	Slots    int     // requests that a model engine runs concurrently; 0 for plain services
	ColdRate float64 // requests per second that an upstream takes while it is cold; 0 is no limit
	Memory   int     // tokens that fit into one model engine, of prompts and responses; 0 if unknown
}

// Account is a client account.
type Account struct {
	Name     string
	Keys     []string
	Priority int     // used instead of the route's
	Rate     float64 // requests per second over the whole fleet; 0 is no limit
	Burst    float64 // size of the token bucket in requests
	Homes    Homes
}

// Limits bound what a caller may send; 0 sets no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Index prepares a plan for look-ups. It must be called exactly once, before the plan is shared.
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
		p.hosts[r.Host] = insertByPrefixLength(p.hosts[r.Host], r)
	}
}

// insertByPrefixLength inserts r into l, which has the longest prefix first.
func insertByPrefixLength(l []*Route, r *Route) []*Route {
	i := 0
	for i < len(l) && len(l[i].Prefix) >= len(r.Prefix) {
		i++
	}
	l = append(l, nil)
	copy(l[i+1:], l[i:])
	l[i] = r
	return l
}

// Route returns the host's route with the longest Prefix that path starts with, or nil.
func (p *Plan) Route(host, path string) *Route {
	for _, r := range p.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Holding returns the targets of a route whose upstreams have the memory for a request of so many tokens. Those of unknown
// memory count as large enough.
func (p *Plan) Holding(r *Route, tokens int) []Target {
	holds := func(t Target) bool {
		m := p.Services[t.Service].Memory
		return m == 0 || tokens <= m
	}
	if !slices.ContainsFunc(r.Targets, func(t Target) bool { return !holds(t) }) {
		return r.Targets
	}
	var l []Target
	for _, t := range r.Targets {
		if holds(t) && t.Weight > 0 {
			l = append(l, t)
		}
	}
	return l
}

// AccountOf returns the account that a key belongs to.
func (p *Plan) AccountOf(key string) (Account, bool) {
	n, ok := p.keys[key]
	if !ok {
		return Account{}, false
	}
	return p.Accounts[n], true
}
