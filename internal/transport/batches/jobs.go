package batches

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"snipetack/internal/coordination/access"
	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// maxBody bounds the body of a batch request, and of an upstream's load report or error response, in bytes.
const maxBody = 64 << 10

func (i *API) create(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return result.New(result.BodyTooLarge, "the body exceeds %d bytes", maxBody)
	}
	var q batchRequest
	if err := json.Unmarshal(b, &q); err != nil {
		return result.New(result.MalformedRequest, "the body is not a batch: %v", err)
	}
	j, err := i.newJob(r, a, q)
	if err != nil {
		return err
	}
	o, err := i.d.Client.Commit(r.Context(), ledger.Command{Create: &ledger.Create{Job: j, Resend: a.ResendWindow}})
	if err != nil {
		return err
	}
	i.d.Log.Info("job accepted", "job", o.Job.ID, "account", a.Name, "items", o.Job.Items, "due", o.Job.Due, "resent", o.Job.ID != j.ID)
	reply.JSON(w, http.StatusOK, batchOf(*o.Job))
	return nil
}

// newJob validates a batch request against its file and the configuration and returns the job to create.
func (i *API) newJob(r *http.Request, a catalog.Account, q batchRequest) (ledger.Job, error) {
	var j ledger.Job
	f, err := i.findFile(r.Context(), a.Name, q.InputFileID)
	if err != nil {
		return j, err
	}
	if q.Endpoint != f.Endpoint {
		return j, result.New(result.FileInvalid, "endpoint %q differs from the file's url %q", q.Endpoint, f.Endpoint)
	}
	c := i.d.Copy.Current()
	s, ok := c.ServiceOfModel(f.Model)
	if !ok {
		return j, result.New(result.UnknownModel, "model %q is not served", f.Model)
	}
	repeatable := true
	if t, ok := c.Route(q.Endpoint); ok {
		if err := access.Admit(t, a.Name); err != nil {
			return j, err
		}
		repeatable = t.Repeatable
	}
	due, err := q.due(time.Now())
	if err != nil {
		return j, err
	}
	p, err := q.priority()
	if err != nil {
		return j, err
	}
	j = ledger.Job{
		ID:         newID("batch-"),
		Account:    a.Name,
		Service:    s.Name,
		Model:      f.Model,
		Endpoint:   q.Endpoint,
		File:       f.ID,
		Key:        r.Header.Get(idempotencyKeyHeader),
		Digest:     digestOf(f, q),
		Window:     q.CompletionWindow,
		Priority:   p,
		Repeatable: repeatable,
		Weight:     a.Weight,
		Due:        due,
	}
	for _, n := range slices.Sorted(maps.Keys(q.Metadata)) {
		j.Metadata = append(j.Metadata, ledger.Pair{Name: n, Value: q.Metadata[n]})
	}
	return j, nil
}

// digestOf hashes a job's items and parameters. It takes the file's digest, not its id, so that a retried request
// matches its job even if the file was uploaded again.
func digestOf(f ledger.File, q batchRequest) [32]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%x\n%q\n%q\n", f.Digest, q.Endpoint, q.CompletionWindow)
	for _, n := range slices.Sorted(maps.Keys(q.Metadata)) {
		fmt.Fprintf(h, "%q %q\n", n, q.Metadata[n])
	}
	var d [32]byte
	h.Sum(d[:0])
	return d
}

func (i *API) jobs(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	q, err := pageQuery(r, ledger.ListJobs, a.Name)
	if err != nil {
		return err
	}
	v, err := i.d.Client.ReadLatest(r.Context(), q)
	if err != nil {
		return err
	}
	l := list[batchObject]{Object: "list", Data: []batchObject{}, HasMore: v.More}
	for _, j := range v.Jobs {
		l.Data = append(l.Data, batchOf(j))
	}
	if n := len(l.Data); n > 0 {
		l.FirstID, l.LastID = l.Data[0].ID, l.Data[n-1].ID
	}
	reply.JSON(w, http.StatusOK, l)
	return nil
}

func (i *API) job(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	id := r.PathValue("id")
	v, err := i.d.Client.ReadLatest(r.Context(), ledger.Query{Subject: ledger.OneJob, Account: a.Name, ID: id})
	if err != nil {
		return err
	}
	if len(v.Jobs) == 0 {
		return result.New(result.JobUnknown, "account %s has no job %q", a.Name, id)
	}
	reply.JSON(w, http.StatusOK, batchOf(v.Jobs[0]))
	return nil
}

func (i *API) cancel(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	c := ledger.Cancel{Job: r.PathValue("id"), Account: a.Name}
	q := ledger.Query{Subject: ledger.OneJob, Account: a.Name, ID: c.Job}
	v, err := i.d.Client.ReadLatest(r.Context(), q)
	if err != nil {
		return err
	}
	if len(v.Jobs) == 0 {
		return result.New(result.JobUnknown, "account %s has no job %q", a.Name, c.Job)
	}
	o, err := i.d.Client.Cancel(r.Context(), i.d.VMs, c)
	if err != nil {
		return err
	}
	i.d.Log.Info("job cancelled", "job", c.Job, "account", a.Name, "leased", o.Job.Leased)
	reply.JSON(w, http.StatusOK, batchOf(*o.Job))
	return nil
}
