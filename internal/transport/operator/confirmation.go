package operator

import (
	"context"
	"time"

	"snipetack/internal/coordination/feed"
	"snipetack/internal/coordination/pause"
)

// confirmInterval is the pause between two requests for the VMs' revisions.
const confirmInterval = 250 * time.Millisecond

// Confirmation groups the VMs by whether a revision is in force on them.
type Confirmation struct {
	Confirmed []string // have the revision or a later one
	Expired   []string // have not reported it, and their freshness lease has expired: they refuse requests with a key
	Waiting   []string // have not reported it, and may still admit requests with a key under an older revision
}

// Done reports whether no VM can admit a request with a key under an older revision.
func (c Confirmation) Done() bool {
	return len(c.Waiting) == 0
}

// Confirm waits until each VM has a revision or its freshness lease has expired. It calls progress with each set of
// reports, also with the last one. The error is that of ctx, or of the request for the reports.
//
// The revision must have been committed before the call. A copy is fresh for FreshnessLease from a moment at which it
// held all that was committed, so FreshnessLease after the call a VM without the revision admits no requests with a key.
func (c *Client) Confirm(ctx context.Context, revision uint64, progress func(Confirmation)) (Confirmation, error) {
	start := time.Now()
	for {
		expired := time.Since(start) > feed.FreshnessLease
		l, err := c.Reports(ctx)
		if err != nil {
			return Confirmation{}, err
		}
		n := confirmation(l, revision, expired)
		progress(n)
		if n.Done() {
			return n, nil
		}
		if !pause.For(ctx, confirmInterval) {
			return n, ctx.Err()
		}
	}
}

func confirmation(l []Report, revision uint64, expired bool) Confirmation {
	var n Confirmation
	for _, r := range l {
		switch {
		case r.Missing == "" && r.Revision >= revision:
			n.Confirmed = append(n.Confirmed, r.VM)
		case expired:
			n.Expired = append(n.Expired, r.VM)
		default:
			n.Waiting = append(n.Waiting, r.VM)
		}
	}
	return n
}
