package catalog

import "slices"

// index holds the lookups that every request makes, so that none scans a table; it is built once per revision.
type index struct {
	byModel   map[string]string     // name of the service by model
	byService map[string][]Upstream // in name order
}

func newIndex(c *Configuration) *index {
	x := &index{byModel: map[string]string{}, byService: map[string][]Upstream{}}
	for _, n := range sortedNames(c.Services) {
		for _, m := range c.Services[n].Models {
			if _, ok := x.byModel[m]; !ok {
				x.byModel[m] = n
			}
		}
	}
	for _, n := range sortedNames(c.Upstreams) {
		u := c.Upstreams[n]
		x.byService[u.Service] = append(x.byService[u.Service], u)
	}
	for s, l := range x.byService {
		// Without spare capacity, a caller that appends to the shared slice gets a copy.
		x.byService[s] = slices.Clip(l)
	}
	return x
}

// lookup returns the index of the revision. A configuration that was assembled without one, as in tests, gets a new
// index on each call.
func (c *Configuration) lookup() *index {
	if c.index != nil {
		return c.index
	}
	return newIndex(c)
}
