package batches

import (
	"fmt"
	"strconv"
	"time"

	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// fileObject is a file in responses.
type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at,omitempty"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// deletedObject is the response to a deletion.
type deletedObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// list is a page of a listing.
type list[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
	HasMore bool   `json:"has_more"`
}

// batchRequest is the body of a request to create a job.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject is a job in responses; times are in Unix seconds, and zero times are omitted.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancellingAt     int64             `json:"cancelling_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata,omitempty"`
}

type requestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

func fileOf(f ledger.File) fileObject {
	return fileObject{
		ID:        f.ID,
		Object:    "file",
		Bytes:     f.Bytes,
		CreatedAt: f.CreatedAt.Unix(),
		ExpiresAt: f.CreatedAt.Add(ledger.DefaultLimits().Retention).Unix(),
		Filename:  f.Name,
		Purpose:   f.Purpose,
		Status:    "processed",
	}
}

func batchOf(j ledger.Job) batchObject {
	b := batchObject{
		ID:               j.ID,
		Object:           "batch",
		Endpoint:         j.Endpoint,
		InputFileID:      j.File,
		CompletionWindow: j.Window,
		Status:           string(j.Status),
		CreatedAt:        j.CreatedAt.Unix(),
		InProgressAt:     j.CreatedAt.Unix(),
		ExpiresAt:        j.Due.Unix(),
		RequestCounts:    requestCounts{Total: j.Items, Completed: j.Done, Failed: j.Failed},
		Metadata:         map[string]string{},
	}
	for _, p := range j.Metadata {
		b.Metadata[p.Name] = p.Value
	}
	if j.Done > 0 {
		b.OutputFileID = ledger.OutputFile(j.ID)
	}
	if j.Failed > 0 {
		b.ErrorFileID = ledger.ErrorsFile(j.ID)
	}
	switch j.Status {
	case ledger.Completed:
		b.CompletedAt = j.EndedAt.Unix()
	case ledger.Cancelling:
		b.CancellingAt = j.CancelledAt.Unix()
	case ledger.Cancelled:
		b.CancellingAt = j.CancelledAt.Unix()
		b.CancelledAt = j.EndedAt.Unix()
	}
	return b
}

// Names of the metadata entries that affect scheduling; all others are only stored.
const (
	dueEntry      = "due_at"   // due time in RFC 3339 or Unix seconds; overrides the completion window
	priorityEntry = "priority" // integer; the account's jobs with a higher priority run first
)

// due returns the job's due time: the due_at entry, or else the end of the completion window, which starts at now.
func (q batchRequest) due(now time.Time) (time.Time, error) {
	if v := q.Metadata[dueEntry]; v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			return time.Unix(n, 0), nil
		}
		t, err := time.Parse(time.RFC3339, v)
		if err != nil {
			return t, result.New(result.MalformedRequest, "metadata.%s is neither RFC 3339 nor Unix seconds", dueEntry)
		}
		return t, nil
	}
	d, err := parseWindow(q.CompletionWindow)
	return now.Add(d), err
}

// priority returns the job's priority among the jobs of its account, by default 0.
func (q batchRequest) priority() (int, error) {
	v := q.Metadata[priorityEntry]
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, result.New(result.MalformedRequest, "metadata.%s is not a whole number", priorityEntry)
	}
	return n, nil
}

// parseWindow parses a completion window: a Go duration, whole days such as 7d, or 24 hours when empty.
func parseWindow(w string) (time.Duration, error) {
	if w == "" {
		return 24 * time.Hour, nil
	}
	var n int
	if _, err := fmt.Sscanf(w, "%dd", &n); err == nil && w == strconv.Itoa(n)+"d" && n > 0 {
		return time.Duration(n) * 24 * time.Hour, nil
	}
	d, err := time.ParseDuration(w)
	if err != nil || d <= 0 {
		return 0, result.New(result.MalformedRequest, "completion_window %q is not a length of time such as 24h", w)
	}
	return d, nil
}
