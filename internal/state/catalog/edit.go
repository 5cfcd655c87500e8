package catalog

import (
	"net/netip"

	"github.com/pkg/errors"
)

// With returns the next revision, which is c with the ops applied in order. It returns an error if an op is invalid or
// the result has a reference to an entry that doesn't exist. It doesn't modify c.
func (c *Configuration) With(ops []Op) (*Configuration, error) {
	if len(ops) == 0 {
		return nil, errors.New("the change holds no edit")
	}
	n := c.clone()
	for i, o := range ops {
		if err := n.applyOp(o); err != nil {
			return nil, errors.Wrapf(err, "edit %d", i+1)
		}
	}
	if err := n.checkReferences(); err != nil {
		return nil, err
	}
	n.Revision = c.Revision + 1
	n.index = newIndex(n)
	return n, nil
}

// applyOp applies an op to c itself, which no reader may have yet.
func (c *Configuration) applyOp(o Op) error {
	switch {
	case o.Account != nil:
		return putEntry(c.Accounts, o.Account.Name, *o.Account, checkAccount(*o.Account))
	case o.Key != nil:
		return putEntry(c.Keys, o.Key.ID, *o.Key, nil)
	case o.Withdraw != "":
		return c.withdraw(o.Withdraw)
	case o.Route != nil:
		return putEntry(c.Routes, o.Route.Name, *o.Route, nil)
	case o.Service != nil:
		return putEntry(c.Services, o.Service.Name, *o.Service, nil)
	case o.Upstream != nil:
		return putEntry(c.Upstreams, o.Upstream.Name, *o.Upstream, checkUpstream(*o.Upstream))
	case o.Operator != nil:
		return putEntry(c.Operators, o.Operator.Name, *o.Operator, nil)
	case o.Answers != nil:
		return putEntry(c.Answers, o.Answers.Team, *o.Answers, nil)
	case len(o.Shards) > 0:
		c.Shards = o.Shards
		return checkShards(o.Shards)
	case o.Delete != nil:
		return c.remove(*o.Delete)
	default:
		return errors.New("names nothing to change")
	}
}

// withdraw marks a key as withdrawn, permanently.
func (c *Configuration) withdraw(id string) error {
	k, ok := c.Keys[id]
	if !ok {
		return errors.Errorf("key %q is not known", id)
	}
	k.Withdrawn = true
	c.Keys[id] = k
	return nil
}

func (c *Configuration) remove(d Deletion) error {
	switch d.Table {
	case Accounts:
		return deleteEntry(c.Accounts, d)
	case Keys:
		return deleteEntry(c.Keys, d)
	case Routes:
		return deleteEntry(c.Routes, d)
	case Services:
		return deleteEntry(c.Services, d)
	case Upstreams:
		return deleteEntry(c.Upstreams, d)
	case Operators:
		return deleteEntry(c.Operators, d)
	default:
		return errors.Errorf("table %q is not known", d.Table)
	}
}

// checkReferences verifies that all entries exist that keys, routes and upstreams refer to.
func (c *Configuration) checkReferences() error {
	for _, k := range c.Keys {
		if _, ok := c.Accounts[k.Account]; !ok {
			return errors.Errorf("key %q names account %q, which does not exist", k.ID, k.Account)
		}
	}
	for _, r := range c.Routes {
		if _, ok := c.Services[r.Service]; r.Service != "" && !ok {
			return errors.Errorf("route %q names service %q, which does not exist", r.Name, r.Service)
		}
		for _, a := range r.Accounts {
			if _, ok := c.Accounts[a]; !ok {
				return errors.Errorf("route %q names account %q, which does not exist", r.Name, a)
			}
		}
	}
	for _, u := range c.Upstreams {
		if _, ok := c.Services[u.Service]; !ok {
			return errors.Errorf("upstream %q names service %q, which does not exist", u.Name, u.Service)
		}
	}
	return nil
}

func putEntry[T any](m map[string]T, name string, v T, err error) error {
	if name == "" {
		return errors.New("an entry has no name")
	}
	if err != nil {
		return err
	}
	m[name] = v
	return nil
}

func deleteEntry[T any](m map[string]T, d Deletion) error {
	if _, ok := m[d.Name]; !ok {
		return errors.Errorf("%s has no entry %q", d.Table, d.Name)
	}
	delete(m, d.Name)
	return nil
}

func checkAccount(a Account) error {
	switch {
	case a.Rate < 0:
		return errors.Errorf("account %q: rate %g is negative", a.Name, a.Rate)
	case a.Burst < 1:
		return errors.Errorf("account %q: burst %d is below one", a.Name, a.Burst)
	case a.BatchRate < 0:
		return errors.Errorf("account %q: batch rate %g is negative", a.Name, a.BatchRate)
	case a.Weight < 0:
		return errors.Errorf("account %q: weight %g is negative", a.Name, a.Weight)
	default:
		return nil
	}
}

func checkUpstream(u Upstream) error {
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		return errors.Errorf("upstream %q: address %q is not ip:port", u.Name, u.Address)
	}
	if u.Slots < 1 {
		return errors.Errorf("upstream %q: slots %d is below one", u.Name, u.Slots)
	}
	return nil
}

func checkShards(l []ShardRange) error {
	next := uint64(0)
	for i, s := range l {
		if s.From != next || s.To < s.From {
			return errors.Errorf("shard range %d does not continue at %#x", i, next)
		}
		next = s.To + 1
	}
	if next != 0 {
		return errors.New("the last shard range does not end at the highest hash")
	}
	return nil
}
