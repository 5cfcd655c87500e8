package operator

import (
	"encoding/hex"
	"time"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// changeRequest is the JSON form of a change; the server sets its author and time.
type changeRequest struct {
	ID     string   `json:"id"`
	Base   uint64   `json:"base_revision"`
	Rebase bool     `json:"rebase"`
	Ops    []opForm `json:"ops"`
}

// opForm is the JSON form of an edit; exactly one field is set.
type opForm struct {
	Account  *accountForm  `json:"account,omitempty"`
	Key      *keyForm      `json:"key,omitempty"`
	Withdraw string        `json:"withdraw_key,omitempty"`
	Route    *routeForm    `json:"route,omitempty"`
	Service  *serviceForm  `json:"service,omitempty"`
	Upstream *upstreamForm `json:"upstream,omitempty"`
	Operator *operatorForm `json:"operator,omitempty"`
	Answers  *answersForm  `json:"answers,omitempty"`
	Delete   *deleteForm   `json:"delete,omitempty"`
}

type accountForm struct {
	Name         string  `json:"name"`
	Rate         float64 `json:"rate_per_second"`
	Burst        int     `json:"burst"`
	BatchRate    float64 `json:"batch_items_per_second"`
	BatchBurst   int     `json:"batch_burst"`
	Weight       float64 `json:"weight"`
	ResendWindow int64   `json:"resend_window_seconds"`
}

type keyForm struct {
	ID        string `json:"id"`
	Account   string `json:"account"`
	Digest    string `json:"digest"`
	IssuedAt  int64  `json:"issued_at,omitempty"`  // Unix seconds
	ExpiresAt int64  `json:"expires_at,omitempty"` // Unix seconds; zero means never
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

type routeForm struct {
	Name       string   `json:"name"`
	PathPrefix string   `json:"path_prefix"`
	Service    string   `json:"service,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Repeatable bool     `json:"repeatable,omitempty"`
	Accounts   []string `json:"accounts,omitempty"`
}

type serviceForm struct {
	Name            string   `json:"name"`
	Kind            string   `json:"kind"`
	Models          []string `json:"models,omitempty"`
	ProgressTimeout int64    `json:"progress_timeout_ms"`
	Deadline        int64    `json:"deadline_ms"`
	QueueLimit      int      `json:"queue_limit"`

	Artifacts []artifactForm `json:"artifacts,omitempty"`
}

type artifactForm struct {
	Name string `json:"name"`
	Size int64  `json:"bytes"`
}

type upstreamForm struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	DataCentre    string `json:"data_centre"`
	Slots         int    `json:"slots"`
	ChecksFencing bool   `json:"checks_fencing"`
	Leaving       bool   `json:"leaving,omitempty"`
	Memory        int64  `json:"memory_bytes,omitempty"`
	Role          string `json:"role,omitempty"`
}

type operatorForm struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

type answersForm struct {
	Team     string `json:"team"`
	Document string `json:"document"`
}

type deleteForm struct {
	Table string `json:"table"`
	Name  string `json:"name"`
}

type outcomeForm struct {
	ResultCode int    `json:"result_code"`
	Code       string `json:"code"`
	Revision   uint64 `json:"revision"`
	Detail     string `json:"detail,omitempty"`
	Winner     string `json:"winner,omitempty"`
	Author     string `json:"winner_author,omitempty"`
}

type configurationForm struct {
	Revision  uint64         `json:"revision"`
	Accounts  []accountForm  `json:"accounts"`
	Keys      []keyForm      `json:"keys"`
	Routes    []routeForm    `json:"routes"`
	Services  []serviceForm  `json:"services"`
	Upstreams []upstreamForm `json:"upstreams"`
	Operators []operatorForm `json:"operators"`
	Answers   []answersForm  `json:"answers"`
}

func (q changeRequest) change() (catalog.Change, error) {
	c := catalog.Change{ID: q.ID, Base: q.Base, Rebase: q.Rebase}
	if q.ID == "" {
		return c, result.New(result.ChangeInvalid, "the change needs an id, which a resend carries again")
	}
	for i, f := range q.Ops {
		o, err := f.op()
		if err != nil {
			return c, result.New(result.ChangeInvalid, "edit %d: %v", i+1, err)
		}
		c.Ops = append(c.Ops, o)
	}
	return c, nil
}

func (f opForm) op() (catalog.Op, error) {
	o := catalog.Op{Withdraw: f.Withdraw}
	var err error
	if f.Account != nil {
		o.Account = f.Account.account()
	}
	if f.Key != nil {
		o.Key, err = f.Key.key()
	}
	if f.Route != nil {
		o.Route = (*catalog.Route)(f.Route)
	}
	if f.Service != nil {
		o.Service = f.Service.service()
	}
	if f.Upstream != nil {
		o.Upstream = (*catalog.Upstream)(f.Upstream)
	}
	if f.Operator != nil {
		o.Operator, err = f.Operator.operator()
	}
	if f.Answers != nil {
		o.Answers = &catalog.Answers{Team: f.Answers.Team, Document: []byte(f.Answers.Document)}
	}
	if f.Delete != nil {
		o.Delete = &catalog.Deletion{Table: catalog.Table(f.Delete.Table), Name: f.Delete.Name}
	}
	return o, err
}

func (f accountForm) account() *catalog.Account {
	return &catalog.Account{
		Name:         f.Name,
		Rate:         f.Rate,
		Burst:        f.Burst,
		BatchRate:    f.BatchRate,
		BatchBurst:   f.BatchBurst,
		Weight:       f.Weight,
		ResendWindow: time.Duration(f.ResendWindow) * time.Second,
	}
}

func (f keyForm) key() (*catalog.Key, error) {
	k := &catalog.Key{ID: f.ID, Account: f.Account, Withdrawn: f.Withdrawn}
	if f.IssuedAt != 0 {
		k.IssuedAt = time.Unix(f.IssuedAt, 0)
	}
	if f.ExpiresAt != 0 {
		k.ExpiresAt = time.Unix(f.ExpiresAt, 0)
	}
	d, err := digest(f.Digest)
	k.Digest = d
	return k, err
}

func (f serviceForm) service() *catalog.Service {
	var l []catalog.Artifact
	for _, a := range f.Artifacts {
		l = append(l, catalog.Artifact(a))
	}
	return &catalog.Service{
		Artifacts:       l,
		Name:            f.Name,
		Kind:            catalog.ServiceKind(f.Kind),
		Models:          f.Models,
		ProgressTimeout: time.Duration(f.ProgressTimeout) * time.Millisecond,
		Deadline:        time.Duration(f.Deadline) * time.Millisecond,
		QueueLimit:      f.QueueLimit,
	}
}

func (f operatorForm) operator() (*catalog.Operator, error) {
	d, err := digest(f.Digest)
	return &catalog.Operator{Name: f.Name, Digest: d}, err
}

func digest(s string) ([32]byte, error) {
	var d [32]byte
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, result.New(result.ChangeInvalid, "digest %q is not 64 hexadecimal digits", s)
	}
	copy(d[:], b)
	return d, nil
}

func outcomeOf(o catalog.Outcome) outcomeForm {
	return outcomeForm{
		ResultCode: int(o.Code),
		Code:       o.Code.Meaning().Name,
		Revision:   o.Revision,
		Detail:     o.Detail,
		Winner:     o.Winner,
		Author:     o.Author,
	}
}
