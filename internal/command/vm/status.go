package vm

import (
	"snipetack/internal/state/group"
	"snipetack/internal/transport/operator"
)

// self serves the operators' reports about this VM and their requests to drain it.
type self struct {
	v *VM
}

var _ operator.SelfProvider = self{}

// Report returns the VM's present state.
func (s self) Report() operator.Report {
	r := operator.Report{
		VM:         s.v.self.Name,
		DataCentre: s.v.self.DataCentre,
		Keeper:     s.v.self.Keeper(),
		Revision:   s.v.copy.Current().Revision,
		Age:        s.v.copy.Age(),
		Fresh:      s.v.copy.Fresh(),
		Draining:   s.v.gateway.Draining(),
		InFlight:   s.v.router.InFlight(),
		Waiting:    s.v.queue.Waiting(),
	}
	if s.v.replica != nil {
		r.Leader, r.Term = s.v.replica.Leader(group.Control)
	}
	return r
}

// Drain makes the VM unready and transfers the leadership of its groups. The VM keeps running, and a repeated call does
// nothing.
func (s self) Drain() {
	if s.v.gateway.Draining() {
		return
	}
	s.v.gateway.Drain()
	s.v.d.Log.Info("draining", "vm", s.v.self.Name, "reason", "operator")
	s.v.transferLeadership()
}

// inspectedVMs returns the VMs of the settings, which operators get reports of.
func (v *VM) inspectedVMs() []operator.VM {
	var l []operator.VM
	for _, o := range v.d.Settings.VMs {
		l = append(l, operator.VM{Name: o.Name, DataCentre: o.DataCentre, Keeper: o.Keeper()})
	}
	return l
}
