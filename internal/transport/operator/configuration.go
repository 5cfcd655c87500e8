package operator

import (
	"encoding/hex"
	"sort"
	"time"

	"snipetack/internal/state/catalog"
)

// configurationOf returns the JSON form of a configuration, each table in name order.
func configurationOf(c *catalog.Configuration) configurationForm {
	return configurationForm{
		Revision:  c.Revision,
		Accounts:  formsOf(c.Accounts, accountOf),
		Keys:      formsOf(c.Keys, keyOf),
		Routes:    formsOf(c.Routes, func(r catalog.Route) routeForm { return routeForm(r) }),
		Services:  formsOf(c.Services, serviceOf),
		Upstreams: formsOf(c.Upstreams, func(u catalog.Upstream) upstreamForm { return upstreamForm(u) }),
		Operators: formsOf(c.Operators, operatorOf),
		Answers:   formsOf(c.Answers, answersOf),
	}
}

// formsOf returns the JSON forms of a table's entries in the order of their names; an empty table yields [] rather than
// null.
func formsOf[T, F any](m map[string]T, f func(T) F) []F {
	n := make([]string, 0, len(m))
	for k := range m {
		n = append(n, k)
	}
	sort.Strings(n)
	l := make([]F, 0, len(m))
	for _, k := range n {
		l = append(l, f(m[k]))
	}
	return l
}

func accountOf(a catalog.Account) accountForm {
	return accountForm{
		Name:         a.Name,
		Rate:         a.Rate,
		Burst:        a.Burst,
		BatchRate:    a.BatchRate,
		BatchBurst:   a.BatchBurst,
		Weight:       a.Weight,
		ResendWindow: int64(a.ResendWindow / time.Second),
	}
}

func keyOf(k catalog.Key) keyForm {
	return keyForm{
		ID:        k.ID,
		Account:   k.Account,
		Digest:    hex.EncodeToString(k.Digest[:]),
		IssuedAt:  seconds(k.IssuedAt),
		ExpiresAt: seconds(k.ExpiresAt),
		Withdrawn: k.Withdrawn,
	}
}

func serviceOf(s catalog.Service) serviceForm {
	var l []artifactForm
	for _, a := range s.Artifacts {
		l = append(l, artifactForm(a))
	}
	return serviceForm{
		Artifacts:       l,
		Name:            s.Name,
		Kind:            string(s.Kind),
		Models:          s.Models,
		ProgressTimeout: s.ProgressTimeout.Milliseconds(),
		Deadline:        s.Deadline.Milliseconds(),
		QueueLimit:      s.QueueLimit,
	}
}

func operatorOf(o catalog.Operator) operatorForm {
	return operatorForm{Name: o.Name, Digest: hex.EncodeToString(o.Digest[:])}
}

func answersOf(a catalog.Answers) answersForm {
	return answersForm{Team: a.Team, Document: string(a.Document)}
}

// seconds returns t in Unix seconds, or zero for the zero time.
func seconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Unix()
}
