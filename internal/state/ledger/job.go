package ledger

import "time"

// Status is the state of a job.
type Status string

// The states of a job.
const (
	InProgress Status = "in_progress"
	Cancelling Status = "cancelling" // no more items are leased; Cancelled once none is leased any more
	Cancelled  Status = "cancelled"
	Completed  Status = "completed"
)

// Job is a batch job: its parameters, status and counts.
type Job struct {
	ID          string
	Account     string
	Service     string
	Model       string
	Endpoint    string
	File        string   // id of the input file
	Key         string   // idempotency key, may be empty
	Digest      [32]byte // of the items and parameters; equal for equal jobs
	Window      string   // completion window as the caller gave it
	Metadata    []Pair
	Priority    int     // within the account, higher first
	Repeatable  bool    // an item may run again when the outcome of a run is unknown
	Weight      float64 // of the account, relative to others
	CreatedAt   time.Time
	Due         time.Time
	CancelledAt time.Time
	EndedAt     time.Time
	Status      Status
	Items       int
	Tokens      int   // max tokens that all items together may generate
	Done        int   // items in the results file
	Failed      int   // items in the errors file
	Leased      int   // items leased now
	Output      int64 // uncompressed bytes of the results file
	Errors      int64 // uncompressed bytes of the errors file
}

// Pair is one entry of a job's metadata.
type Pair struct {
	Name  string
	Value string
}

// OutputFile returns the id of a job's results file.
func OutputFile(job string) string { return "file-output-" + job }

// ErrorsFile returns the id of a job's errors file.
func ErrorsFile(job string) string { return "file-errors-" + job }

// Open reports whether items of the job may be leased.
func (j Job) Open() bool { return j.Status == InProgress }

// Pending returns the number of items that have no result and are not leased.
func (j Job) Pending() int { return j.Items - j.Done - j.Failed - j.Leased }

// Ref identifies an item by its job and its line in the input file, from 0.
type Ref struct {
	Job  string
	Item int
}

type itemState byte

const (
	pending itemState = iota
	leased
	done
	failed
)

// returnedItem is an item that was leased and came back without a result.
type returnedItem struct {
	item      int
	notBefore time.Time // not leased again earlier
}

// jobState is a job with the state of its items and its result files.
type jobState struct {
	Job
	states    []itemState
	next      int            // the first item that was never leased
	returned  []returnedItem // items to lease again, in the order in which they came back
	attempts  map[int]int    // failed runs by item
	suspicion map[int]int    // by item, see Grant.Suspicion
	output    File
	errors    File
}

func newJobState(j Job) *jobState {
	return &jobState{
		Job:       j,
		states:    make([]itemState, j.Items),
		attempts:  map[int]int{},
		suspicion: map[int]int{},
		output:    File{ID: OutputFile(j.ID), Account: j.Account, Name: j.ID + "_output.jsonl", Purpose: "batch_output", CreatedAt: j.CreatedAt, Sealed: true},
		errors:    File{ID: ErrorsFile(j.ID), Account: j.Account, Name: j.ID + "_errors.jsonl", Purpose: "batch_output", CreatedAt: j.CreatedAt, Sealed: true},
	}
}

// leaseItems leases up to n items that may run at the time at, returned ones first.
func (w *jobState) leaseItems(n int, at time.Time) []Grant {
	if !w.Open() {
		return nil
	}
	var l []Grant
	keep := w.returned[:0]
	for _, r := range w.returned {
		switch {
		case w.states[r.item] != pending:
		case len(l) == n || r.notBefore.After(at):
			keep = append(keep, r)
		default:
			l = append(l, w.leaseItem(r.item))
		}
	}
	w.returned = keep
	for len(l) < n && w.next < w.Items {
		if w.states[w.next] == pending {
			l = append(l, w.leaseItem(w.next))
		}
		w.next++
	}
	return l
}

func (w *jobState) leaseItem(item int) Grant {
	w.states[item] = leased
	w.Leased++
	return Grant{Ref: Ref{Job: w.ID, Item: item}, Attempts: w.attempts[item], Suspicion: w.suspicion[item]}
}

// returnItem makes a leased item available again from notBefore on; the zero time means immediately.
func (w *jobState) returnItem(item int, notBefore time.Time) {
	if w.states[item] != leased {
		return
	}
	w.states[item] = pending
	w.Leased--
	w.returned = append(w.returned, returnedItem{item: item, notBefore: notBefore})
}

// endItem marks an item as done or failed. It reports false, and changes nothing, if the item already has a result or
// the job is cancelled.
func (w *jobState) endItem(item int, s itemState) bool {
	if item < 0 || item >= len(w.states) || w.Status == Cancelled {
		return false
	}
	switch w.states[item] {
	case done, failed:
		return false
	case leased:
		w.Leased--
	}
	w.states[item] = s
	delete(w.attempts, item)
	delete(w.suspicion, item)
	if s == done {
		w.Done++
	} else {
		w.Failed++
	}
	return true
}

// finishIfDone ends the job once every item has a result or, during a cancel, once no item is leased.
func (w *jobState) finishIfDone(at time.Time) {
	switch {
	case w.Status == InProgress && w.Done+w.Failed == w.Items:
		w.Status = Completed
		w.EndedAt = at
	case w.Status == Cancelling && w.Leased == 0:
		w.Status = Cancelled
		w.EndedAt = at
	}
}

// header returns the job with the current sizes of its result files.
func (w *jobState) header() Job {
	j := w.Job
	j.Output = w.output.Bytes
	j.Errors = w.errors.Bytes
	return j
}
