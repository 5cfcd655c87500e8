package vm

import (
	"context"
	"math/rand/v2"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/coordination/routing"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/transport/gateway"
	"snipetack/internal/transport/keeper"
	"snipetack/internal/transport/operator"
	"snipetack/internal/transport/upstream"
)

// buildEntry builds the gateway for callers, the operators' API and what they need: the copy of the configuration, the
// limiter, the queue, the router and the client of upstreams.
func (v *VM) buildEntry() {
	k := v.d.Settings.KeepersFor(v.self)
	v.copy = feed.New(nil)
	v.follower = feed.NewFollower(v.copy, k, v.watch, v.d.Log)
	v.client = keeper.NewClient(v.mesh, k)
	v.caller = upstream.New(v.d.Network)
	v.buildLimiter(k)
	v.router = routing.New(v.d.Log, v.self.DataCentre, rand.Uint64())
	v.buildQueue()
	v.counter = batch.NewCounter()
	v.gateway = gateway.New(gateway.Deps{
		Copy:    v.copy,
		Limiter: v.limiter,
		Queue:   v.queue,
		Router:  &countingRouter{RouterProvider: v.router, counter: v.counter},
		Caller:  v.caller,
		Groups:  v.client,
		Log:     v.d.Log,
	})
	v.watcher = upstream.NewWatcher(v.caller, v.copy, v.router, v.d.Log)
	v.sharer = upstream.NewSharer(v.mesh, v.otherVMs(), v.router)
	v.mesh.Receive(frame.Load, v.sharer.Receive)
	v.inspector = operator.NewInspector(v.mesh, self{v}, v.inspectedVMs())
	v.inspector.Serve(v.mesh)
	v.operator = operator.New(operator.Deps{
		Copy:    v.copy,
		Change:  v.client,
		History: v.client,
		Reports: v.inspector,
		Token:   v.d.Token,
		Log:     v.d.Log,
	})
	operator.MountKeepers(v.operator, v.client)
	operator.MountPlacement(v.operator, v.mesh, k)
	if v.placer != nil {
		v.placer.copy, v.placer.send = v.copy, v.caller.Order
	}
	operator.MountBackup(v.operator, keeper.NewBackups(v.mesh, k))
}

// watch opens a stream of configuration updates from keeper k.
func (v *VM) watch(ctx context.Context, k string) (feed.Stream, func(), error) {
	s, err := v.mesh.Open(ctx, k, frame.Watch)
	if err != nil {
		return nil, nil, err
	}
	return s, s.Abort, nil
}

func (v *VM) otherVMs() []string {
	var l []string
	for _, o := range v.d.Settings.VMs {
		if o.Name != v.self.Name {
			l = append(l, o.Name)
		}
	}
	return l
}
