package questionnaire

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"snipetack/internal/state/catalog"
)

// environment is what a team's answers are checked against: the current configuration and the other teams' answers.
type environment struct {
	current *catalog.Configuration
	others  []Answers
	own     map[entry]bool // entries that the team's stored answers generate
}

// entry identifies a generated table entry.
type entry struct {
	table catalog.Table
	name  string
}

func newEnvironment(team string, c *catalog.Configuration) (environment, error) {
	s := environment{current: c, own: map[entry]bool{}}
	for _, n := range sortedNames(c.Answers) {
		a, err := Decode("stored answers of "+n, c.Answers[n].Document)
		if err != nil {
			return s, err
		}
		if n != team {
			s.others = append(s.others, a)
			continue
		}
		for _, e := range a.entries() {
			s.own[e] = true
		}
	}
	return s, nil
}

// check verifies the team's answers against the environment.
func (s environment) check(a Answers) error {
	if err := s.checkOwners(a); err != nil {
		return err
	}
	if err := s.checkRoutes(a); err != nil {
		return err
	}
	for i, w := range a.Workloads {
		p := fmt.Sprintf("workloads[%d]", i)
		if err := s.checkReferences(a, p, w); err != nil {
			return err
		}
		if err := s.checkDemand(a, p, w); err != nil {
			return err
		}
	}
	if err := s.checkAccountRates(a); err != nil {
		return err
	}
	return s.checkOtherTeams(a)
}

// checkOtherTeams rejects answers that break references in another team's answers, such as to a service that they remove.
func (s environment) checkOtherTeams(a Answers) error {
	for i, o := range s.others {
		// Team o's answers are checked against a and those of all other teams but o, which are at index i+1.
		n := environment{current: s.current, others: append([]Answers{a}, s.others...)}
		n.others = append(n.others[:i+1], n.others[i+2:]...)
		err := n.checkRoutes(o)
		for j := 0; err == nil && j < len(o.Workloads); j++ {
			err = n.checkReferences(o, fmt.Sprintf("workloads[%d]", j), o.Workloads[j])
		}
		if err != nil {
			return errors.Wrapf(err, "team %q would be left with a wrong answer", o.Team)
		}
	}
	return nil
}

// checkOwners rejects names and route paths that another team uses, or that were configured without answers.
func (s environment) checkOwners(a Answers) error {
	for _, p := range a.locatedEntries() {
		if s.own[p.entry] || !exists(s.current, p.entry) {
			continue
		}
		if t := s.owner(p.entry); t != "" {
			return a.problem(p.path, "%q already belongs to team %q", p.name, t)
		}
		return a.problem(p.path, "%q is already in use and no team's answers hold it", p.name)
	}
	for i, r := range a.Routes {
		for _, c := range s.current.Routes {
			if c.PathPrefix == r.Path && c.Name != r.Name && !s.own[entry{catalog.Routes, c.Name}] {
				return a.problem(fmt.Sprintf("routes[%d].path", i), "%q is already the path of route %q", r.Path, c.Name)
			}
		}
	}
	return nil
}

func (s environment) checkRoutes(a Answers) error {
	for i, r := range a.Routes {
		p := fmt.Sprintf("routes[%d]", i)
		if r.Service != "" {
			v, ok := s.service(a, r.Service)
			if !ok {
				return a.problem(p+".service", "service %q is not known", r.Service)
			}
			if v.Kind != kindPlain {
				return a.problem(p+".service", "service %q is an engine; use a path under %s", r.Service, enginePath)
			}
		}
		for j, n := range r.Accounts {
			if !s.account(a, n) {
				return a.problem(fmt.Sprintf("%s.accounts[%d]", p, j), "account %q is not known", n)
			}
		}
	}
	return nil
}

