package vm

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"snipetack/internal/command/settings"
	"snipetack/internal/coordination/batch"
	"snipetack/internal/coordination/budget"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/coordination/queue"
	"snipetack/internal/coordination/quota"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/coordination/routing"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/transport/disk"
	"snipetack/internal/transport/gateway"
	"snipetack/internal/transport/httpserver"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/keeper"
	"snipetack/internal/transport/mesh"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/operator"
	"snipetack/internal/transport/telemetry"
	"snipetack/internal/transport/upstream"
)

// Deps are the collaborators of a VM.
type Deps struct {
	Settings    settings.Settings // of the whole fleet
	Name        string            // of this VM in the settings
	Network     network.Network
	Disk        disk.Folder // nil on a VM that is no keeper
	Credentials identity.Provider
	Token       [32]byte // SHA-256 digest of the fleet operator's token
	Log         *slog.Logger
	Telemetry   *telemetry.Telemetry
	MemoryMB    int // of the VM in MiB; 0 is defaultMemoryMB
	MaxFiles    int // descriptors of the process; 0 is defaultMaxFiles
}

// VM is one VM of the fleet. Run is called at most once.
type VM struct {
	d         Deps
	self      settings.VM
	mesh      *mesh.Mesh
	copy      *feed.Copy
	follower  *feed.Follower
	publisher *feed.Publisher // nil on a VM that is no keeper, as are replica, owner, jobs and placer
	replica   *replica.Replica
	owner     *quota.Server
	limiter   *quota.Limiter
	queue     *queue.Queue
	gateway   *gateway.Gateway
	operator  *operator.Server
	inspector *operator.Inspector
	client    *keeper.Client
	caller    *upstream.Client
	router    *routing.Router
	watcher   *upstream.Watcher
	sharer    *upstream.Sharer
	forced    context.Context // ends on Force, which cuts a drain short
	forceStop context.CancelFunc
	jobs      *ledger.Machine
	scheduler *batch.Scheduler
	counter   *batch.Counter
	placer    *placer
	budget    *budget.Budget
	guard     *httpserver.Guard
}

// New builds a VM; a keeper recovers its state from the disk. It returns an error if the settings don't name the VM or
// the recovery fails.
func New(d Deps) (*VM, error) {
	s, ok := d.Settings.VM(d.Name)
	if !ok {
		return nil, errors.Errorf("the settings name no VM %q", d.Name)
	}
	v := &VM{d: d, self: s}
	v.forced, v.forceStop = context.WithCancel(context.Background())
	v.buildGuard()
	v.buildMesh()
	if s.Keeper() {
		if err := v.buildKeeper(); err != nil {
			return nil, err
		}
	}
	v.buildEntry()
	v.buildBatch()
	return v, nil
}

// Run serves until ctx ends, and then stops gracefully: no request in flight is cut off unless Force is called, in
// which case Run returns an error if it cut off requests. It also stops, with an error, when one of the VM's parts
// fails.
func (v *VM) Run(ctx context.Context) error {
	h, o, err := v.servers()
	if err != nil {
		return err
	}
	callers, operators, err := v.listen()
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, inner := errgroup.WithContext(inner)
	for _, f := range v.loops() {
		g.Go(func() error { return f(inner) })
	}
	endBatch := v.startBatch(inner)
	g.Go(func() error {
		return ignoreServerClosed(h.Serve(v.gateway.Listener(v.guard.Listen(callers, "callers", callerFraction))))
	})
	g.Go(func() error {
		return ignoreServerClosed(o.Serve(v.guard.Listen(operators, "operators", operatorFraction)))
	})
	v.d.Log.Info("serving", "vm", v.self.Name, "callers", callers.Addr(), "operators", operators.Addr())
	select {
	case <-ctx.Done():
	case <-inner.Done():
	}
	drainErr := v.drain(h, o)
	endBatch()
	stop()
	err = g.Wait()
	v.close()
	if err == nil || errors.Is(err, context.Canceled) {
		return drainErr
	}
	return err
}

// Copy returns the VM's copy of the configuration, which the keepers' updates keep current.
func (v *VM) Copy() *feed.Copy {
	return v.copy
}

// Commit commits a configuration change through the keepers.
func (v *VM) Commit(ctx context.Context, c catalog.Change) (catalog.Outcome, error) {
	return v.client.Commit(ctx, c)
}

// loops returns the functions that run until the VM has stopped, each in a goroutine of its own.
func (v *VM) loops() []func(context.Context) error {
	l := []func(context.Context) error{
		v.mesh.Run, v.follower.Run, v.limiter.Run, v.queue.Run, v.gateway.Run, v.watcher.Run, v.sharer.Run, v.relieve,
	}
	if v.replica != nil {
		l = append(l, v.replica.Run, v.publisher.Run, v.owner.Run, v.placer.Run)
	}
	return l
}

func (v *VM) buildMesh() {
	v.mesh = mesh.New(mesh.Deps{
		VM:          v.self.Name,
		Listen:      v.self.Mesh,
		Local:       hostOf(v.self.Mesh) + ":0",
		Network:     v.d.Network,
		Credentials: v.d.Credentials,
		Directory:   v.d.Settings,
		Log:         v.d.Log,
	})
}

func (v *VM) listen() (callers, operators net.Listener, err error) {
	callers, err = v.d.Network.Listen(v.self.Callers)
	if err != nil {
		return nil, nil, err
	}
	operators, err = v.d.Network.Listen(v.self.Operators)
	if err != nil {
		_ = callers.Close()
	}
	return callers, operators, err
}

func (v *VM) close() {
	v.caller.Close()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func hostOf(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
