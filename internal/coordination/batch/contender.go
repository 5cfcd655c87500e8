package batch

import (
	"time"

	"snipetack/internal/state/ledger"
)

// Contender decides when a VM may take an upstream's batch lease. It does no I/O and is not safe for concurrent use.
type Contender struct {
	s        Settings
	vm       string
	vms      []string
	observed map[string]observation
}

// observation is a state of a lease and the time since which this VM has seen it unchanged.
type observation struct {
	epoch   uint64
	renewal uint64
	since   time.Time
}

// NewContender returns a Contender for a VM among all VMs of the fleet.
func NewContender(s Settings, vm string, vms []string) *Contender {
	return &Contender{s: s, vm: vm, vms: vms, observed: map[string]observation{}}
}

// MayTake reports whether the VM may take lease l, read at now. A free lease may be taken after Stagger for each VM
// that ranks before this one; a held one also needs LeaseTime and Grace without a renewal. This VM counts from when
// it first saw the last renewal, the holder from before it sent that renewal, so the holder stops first.
func (c *Contender) MayTake(l ledger.Lease, now time.Time) bool {
	v, ok := c.observed[l.Upstream]
	if !ok || v.epoch != l.Epoch || v.renewal != l.Renewal {
		v = observation{epoch: l.Epoch, renewal: l.Renewal, since: now}
		c.observed[l.Upstream] = v
	}
	d := time.Duration(Rank(c.vms, c.vm, l.Upstream)) * c.s.Stagger
	if l.VM != "" {
		d += c.s.LeaseTime + c.s.Grace
	}
	return now.Sub(v.since) >= d
}
