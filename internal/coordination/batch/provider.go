package batch

import (
	"context"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
)

// LedgerProvider commits commands to the replicated state of batch work and reads it.
type LedgerProvider interface {
	// Propose commits a command and returns its outcome. After an error it may or may not be committed.
	Propose(ctx context.Context, c ledger.Command) (ledger.Outcome, error)
	// Read queries any reachable keeper, whose state may lag.
	Read(ctx context.Context, q ledger.Query) (ledger.Response, error)
}

// RunnerProvider runs items at upstreams.
type RunnerProvider interface {
	// Run runs an item until it ends or ctx is cancelled, and then frees its slot.
	Run(ctx context.Context, u catalog.Upstream, t Task) Ending
	// Cancel frees the slot of an item that the previous lease holder may have left running.
	Cancel(ctx context.Context, u catalog.Upstream, r ledger.Ref)
	// Load requests the upstream's load report.
	Load(ctx context.Context, u catalog.Upstream) (LoadReport, error)
	// Parse extracts an item from a line of the input file.
	Parse(line []byte) (customID string, body []byte, err error)
}

// CopyProvider returns the VM's copy of the configuration.
type CopyProvider interface {
	Current() *catalog.Configuration
}

// LoadProvider counts this VM's online requests in flight.
type LoadProvider interface {
	InFlight(upstream string) int
	// Changed is signalled after changes; one signal may stand for several.
	Changed() <-chan struct{}
}

// SendProvider sends one-way messages to VMs.
type SendProvider interface {
	SendLoad(vm string, l Load)
}

// Load is a VM's count of its online requests in flight at an upstream, sent to the lease holder.
type Load struct {
	Upstream string
	InFlight int
	Burst    bool // the count grew, so batch may have to be preempted immediately
}

// End is the way in which a run ended.
type End int

// The ways in which a run ends.
const (
	Finished  End = iota // with a result line
	Failed               // the item itself failed, with an error line
	Refused              // not run: the upstream was unreachable or declined the item
	Broken               // the upstream broke during the run; the item may have run
	Preempted            // stopped by this VM
	Uncertain            // stopped by this VM; it may have run, and may not be repeated
	Throttled            // the account's batch share had no token; nothing was sent
)

// String returns the name of the end as logged.
func (e End) String() string {
	return [...]string{"finished", "failed", "refused", "broken", "preempted", "uncertain", "throttled"}[e]
}

// Ending is the outcome of a run.
type Ending struct {
	End     End
	Line    []byte // of the results or errors file, without line end; if Broken, used only if the item is given up
	Partial Partial
}
