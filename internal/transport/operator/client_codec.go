package operator

import (
	"time"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// failureForm is the part of a failure's JSON form that the client reads; a result code of zero means no failure.
type failureForm struct {
	Error struct {
		Message    string `json:"message"`
		ResultCode int    `json:"result_code"`
		Ran        string `json:"ran"`
	} `json:"error"`
}

func requestOf(c catalog.Change) changeRequest {
	q := changeRequest{ID: c.ID, Base: c.Base, Rebase: c.Rebase}
	for _, o := range c.Ops {
		q.Ops = append(q.Ops, formOf(o))
	}
	return q
}

// formOf returns the JSON form of an edit. Shard ranges have none, since operators don't change them.
func formOf(o catalog.Op) opForm {
	f := opForm{Withdraw: o.Withdraw}
	if o.Account != nil {
		f.Account = pointer(accountOf(*o.Account))
	}
	if o.Key != nil {
		f.Key = pointer(keyOf(*o.Key))
	}
	if o.Route != nil {
		f.Route = (*routeForm)(o.Route)
	}
	if o.Service != nil {
		f.Service = pointer(serviceOf(*o.Service))
	}
	if o.Upstream != nil {
		f.Upstream = (*upstreamForm)(o.Upstream)
	}
	if o.Operator != nil {
		f.Operator = pointer(operatorOf(*o.Operator))
	}
	if o.Answers != nil {
		f.Answers = pointer(answersOf(*o.Answers))
	}
	if o.Delete != nil {
		f.Delete = &deleteForm{Table: string(o.Delete.Table), Name: o.Delete.Name}
	}
	return f
}

func (f outcomeForm) outcome() catalog.Outcome {
	return catalog.Outcome{
		Code:     result.Code(f.ResultCode),
		Revision: f.Revision,
		Detail:   f.Detail,
		Winner:   f.Winner,
		Author:   f.Author,
	}
}

func (f configurationForm) configuration() (*catalog.Configuration, error) {
	c := catalog.NewConfiguration()
	c.Revision = f.Revision
	for _, a := range f.Accounts {
		c.Accounts[a.Name] = *a.account()
	}
	for _, k := range f.Keys {
		v, err := k.key()
		if err != nil {
			return nil, err
		}
		c.Keys[k.ID] = *v
	}
	for _, r := range f.Routes {
		c.Routes[r.Name] = catalog.Route(r)
	}
	for _, s := range f.Services {
		c.Services[s.Name] = *s.service()
	}
	for _, u := range f.Upstreams {
		c.Upstreams[u.Name] = catalog.Upstream(u)
	}
	for _, o := range f.Operators {
		v, err := o.operator()
		if err != nil {
			return nil, err
		}
		c.Operators[o.Name] = *v
	}
	for _, a := range f.Answers {
		c.Answers[a.Team] = catalog.Answers{Team: a.Team, Document: []byte(a.Document)}
	}
	return c, nil
}

// historyOf returns the JSON form of an applied change.
func historyOf(a catalog.Applied) historyForm {
	f := historyForm{Revision: a.Revision, ID: a.Change.ID, Operator: a.Change.Author, At: seconds(a.Change.At)}
	for _, o := range a.Change.Ops {
		f.Ops = append(f.Ops, formOf(o))
	}
	return f
}

// applied returns the change that the form describes. Its base revision is unset, as the form has none.
func (f historyForm) applied() (catalog.Applied, error) {
	a := catalog.Applied{Revision: f.Revision, Change: catalog.Change{ID: f.ID, Author: f.Operator}}
	if f.At != 0 {
		a.Change.At = time.Unix(f.At, 0)
	}
	for _, o := range f.Ops {
		v, err := o.op()
		if err != nil {
			return a, err
		}
		a.Change.Ops = append(a.Change.Ops, v)
	}
	return a, nil
}

func pointer[T any](v T) *T {
	return &v
}
