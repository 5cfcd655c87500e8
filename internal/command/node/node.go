package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"snipetack/internal/coordination/budget"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/disk"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/httpserver"
	"snipetack/internal/transport/jobs"
	"snipetack/internal/transport/link"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/relay"
	"snipetack/internal/transport/telemetry"
)

// heapFraction is the fraction of the VM's memory that is left to the heap; the rest is for stacks and what the Go runtime
// does not count.
const heapFraction = 0.75

// ListProvider reads the list of upstreams.
type ListProvider interface {
	Read(ctx context.Context) ([]roster.Upstream, error)
	// Calls returns how many calls the last read took, at least one.
	Calls() int
}

// ControlProvider is what operators call at a control VM. Each method needs the control group's leader, which may be another VM.
type ControlProvider interface {
	// Put commits a configuration; one whose version is not newer changes nothing. After an error it may still be committed.
	Put(ctx context.Context, p *plan.Plan, document []byte) error
	// Get returns the newest committed configuration.
	Get(ctx context.Context) ([]byte, error)
	// Retire starts to drain a batch VM.
	Retire(ctx context.Context, vm string) error
	// Retired reports whether a batch VM has left its group, so that it can be stopped.
	Retired(ctx context.Context, vm string) (bool, error)
	// Evacuate lets no VM start anything at the upstreams of a data centre. After an error the order may still be committed.
	Evacuate(ctx context.Context, zone string) error
	// EndEvacuation revokes Evacuate.
	EndEvacuation(ctx context.Context, zone string) error
}

// Adapters translate between a Node and the formats and calls of callers, operators and upstreams.
type Adapters struct {
	DecodePlan func(document []byte) (*plan.Plan, error)
	Upstreams  func(p *httpconn.Pool) relay.UpstreamProvider
	Segments   func(headers map[string]string) []string // ids of a prompt's segments that other requests may share, from an item's headers
	List       func(p *httpconn.Pool, address string, log *slog.Logger) ListProvider
	Callers    func(r *relay.Relay, j *jobs.Client, log *slog.Logger) http.Handler
	Ready      func(ready func() bool) http.Handler
	Operators  func(c ControlProvider) http.Handler
}

// Deps are the collaborators of a Node.
type Deps struct {
	Settings  Settings
	Reload    func() (Settings, error) // reads the settings file again
	Network   network.Network
	Disk      disk.Folder // nil where the VM has none
	Adapters  Adapters
	Telemetry *telemetry.Telemetry
	Log       *slog.Logger
}

// Node runs one VM.
type Node struct {
	Deps
	link   *link.Link
	member *member
	conns  *httpconn.Pool
	list   ListProvider
	guard  *httpserver.Guard
	budget *budget.Budget
}

// linkPort returns the port on which VMs of a class accept links. Each class has its own, since VMs of several classes may
// share an IP address.
func linkPort(s Settings, c roster.Class) int {
	switch c {
	case roster.Control:
		return s.FirstPort + 1
	case roster.Batch:
		return s.FirstPort + 2
	default:
		return s.FirstPort
	}
}

// bindAddress returns the address to listen on for links of other VMs.
func bindAddress(s Settings) string {
	ip := s.BindIP
	if ip == "" {
		ip = s.IP
	}
	return net.JoinHostPort(ip, strconv.Itoa(linkPort(s, roster.Class(s.Class))))
}

// New returns a Node that is not connected to others until Run.
func New(d Deps) *Node {
	s := d.Settings
	c := roster.Class(s.Class)
	address := net.JoinHostPort(s.IP, strconv.Itoa(linkPort(s, c)))
	n := &Node{Deps: d}
	n.buildGuard()
	n.link = link.New(link.Deps{Self: address, Network: d.Network, Log: d.Log})
	n.conns = httpconn.New(d.Network)
	n.list = d.Adapters.List(n.conns, s.List, n.Log)
	n.member = newMember(n, roster.VM{Name: s.VM, Address: address, Class: c, Zone: s.Zone})
	n.conns.OnLost(n.member.upstreamLost)
	return n
}

// LimitRuntime sets the Go runtime's limits of cores and memory for the whole process.
func LimitRuntime(s Settings) {
	runtime.GOMAXPROCS(s.Cores)
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryMB) * (1 << 20)))
}

// role is the work of a class of VMs, beside the member's that all classes share.
type role interface {
	// run serves until ctx ends.
	run(ctx context.Context) error
	// stop prepares for the end of run; it returns when nothing is left to finish or ctx ends.
	stop(ctx context.Context)
}

// Run serves until ctx ends, finishes what is in flight within Settings.Grace, and returns. It returns early with an error
// when a part of the VM fails.
func (n *Node) Run(ctx context.Context) error {
	s := n.Settings
	n.Log.Info("start", "class", s.Class, "link", n.link.Self(), "seeds", s.Seeds, "bootstrap", s.Bootstrap)
	d, err := n.newRole()
	if err != nil {
		return err
	}
	if err := n.member.registerGauges(); err != nil {
		return err
	}
	l, err := n.Network.Listen(bindAddress(s))
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, groupCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return n.link.Serve(groupCtx, l) })
	g.Go(func() error { return n.member.run(groupCtx) })
	g.Go(func() error { return d.run(groupCtx) })
	g.Go(func() error {
		return serveShare(groupCtx, n, s.Metrics, "metrics", sideFraction, n.Telemetry.Handler())
	})
	select {
	case <-ctx.Done():
		n.Log.Info("stopping", "grace", s.Grace)
		stopCtx, cancelStop := context.WithTimeout(groupCtx, s.Grace-killMargin)
		d.stop(stopCtx)
		cancelStop()
	case <-groupCtx.Done():
	}
	cancel()
	err = g.Wait()
	n.Log.Info("stopped", "error", err)
	return err
}

// killMargin is the time left between the deadline of a planned stop and the kill after Settings.Grace.
const killMargin = 300 * time.Millisecond

// newRole returns the role for the VM's class.
func (n *Node) newRole() (role, error) {
	switch roster.Class(n.Settings.Class) {
	case roster.Entry:
		return newEntry(n)
	case roster.Control:
		return newControl(n)
	case roster.Batch:
		return newBatch(n)
	}
	return nil, errors.Errorf("class %q is unknown", n.Settings.Class)
}

// voters returns the max number of voters in a group; with that many a majority remains after Settings.Losses.
func (n *Node) voters() int {
	return max(5, 2*n.Settings.Losses+1)
}

// ReloadSeeds reads the settings file again after a change; only the seeds are adopted.
func (n *Node) ReloadSeeds() { n.member.reload() }

// minRemaining returns how many VMs of a group must remain when one is drained, so that a majority remains after
// Settings.Losses.
func (n *Node) minRemaining() int {
	return 2*n.Settings.Losses + 1
}
