package ledger

import (
	"time"

	"snipetack/internal/state/result"
)

// Command is one entry of a job shard's log; exactly one field besides At is set. A sender that received no outcome may
// send the same command again.
type Command struct {
	At      time.Time // by the sender's clock
	Open    *File     // starts an upload
	Append  *Append
	Seal    *Seal
	Drop    *Drop
	Create  *Create
	Cancel  *Cancel
	Take    *Take
	Release *Release
	Report  *Report
	Prune   bool // removes files and jobs past their retention, and uploads not sealed in time
}

// Append adds a chunk to an upload. Chunks are numbered from 0 and arrive in order; one already stored is ignored.
type Append struct {
	File   string
	Number int
	Chunk  Chunk
}

// Seal completes an upload; only then can the file be read and used by jobs.
type Seal struct {
	File     string
	Digest   [32]byte // SHA-256 of the content
	Model    string   // named by every item
	Endpoint string   // named by every item
	Tokens   int      // max tokens that all items together may generate
}

// Drop removes a file of an account, unless a job that has not ended uses it.
type Drop struct {
	File    string
	Account string
}

// Create adds a job, unless the same one exists: by ID or, among those of the account, by idempotency key. Jobs without
// a key are the same if their digests are equal and the older one was created at most Resend ago.
type Create struct {
	Job    Job
	Resend time.Duration // 0: digests are not compared
}

// Cancel starts to cancel a job of an account; one that has ended or is being cancelled stays as it is.
type Cancel struct {
	Job     string
	Account string
}

// Take makes a VM the holder of an upstream's lease, if the lease has not changed since the VM read it.
type Take struct {
	Upstream string
	VM       string
	Epoch    uint64 // as read
	Renewal  uint64 // as read
}

// Release gives up a lease and returns its items to their jobs.
type Release struct {
	Upstream string
	Epoch    uint64
}

// Report commits the results of items, returns items to their jobs, leases more and renews the lease. Its results count
// even when the lease is lost.
type Report struct {
	Upstream string
	Epoch    uint64
	Sequence uint64 // from 1 in each epoch, incremented with each report; a repeat has the same number
	Bundles  []Bundle
	Retries  []Retry
	Released []Ref // not run, preempted or cancelled; counts as no attempt
	Broken   []Ref // in flight when the upstream failed; counts as no attempt but adds to Suspicion
	Claims   []Claim
}

// Bundle holds result lines of one job, compressed together.
type Bundle struct {
	Job     string
	Failed  bool  // the lines go to the errors file
	Items   []int // item of each line
	Lengths []int // uncompressed bytes of each line, including its line end
	Data    []byte
}

// Retry returns an item whose run failed through the item itself, not the upstream; the run counts as an attempt.
type Retry struct {
	Ref       Ref
	NotBefore time.Time // not leased again earlier
}

// Claim requests the lease of up to Items items of a job.
type Claim struct {
	Job   string
	Items int
}

// Grant is an item leased to the sender of a report.
type Grant struct {
	Ref       Ref
	Attempts  int // failed runs so far, see Retry
	Suspicion int // times an upstream failed with the item in flight; the item may be the cause
}

// Outcome is the result of a command for its sender.
type Outcome struct {
	Code   result.Code
	Detail string
	Job    *Job    // created, found or cancelled
	File   *File   // created, found or sealed
	Epoch  uint64  // of the lease after the command
	Grants []Grant // items leased by a Report
	// Revoked lists items that the sender must stop: after a Report those of the lease that have ended or whose job is
	// being cancelled, after a Take those of the previous holder, which may still run at the upstream.
	Revoked []Ref
	Stale   bool // the lease has changed since the sender read it, or a newer report was applied
}
