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

	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
	"snipetack/internal/transport/disk"
	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/jobs"
	"snipetack/internal/transport/link"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/relay"
	"snipetack/internal/transport/telemetry"
)

// memoryPart of the limit is left to the heap; the rest is for stacks and what the runtime does not count.
const memoryPart = 0.75

// ListProvider reads the list of upstreams.
type ListProvider interface {
	Read(ctx context.Context) ([]roster.Upstream, error)
	// Calls returns how many calls the last read took, at least one.
	Calls() int
}

// ControlProvider is what operators call at a control VM.
type ControlProvider interface {
	Put(ctx context.Context, p *plan.Plan, document []byte) error
	Get(ctx context.Context) ([]byte, error)
	Retire(ctx context.Context, vm string) error
	Retired(ctx context.Context, vm string) (bool, error)
}

// Surroundings speak with callers, operators and upstreams in their manner.
type Surroundings struct {
	DecodePlan func(document []byte) (*plan.Plan, error)
	Upstreams  func(p *httpconn.Pool) relay.UpstreamProvider
	List       func(p *httpconn.Pool, address string) ListProvider
	Callers    func(r *relay.Relay, j *jobs.Client) http.Handler
	Ready      func(ready func() bool) http.Handler
	Operators  func(c ControlProvider) http.Handler
}

// Deps are the collaborators of a Node.
type Deps struct {
	Settings     Settings
	Reload       func() (Settings, error)
	Network      network.Network
	Disk         disk.Folder // nil where the VM has none
	Surroundings Surroundings
	Telemetry    *telemetry.Telemetry
	Log          *slog.Logger
}

// Node is one VM.
type Node struct {
	Deps
	link   *link.Link
	member *member
	conns  *httpconn.Pool
	list   ListProvider
}

// linkPort returns the port of a class's links; VMs of several classes may share an IP number.
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

// bindAddress returns where the links of other VMs come in.
func bindAddress(s Settings) string {
	ip := s.BindIP
	if ip == "" {
		ip = s.IP
	}
	return net.JoinHostPort(ip, strconv.Itoa(linkPort(s, roster.Class(s.Class))))
}

// New returns a Node.
func New(d Deps) *Node {
	s := d.Settings
	c := roster.Class(s.Class)
	address := net.JoinHostPort(s.IP, strconv.Itoa(linkPort(s, c)))
	n := &Node{Deps: d}
	n.link = link.New(link.Deps{Self: address, Network: d.Network, Log: d.Log})
	n.conns = httpconn.New(d.Network)
	n.list = d.Surroundings.List(n.conns, s.List)
	n.member = newMember(n, roster.VM{Name: s.VM, Address: address, Class: c, Zone: s.Zone})
	return n
}

// LimitRuntime fits the process into the VM.
func LimitRuntime(s Settings) {
	runtime.GOMAXPROCS(s.Cores)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
}

// duty is what a class of VMs does beside being a member.
type duty interface {
	// run serves until ctx ends.
	run(ctx context.Context) error
	// stop prepares the end; it returns when nothing is left to finish or ctx ends.
	stop(ctx context.Context)
}

// Run serves until ctx ends, finishes what is in flight, and returns.
func (n *Node) Run(ctx context.Context) error {
	s := n.Settings
	n.Log.Info("start", "class", s.Class, "link", n.link.Self(), "seeds", s.Seeds, "bootstrap", s.Bootstrap)
	d, err := n.duty()
	if err != nil {
		return err
	}
	if err := n.member.measure(); err != nil {
		return err
	}
	l, err := n.Network.Listen(bindAddress(s))
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, inner := errgroup.WithContext(running)
	g.Go(func() error { return n.link.Serve(inner, l) })
	g.Go(func() error { return n.member.run(inner) })
	g.Go(func() error { return d.run(inner) })
	g.Go(func() error { return serveHTTP(inner, n, s.Metrics, n.Telemetry.Handler()) })
	select {
	case <-ctx.Done():
		n.Log.Info("stopping", "grace", s.Grace)
		limit, end := context.WithTimeout(inner, s.Grace-killMargin)
		d.stop(limit)
		end()
	case <-inner.Done():
	}
	cancel()
	err = g.Wait()
	n.Log.Info("stopped", "error", err)
	return err
}

// killMargin is left between the end of a planned stop and the kill.
const killMargin = 300 * time.Millisecond

func (n *Node) duty() (duty, error) {
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

// voters returns how many VMs of a group vote, for the losses that it has to bear.
func (n *Node) voters() int {
	return max(5, 2*n.Settings.Losses+1)
}

// Changed takes a change of the settings file.
func (n *Node) Changed() { n.member.reload() }

// fewest returns how many VMs of a group must be left, so that it goes on after the losses that it has to bear.
func (n *Node) fewest() int {
	return 2*n.Settings.Losses + 1
}
