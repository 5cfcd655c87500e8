package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// listedJobs bounds how many jobs of an account are listed.
const listedJobs = 1000

// LedgerProvider reads and changes the replicated state of batch jobs.
type LedgerProvider interface {
	// ReadLatest answers from a state that holds all that was committed before the call.
	ReadLatest(ctx context.Context, q ledger.Query) (ledger.Response, error)
	// Cancel commits a cancel after the VMs that can be reached have stopped to start the job's items.
	Cancel(ctx context.Context, vms []string, c ledger.Cancel) (ledger.Outcome, error)
}

// Job is the JSON form of a batch job for operators.
type Job struct {
	ID       string `json:"id"`
	Account  string `json:"account"`
	Service  string `json:"service"`
	Model    string `json:"model"`
	Status   string `json:"status"`
	Items    int    `json:"items"`
	Done     int    `json:"done"`
	Failed   int    `json:"failed"`
	Leased   int    `json:"leased"`
	Created  int64  `json:"created_at"` // Unix seconds
	Due      int64  `json:"due_at"`     // Unix seconds
	Ended    int64  `json:"ended_at,omitempty"`
	InDanger bool   `json:"in_danger"` // it won't be done when it is due, at its rate so far
}

// MountJobs adds the operators' interface of batch jobs to a server.
func MountJobs(s *Server, p LedgerProvider, vms []string) {
	j := &jobs{ledger: p, server: s, vms: vms}
	s.Mount("GET /operator/v1/jobs", j.list)
	s.Mount("GET /operator/v1/jobs/{job}", j.show)
	s.Mount("POST /operator/v1/jobs/{job}/cancel", j.cancel)
}

// Jobs returns the jobs of an account, newest first, or all that have work left when the account is empty.
func (c *Client) Jobs(ctx context.Context, account string) ([]Job, error) {
	var l []Job
	return l, c.Get(ctx, "/operator/v1/jobs?account="+url.QueryEscape(account), &l)
}

// Job returns a job; the account may be empty for one that has work left.
func (c *Client) Job(ctx context.Context, id, account string) (Job, error) {
	var j Job
	return j, c.Get(ctx, "/operator/v1/jobs/"+url.PathEscape(id)+"?account="+url.QueryEscape(account), &j)
}

// CancelJob cancels a job; a repeat is harmless.
func (c *Client) CancelJob(ctx context.Context, id, account string) (Job, error) {
	var j Job
	return j, c.Post(ctx, "/operator/v1/jobs/"+url.PathEscape(id)+"/cancel?account="+url.QueryEscape(account), &j)
}

type jobs struct {
	ledger LedgerProvider
	server *Server
	vms    []string
}

func (j *jobs) list(w http.ResponseWriter, r *http.Request, _ string) {
	q := ledger.Query{Subject: ledger.Open}
	if a := r.URL.Query().Get("account"); a != "" {
		q = ledger.Query{Subject: ledger.ListJobs, Account: a, Limit: listedJobs}
	}
	a, err := j.ledger.ReadLatest(r.Context(), q)
	if err != nil {
		reply.Failure(w, err)
		return
	}
	l := []Job{}
	for _, v := range a.Jobs {
		l = append(l, jobOf(v, time.Now()))
	}
	reply.JSON(w, http.StatusOK, l)
}

func (j *jobs) show(w http.ResponseWriter, r *http.Request, _ string) {
	v, err := j.find(r)
	if err != nil {
		reply.Failure(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, jobOf(v, time.Now()))
}

func (j *jobs) cancel(w http.ResponseWriter, r *http.Request, operator string) {
	v, err := j.find(r)
	if err != nil {
		reply.Failure(w, err)
		return
	}
	o, err := j.ledger.Cancel(r.Context(), j.vms, ledger.Cancel{Job: v.ID, Account: v.Account})
	if err != nil {
		reply.Failure(w, err)
		return
	}
	j.server.d.Log.Info("job cancelled", "job", v.ID, "account", v.Account, "operator", operator)
	reply.JSON(w, http.StatusOK, jobOf(*o.Job, time.Now()))
}

// find returns the job of a request's path: among an account's, or among those that have work left.
func (j *jobs) find(r *http.Request) (ledger.Job, error) {
	id, account := r.PathValue("job"), r.URL.Query().Get("account")
	q := ledger.Query{Subject: ledger.Open}
	if account != "" {
		q = ledger.Query{Subject: ledger.OneJob, ID: id, Account: account}
	}
	a, err := j.ledger.ReadLatest(r.Context(), q)
	if err != nil {
		return ledger.Job{}, err
	}
	for _, v := range a.Jobs {
		if v.ID == id {
			return v, nil
		}
	}
	if account != "" {
		return ledger.Job{}, result.New(result.JobUnknown, "account %s has no job %s", account, id)
	}
	return ledger.Job{}, result.New(result.JobUnknown, "no job with work left is %s; name the account of one that has ended", id)
}

func jobOf(v ledger.Job, now time.Time) Job {
	return Job{
		ID:       v.ID,
		Account:  v.Account,
		Service:  v.Service,
		Model:    v.Model,
		Status:   string(v.Status),
		Items:    v.Items,
		Done:     v.Done,
		Failed:   v.Failed,
		Leased:   v.Leased,
		Created:  seconds(v.CreatedAt),
		Due:      seconds(v.Due),
		Ended:    seconds(v.EndedAt),
		InDanger: inDanger(v, now),
	}
}

// inDanger reports whether the items left take longer than until the job is due, at the rate since it was created.
func inDanger(v ledger.Job, now time.Time) bool {
	if !v.Open() || v.Due.IsZero() {
		return false
	}
	ended := v.Done + v.Failed
	left := v.Items - ended
	passed, rest := now.Sub(v.CreatedAt), v.Due.Sub(now)
	if left == 0 {
		return false
	}
	if rest <= 0 {
		return true
	}
	return float64(left)*passed.Seconds() > float64(ended)*rest.Seconds() && passed > rest/10
}
