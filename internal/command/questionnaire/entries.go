package questionnaire

import (
	"fmt"
	"maps"
	"slices"

	"snipetack/internal/state/catalog"
)

// locatedEntry is an entry with the path of the answer that names it.
type locatedEntry struct {
	entry
	path string
}

// entries returns the entries that the answers generate.
func (a Answers) entries() []entry {
	var l []entry
	for _, p := range a.locatedEntries() {
		l = append(l, p.entry)
	}
	return l
}

func (a Answers) locatedEntries() []locatedEntry {
	var l []locatedEntry
	add := func(t catalog.Table, name, path string) {
		l = append(l, locatedEntry{entry{t, name}, path + ".name"})
	}
	for i, s := range a.Services {
		p := fmt.Sprintf("services[%d]", i)
		add(catalog.Services, s.Name, p)
		for j, u := range s.Upstreams {
			add(catalog.Upstreams, u.Name, fmt.Sprintf("%s.upstreams[%d]", p, j))
		}
	}
	for i, c := range a.Accounts {
		add(catalog.Accounts, c.Name, fmt.Sprintf("accounts[%d]", i))
	}
	for i, r := range a.Routes {
		add(catalog.Routes, r.Name, fmt.Sprintf("routes[%d]", i))
	}
	return l
}

// exists reports whether the configuration has an entry.
func exists(c *catalog.Configuration, e entry) bool {
	ok := false
	switch e.table {
	case catalog.Accounts:
		_, ok = c.Accounts[e.name]
	case catalog.Routes:
		_, ok = c.Routes[e.name]
	case catalog.Services:
		_, ok = c.Services[e.name]
	case catalog.Upstreams:
		_, ok = c.Upstreams[e.name]
	}
	return ok
}

// Entries returns the edits that create all entries generated from the answers. Keys and the answers themselves are not
// among them.
func Entries(a Answers) []catalog.Op {
	var l []catalog.Op
	for _, s := range a.Services {
		l = append(l, catalog.Op{Service: s.entry()})
		for _, u := range s.Upstreams {
			l = append(l, catalog.Op{Upstream: s.upstream(u)})
		}
	}
	for _, c := range a.Accounts {
		l = append(l, catalog.Op{Account: c.entry()})
	}
	for _, r := range a.Routes {
		l = append(l, catalog.Op{Route: r.entry()})
	}
	return l
}

func (s Service) entry() *catalog.Service {
	var l []catalog.Artifact
	for _, a := range s.Artifacts {
		l = append(l, catalog.Artifact(a))
	}
	return &catalog.Service{
		Artifacts:       l,
		Name:            s.Name,
		Kind:            catalog.ServiceKind(s.Kind),
		Models:          s.Models,
		ProgressTimeout: s.ProgressTimeout,
		Deadline:        s.Deadline,
		QueueLimit:      s.QueueLimit,
	}
}

func (s Service) upstream(u Upstream) *catalog.Upstream {
	return &catalog.Upstream{
		Name:          u.Name,
		Service:       s.Name,
		Address:       u.Address,
		DataCentre:    u.DataCentre,
		Slots:         s.UpstreamSlots,
		ChecksFencing: s.ChecksFencing,
		Leaving:       u.Leaving,
		Memory:        s.UpstreamMemory,
		Role:          u.Role,
	}
}

func (c Account) entry() *catalog.Account {
	return &catalog.Account{
		Name:         c.Name,
		Rate:         c.Rate,
		Burst:        c.Burst,
		BatchRate:    c.BatchRate,
		BatchBurst:   c.BatchBurst,
		Weight:       c.Weight,
		ResendWindow: c.ResendWindow,
	}
}

func (r Route) entry() *catalog.Route {
	return &catalog.Route{
		Name:       r.Name,
		PathPrefix: r.Path,
		Service:    r.Service,
		Open:       r.Open,
		Repeatable: r.MayRepeat,
		Accounts:   r.Accounts,
	}
}

func sortedNames[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
