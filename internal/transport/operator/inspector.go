package operator

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/mesh"
)

// Bounds of requests to the other VMs.
const (
	reportTimeout         = time.Second     // a VM that has not responded by then is reported as missing
	drainTimeout          = 4 * time.Second // longer, since a draining VM transfers its leaderships
	maxConcurrentRequests = 32
)

// What a VM is requested to do: the only byte of a VMStatus request.
const (
	requestReport = 'r'
	requestDrain  = 'd' // drain, then report
)

// CallProvider sends a request to a VM and returns its response.
type CallProvider interface {
	Call(ctx context.Context, vm string, k frame.Kind, request []byte) ([]byte, error)
}

// SelfProvider is the VM that an Inspector belongs to.
type SelfProvider interface {
	// Report returns the VM's present state.
	Report() Report
	// Drain makes the VM unready and has it transfer its leaderships. Repeated calls are harmless.
	Drain()
}

// VM is a VM as the settings name it.
type VM struct {
	Name       string
	DataCentre string
	Keeper     bool
}

// Inspector requests reports and drains from the VMs of the fleet, and serves such requests for its own VM.
type Inspector struct {
	calls CallProvider
	self  SelfProvider
	vms   []VM
}

// NewInspector returns an Inspector of the VMs in the settings.
func NewInspector(c CallProvider, s SelfProvider, vms []VM) *Inspector {
	return &Inspector{calls: c, self: s, vms: vms}
}

// Serve registers the handler of other VMs' requests; it must be called before the mesh runs.
func (i *Inspector) Serve(m *mesh.Mesh) {
	m.Handle(frame.VMStatus, func(_ context.Context, _ string, b []byte) ([]byte, error) {
		if len(b) == 1 && b[0] == requestDrain {
			i.self.Drain()
		}
		return encodeReport(i.self.Report()), nil
	})
}

// Reports returns a report of each VM in the order of the settings. A VM without a response has Report.Missing set.
func (i *Inspector) Reports(ctx context.Context) []Report {
	l := make([]Report, len(i.vms))
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for n, v := range i.vms {
		g.Go(func() error {
			l[n] = i.request(ctx, v, requestReport)
			return nil
		})
	}
	_ = g.Wait()
	return l
}

// Drain has a VM drain and returns its report. When the VM does not respond, it is unknown whether it drains.
func (i *Inspector) Drain(ctx context.Context, vm string) (Report, error) {
	for _, v := range i.vms {
		if v.Name != vm {
			continue
		}
		r := i.request(ctx, v, requestDrain)
		if r.Missing != "" {
			return r, result.New(result.NotReady, "VM %s did not answer: %s", vm, r.Missing).WithRan(result.Unknown)
		}
		return r, nil
	}
	return Report{}, result.New(result.MalformedRequest, "the settings name no VM %q", vm)
}

// request sends requestReport or requestDrain to a VM, or carries it out when the VM is the Inspector's own.
func (i *Inspector) request(ctx context.Context, v VM, command byte) Report {
	if v.Name == i.self.Report().VM {
		if command == requestDrain {
			i.self.Drain()
		}
		return i.self.Report()
	}
	limit := reportTimeout
	if command == requestDrain {
		limit = drainTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	b, err := i.calls.Call(ctx, v.Name, frame.VMStatus, []byte{command})
	var r Report
	if err == nil {
		r, err = decodeReport(b)
	}
	if err != nil {
		return Report{VM: v.Name, DataCentre: v.DataCentre, Keeper: v.Keeper, Missing: err.Error()}
	}
	return r
}
