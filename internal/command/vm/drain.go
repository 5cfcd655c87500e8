package vm

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pause"
)

// Timing of a planned stop. The VM reports that it is not ready for this long before its listeners close, so that the
// load balancer stops sending requests to it.
const (
	balancerDelay = 5 * time.Second
	singleVMDelay = time.Second // in a fleet of one VM, where no other one could take over
)

// errForced is returned by Run when a forced stop has cut off requests in flight.
var errForced = errors.New("the stop was forced: requests were cut off")

// Force ends a planned stop immediately: requests that are still in flight are cut off, and each is logged. It is safe
// for concurrent use.
func (v *VM) Force() {
	v.forceStop()
}

// drain makes the VM unready, transfers leadership and lets all requests in flight finish.
//
// It has no time limit of its own, as each request has one: the deadline of its service, the timeout of a caller that
// reads too slowly, or the timeout of an unresponsive upstream. Whoever can't wait that long calls Force.
func (v *VM) drain(callers, operators *http.Server) error {
	v.gateway.Drain()
	v.d.Log.Info("draining", "vm", v.self.Name, "in_flight", len(v.gateway.InFlight()))
	v.transferLeadership()
	d := balancerDelay
	if len(v.d.Settings.VMs) == 1 {
		d = singleVMDelay
	}
	pause.For(v.forced, d)
	if callers.Shutdown(v.forced) == nil && operators.Shutdown(v.forced) == nil {
		v.d.Log.Info("drained", "vm", v.self.Name)
		return nil
	}
	return v.forceClose(callers, operators)
}

// forceClose closes the servers and logs each request that this cuts off.
func (v *VM) forceClose(servers ...*http.Server) error {
	l := v.gateway.InFlight()
	for _, a := range l {
		v.d.Log.Error("request cut off", "vm", v.self.Name, "area", a.Area, "account", a.Account, "age", time.Since(a.Since))
	}
	for _, s := range servers {
		_ = s.Close()
	}
	v.d.Log.Error("stop forced", "vm", v.self.Name, "requests_cut_off", len(l))
	if len(l) == 0 {
		return nil
	}
	return errForced
}
