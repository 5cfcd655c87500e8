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

// maxListedJobs is the largest number of an account's jobs in one list.
const maxListedJobs = 1000

// LedgerProvider reads and changes the replicated state of batch jobs.
type LedgerProvider interface {
	// ReadLatest reads from a state that holds all that was committed before the call.
	ReadLatest(ctx context.Context, q ledger.Query) (ledger.Response, error)
	// Cancel commits a cancel after the reachable ones of the VMs have stopped starting the job's items.
	Cancel(ctx context.Context, vms []string, c ledger.Cancel) (ledger.Outcome, error)
}

// Job is the JSON form of a batch job for operators. Items counts all items; Done, Failed and Leased are parts of them.
type Job struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Service string `json:"service"`
	Model   string `json:"model"`
	Status  string `json:"status"`
	Items   int    `json:"items"`
	Done    int    `json:"done"`
	Failed  int    `json:"failed"`
	Leased  int    `json:"leased"`
	Created int64  `json:"created_at"` // Unix seconds
	Due     int64  `json:"due_at"`     // Unix seconds
	Ended   int64  `json:"ended_at,omitempty"`
	AtRisk  bool   `json:"in_danger"` // at its rate so far it will miss its due time
}

// MountJobs adds the operators' routes for batch jobs to a server. The VMs are those that may run items.
func MountJobs(s *Server, p LedgerProvider, vms []string) {
	j := &jobs{ledger: p, server: s, vms: vms}
	s.Mount("GET /operator/v1/jobs", j.list)
	s.Mount("GET /operator/v1/jobs/{job}", j.show)
	s.Mount("POST /operator/v1/jobs/{job}/cancel", j.cancel)
}

// Jobs returns the newest jobs of an account, newest first, or all accounts' open jobs when the account is empty.
func (c *Client) Jobs(ctx context.Context, account string) ([]Job, error) {
	var l []Job
	return l, c.Get(ctx, "/operator/v1/jobs?account="+url.QueryEscape(account), &l)
}

// Job returns a job of an account. The account may be empty for a job that is open.
func (c *Client) Job(ctx context.Context, id, account string) (Job, error) {
	var j Job
	return j, c.Get(ctx, "/operator/v1/jobs/"+url.PathEscape(id)+"?account="+url.QueryEscape(account), &j)
}

// CancelJob cancels a job and returns it. The account may be empty for a job that is open. Repeated calls are harmless.
func (c *Client) CancelJob(ctx context.Context, id, account string) (Job, error) {
	var j Job
	return j, c.Post(ctx, "/operator/v1/jobs/"+url.PathEscape(id)+"/cancel?account="+url.QueryEscape(account), &j)
}

// jobs serves the operators' requests about batch jobs.
type jobs struct {
	ledger LedgerProvider
	server *Server
	vms    []string // those that stop starting a job's items before its cancel is committed
}

func (j *jobs) list(w http.ResponseWriter, r *http.Request, _ string) {
	q := ledger.Query{Subject: ledger.Open}
	if a := r.URL.Query().Get("account"); a != "" {
		q = ledger.Query{Subject: ledger.ListJobs, Account: a, Limit: maxListedJobs}
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

// find returns the job of a request's path: from the account that the query names, or else from the open jobs.
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
		ID:      v.ID,
		Account: v.Account,
		Service: v.Service,
		Model:   v.Model,
		Status:  string(v.Status),
		Items:   v.Items,
		Done:    v.Done,
		Failed:  v.Failed,
		Leased:  v.Leased,
		Created: seconds(v.CreatedAt),
		Due:     seconds(v.Due),
		Ended:   seconds(v.EndedAt),
		AtRisk:  atRisk(v, now),
	}
}

// atRisk reports whether an open job will miss its due time at the rate at which its items have ended since its creation. A
// job whose age is at most a tenth of the time left is not at risk, as that is too early to judge its rate.
func atRisk(v ledger.Job, now time.Time) bool {
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
