package vm

import (
	"context"
	"time"

	"snipetack/internal/coordination/control"
	"snipetack/internal/coordination/feed"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/group"
	"snipetack/internal/state/intent"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/order"
	"snipetack/internal/transport/keeper"
	"snipetack/internal/transport/mesh"
	"snipetack/internal/transport/operator"
)

// transferTimeout bounds the transfer of leadership at a planned stop; after it the groups elect new leaders.
const transferTimeout = 2 * time.Second

// consensusSender sends the consensus messages of the replicated groups over the mesh.
type consensusSender struct {
	mesh *mesh.Mesh
}

// Send queues a frame to the keeper of a VM.
func (s consensusSender) Send(vm string, b []byte) {
	s.mesh.Send(vm, frame.Consensus, b)
}

// buildKeeper recovers the state of the replicated groups from the disk and registers the keeper's services at the
// mesh.
func (v *VM) buildKeeper() error {
	m := control.New()
	v.jobs = ledger.New(ledger.DefaultLimits())
	orders := order.New()
	var err error
	v.replica, err = replica.New(replica.Deps{
		VM:             v.self.Name,
		InitialMembers: v.d.Settings.Keepers(""),
		Folder:         v.d.Disk,
		Machines:       map[uint32]replica.Machine{group.Control: m, group.FirstJobs: v.jobs, group.Intents: intent.New(), group.Placement: orders},
		Send:           consensusSender{v.mesh},
		Forward:        keeper.NewForwarder(v.mesh),
		Log:            v.d.Log,
	})
	if err != nil {
		return err
	}
	v.mesh.Receive(frame.Consensus, v.replica.Receive)
	v.placer = newPlacer(v.d.Settings.WeightStore, orders, v.replica, v.d.Log)
	v.mesh.Handle(frame.Placement, operator.PlacementHandler(v.placer))
	v.publisher = feed.NewPublisher(v.replica, m, v.d.Log)
	keeper.Serve(v.mesh, v.replica)
	v.buildQuotaOwner(m)
	keeper.ServeHistory(v.mesh, v.replica, m)
	keeper.ServeMembers(v.mesh, v.replica)
	keeper.ServeBackup(v.mesh, v.replica)
	v.mesh.HandleStream(frame.Watch, func(ctx context.Context, from string, s *mesh.Stream) error {
		return v.publisher.Serve(ctx, from, s)
	})
	return nil
}

// transferLeadership transfers the leadership of all groups to other keepers. It returns after transferTimeout or a
// call of Force at the latest; a failure is only logged, as the groups then elect new leaders. On a VM that is no
// keeper it does nothing.
func (v *VM) transferLeadership() {
	if v.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(v.forced, transferTimeout)
	defer cancel()
	if err := v.replica.Transfer(ctx); err != nil {
		v.d.Log.Error("leadership not transferred; the groups elect leaders after their election timeout", "vm", v.self.Name, "error", err)
	}
}

// Replica returns the VM's replica of the replicated groups, or nil on a VM that is no keeper.
func (v *VM) Replica() *replica.Replica {
	return v.replica
}
