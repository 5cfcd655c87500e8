package catalog

import (
	"maps"
	"sort"
	"strings"

	"snipetack/internal/state/group"
)

// Configuration is one revision of everything that operators configure. It is never modified, so that goroutines can
// share it.
type Configuration struct {
	Revision  uint64
	Accounts  map[string]Account
	Keys      map[string]Key // by key id
	Routes    map[string]Route
	Services  map[string]Service
	Upstreams map[string]Upstream
	Operators map[string]Operator
	Answers   map[string]Answers
	Shards    []ShardRange // ordered, without gaps or overlap
	index     *index       // nil while the revision is being built
}

// NewConfiguration returns revision 0, which is empty and assigns all jobs to the group FirstJobs.
func NewConfiguration() *Configuration {
	return &Configuration{
		Accounts:  map[string]Account{},
		Keys:      map[string]Key{},
		Routes:    map[string]Route{},
		Services:  map[string]Service{},
		Upstreams: map[string]Upstream{},
		Operators: map[string]Operator{},
		Answers:   map[string]Answers{},
		Shards:    []ShardRange{{From: 0, To: ^uint64(0), Group: group.FirstJobs}},
	}
}

// Route returns the route with the longest PathPrefix of path. A prefix ends at a path separator: /a is a prefix of /a
// and /a/b, but not of /ab.
func (c *Configuration) Route(path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if !matchesPrefix(r.PathPrefix, path) {
			continue
		}
		if !found || len(r.PathPrefix) > len(best.PathPrefix) {
			best, found = r, true
		}
	}
	return best, found
}

// ServiceOfModel returns the service that serves a model, the first by name if there are several.
func (c *Configuration) ServiceOfModel(model string) (Service, bool) {
	s, ok := c.Services[c.lookup().byModel[model]]
	return s, ok
}

// UpstreamsOf returns the upstreams of a service in name order; the slice is shared and must not be modified.
func (c *Configuration) UpstreamsOf(service string) []Upstream {
	return c.lookup().byService[service]
}

// ServiceNames returns the sorted names of all services.
func (c *Configuration) ServiceNames() []string {
	return sortedNames(c.Services)
}

// Shard returns the replicated group that holds the jobs whose id has hash h.
func (c *Configuration) Shard(h uint64) uint32 {
	i := sort.Search(len(c.Shards), func(i int) bool { return c.Shards[i].To >= h })
	if i == len(c.Shards) {
		return group.FirstJobs
	}
	return c.Shards[i].Group
}

// clone returns a copy whose maps may be modified. Shards is shared, because edits replace it as a whole.
func (c *Configuration) clone() *Configuration {
	n := *c
	n.index = nil
	n.Accounts = maps.Clone(c.Accounts)
	n.Keys = maps.Clone(c.Keys)
	n.Routes = maps.Clone(c.Routes)
	n.Services = maps.Clone(c.Services)
	n.Upstreams = maps.Clone(c.Upstreams)
	n.Operators = maps.Clone(c.Operators)
	n.Answers = maps.Clone(c.Answers)
	return &n
}

func matchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

func sortedNames[T any](m map[string]T) []string {
	l := make([]string, 0, len(m))
	for n := range m {
		l = append(l, n)
	}
	sort.Strings(l)
	return l
}
