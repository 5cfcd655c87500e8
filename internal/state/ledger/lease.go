package ledger

import "sort"

// Lease names the VM that schedules the batch items of an upstream.
type Lease struct {
	Upstream string
	VM       string // empty after a release
	Epoch    uint64 // fencing number, incremented when a VM takes the lease
	Renewal  uint64 // incremented with each report of the holder and when the lease is taken or released
	Held     int    // items leased under it; set when read
}

// leaseState is a lease with the items leased under it and its newest report.
type leaseState struct {
	Lease
	sequence uint64 // of the newest report; 0 before the first of an epoch
	outcome  []byte // encoded outcome of the newest report, returned when that report is repeated
	held     map[Ref]bool
}

// refs returns the held items sorted, since map order would make the replicas differ.
func (h *leaseState) refs() []Ref {
	l := make([]Ref, 0, len(h.held))
	for r := range h.held {
		l = append(l, r)
	}
	sort.Slice(l, func(i, j int) bool {
		if l[i].Job != l[j].Job {
			return l[i].Job < l[j].Job
		}
		return l[i].Item < l[j].Item
	})
	return l
}
