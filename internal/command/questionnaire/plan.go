package questionnaire

import (
	"bytes"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/access"
	"snipetack/internal/state/catalog"
)

// Plan is the change that makes a team's part of the configuration equal to what its answers generate.
type Plan struct {
	Team     string
	Base     uint64 // the revision that the plan was made against
	Ops      []catalog.Op
	Secrets  []access.Secret // keys of new accounts; they can't be read back from the configuration
	Warnings []string        // demand above capacity; does not prevent the change
}

// Stored returns the answers of all teams in the configuration, ordered by team name.
func Stored(c *catalog.Configuration) ([]Answers, error) {
	var l []Answers
	for _, n := range sortedNames(c.Answers) {
		a, err := Decode("stored answers of "+n, c.Answers[n].Document)
		if err != nil {
			return nil, err
		}
		l = append(l, a)
	}
	return l, nil
}

// Generate checks answers against the current configuration and returns the Plan to apply. Keys issued for new accounts
// take effect only with the plan; now is their time of issue. On an error the Plan must not be used.
func Generate(a Answers, current *catalog.Configuration, now time.Time) (Plan, error) {
	s, err := newEnvironment(a.Team, current)
	if err != nil {
		return Plan{}, err
	}
	if err := s.check(a); err != nil {
		return Plan{}, err
	}
	p := Plan{Team: a.Team, Base: current.Revision, Warnings: s.warnings(a)}
	if old := current.Answers[a.Team]; !bytes.Equal(old.Document, a.Document) {
		p.Ops = append(p.Ops, catalog.Op{Answers: &catalog.Answers{Team: a.Team, Document: a.Document}})
	}
	for _, o := range Entries(a) {
		if !isNoOp(current, o) {
			p.Ops = append(p.Ops, o)
		}
	}
	if err := p.issueKeys(a, current, now); err != nil {
		return Plan{}, err
	}
	p.deleteStale(s, a)
	return p, p.validate(current)
}

// Change returns the plan as a change; a retry must use the same id, so that it is applied only once.
func (p Plan) Change(id string) catalog.Change {
	return catalog.Change{ID: id, Base: p.Base, Ops: p.Ops}
}

// validate returns an error if applying the plan would give an invalid configuration.
func (p Plan) validate(current *catalog.Configuration) error {
	if len(p.Ops) == 0 {
		return nil
	}
	_, err := current.With(p.Ops)
	return errors.Wrapf(err, "the answers of team %q don't fit the configuration in force", p.Team)
}

// issueKeys issues keys for the accounts that are not in the current configuration.
func (p *Plan) issueKeys(a Answers, current *catalog.Configuration, now time.Time) error {
	for _, c := range a.Accounts {
		if _, ok := current.Accounts[c.Name]; ok {
			continue
		}
		for range c.Keys {
			k, err := access.Issue(c.Name, now)
			if err != nil {
				return err
			}
			p.Secrets = append(p.Secrets, k)
			p.Ops = append(p.Ops, catalog.Op{Key: &k.Key})
		}
	}
	return nil
}

// deleteStale adds deletions of the entries that the stored answers generated and the new ones don't, and of the keys of
// deleted accounts. An entry is deleted before those that it refers to.
func (p *Plan) deleteStale(s environment, a Answers) {
	kept := map[entry]bool{}
	for _, e := range a.entries() {
		kept[e] = true
	}
	for _, t := range []catalog.Table{catalog.Routes, catalog.Upstreams, catalog.Services, catalog.Accounts} {
		for _, n := range s.ownNames(t) {
			e := entry{t, n}
			if kept[e] || !exists(s.current, e) {
				continue
			}
			if t == catalog.Accounts {
				p.deleteKeys(s.current, n)
			}
			p.Ops = append(p.Ops, catalog.Op{Delete: &catalog.Deletion{Table: t, Name: n}})
		}
	}
}

func (p *Plan) deleteKeys(c *catalog.Configuration, account string) {
	for _, id := range sortedNames(c.Keys) {
		if c.Keys[id].Account == account {
			p.Ops = append(p.Ops, catalog.Op{Delete: &catalog.Deletion{Table: catalog.Keys, Name: id}})
		}
	}
}

func (s environment) ownNames(t catalog.Table) []string {
	m := map[string]bool{}
	for e := range s.own {
		if e.table == t {
			m[e.name] = true
		}
	}
	return sortedNames(m)
}

// isNoOp reports whether a generated entry is already equal in the configuration; other kinds of edits are never no-ops.
func isNoOp(c *catalog.Configuration, o catalog.Op) bool {
	switch {
	case o.Account != nil:
		return same(c.Accounts, o.Account.Name, *o.Account)
	case o.Route != nil:
		return same(c.Routes, o.Route.Name, *o.Route)
	case o.Service != nil:
		return same(c.Services, o.Service.Name, *o.Service)
	case o.Upstream != nil:
		return same(c.Upstreams, o.Upstream.Name, *o.Upstream)
	default:
		return false
	}
}

// same reports whether the table has the value under the name.
func same[T any](m map[string]T, name string, v T) bool {
	old, ok := m[name]
	return ok && reflect.DeepEqual(old, v)
}