// checkReferences verifies that a workload's account is the team's own, and that its route and model exist and fit it.
func (s environment) checkReferences(a Answers, p string, w Workload) error {
	if _, ok := a.account(w.Account); !ok {
		return a.problem(p+".account", "account %q is not in these answers", w.Account)
	}
	r, ok := s.route(a, w.Route)
	if !ok && w.Route != "" {
		return a.problem(p+".route", "route %q is not known", w.Route)
	}
	if len(r.Accounts) > 0 && !slices.Contains(r.Accounts, w.Account) {
		return a.problem(p+".route", "route %q does not admit account %q", w.Route, w.Account)
	}
	if w.Kind == kindBatch && r.Service != "" {
		return a.problem(p+".route", "batch work needs an engine route, and %q leads to service %q", w.Route, r.Service)
	}
	if _, ok := s.target(a, r, w); !ok {
		return a.problem(p, "workload %q needs a model that a service serves, not %q", w.Name, w.Model)
	}
	return nil
}

// checkDemand rejects a workload whose demand is above the account's rate or the service's capacity. Leaving upstreams
// count, so that draining one does not make a team's answers invalid; warnings leaves them out.
func (s environment) checkDemand(a Answers, p string, w Workload) error {
	c, _ := a.account(w.Account)
	r, _ := s.route(a, w.Route)
	v, _ := s.target(a, r, w)
	switch {
	case w.Kind == kindOnline && w.Rate > c.Rate:
		return a.problem(p+".requests_per_second", "%g a second is above the rate %g of account %q", w.Rate, c.Rate, c.Name)
	case w.Kind == kindBatch && c.BatchRate > 0 && w.Demand() > c.BatchRate:
		return a.problem(p+".items", "%g items a second are needed to finish in time, above the batch rate %g of account %q", w.Demand(), c.BatchRate, c.Name)
	case w.Demand() > v.Capacity():
		return a.problem(demandPath(p, w), "%g a second is above the capacity of service %q, %g a second", w.Demand(), v.Name, v.Capacity())
	}
	return nil
}

// checkAccountRates rejects an account whose rate is above the capacity of all services together.
func (s environment) checkAccountRates(a Answers) error {
	total := 0.0
	for _, v := range s.services(a) {
		total += v.Capacity()
	}
	for i, c := range a.Accounts {
		if c.Rate > total {
			return a.problem(fmt.Sprintf("accounts[%d].rate_per_second", i), "%g is above the capacity of all services, %g a second", c.Rate, total)
		}
	}
	return nil
}

func demandPath(p string, w Workload) string {
	if w.Kind == kindBatch {
		return p + ".items"
	}
	return p + ".requests_per_second"
}

// owner returns the other team whose answers generate an entry, or an empty string.
func (s environment) owner(e entry) string {
	for _, o := range s.others {
		for _, x := range o.entries() {
			if x == e {
				return o.Team
			}
		}
	}
	return ""
}

// services returns the services in all teams' answers, with a in place of the team's stored answers.
func (s environment) services(a Answers) []Service {
	l := append([]Service(nil), a.Services...)
	for _, o := range s.others {
		l = append(l, o.Services...)
	}
	return l
}

func (s environment) service(a Answers, name string) (Service, bool) {
	return find(s.services(a), func(v Service) bool { return v.Name == name })
}

// route returns the route with a name, or the zero Route and false, also for a workload that names no route.
func (s environment) route(a Answers, name string) (Route, bool) {
	l := append([]Route(nil), a.Routes...)
	for _, o := range s.others {
		l = append(l, o.Routes...)
	}
	return find(l, func(r Route) bool { return r.Name == name })
}

func (s environment) account(a Answers, name string) bool {
	l := append([]Account(nil), a.Accounts...)
	for _, o := range s.others {
		l = append(l, o.Accounts...)
	}
	_, ok := find(l, func(x Account) bool { return x.Name == name })
	return ok
}

// target returns the service that a workload's requests go to: that of its route, or else the one that serves its model.
func (s environment) target(a Answers, r Route, w Workload) (Service, bool) {
	if r.Service != "" {
		return s.service(a, r.Service)
	}
	return find(s.services(a), func(v Service) bool { return slices.Contains(v.Models, w.Model) })
}

func (a Answers) account(name string) (Account, bool) {
	return find(a.Accounts, func(c Account) bool { return c.Name == name })
}

func find[T any](l []T, f func(T) bool) (T, bool) {
	for _, v := range l {
		if f(v) {
			return v, true
		}
	}
	var none T
	return none, false
}
