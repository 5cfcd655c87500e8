package keeper

import (
	"context"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/mesh"
)

// GroupProvider commits commands to the groups through this keeper's replica.
type GroupProvider interface {
	// Propose commits a command; it forwards the command if another replica leads the group.
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
	// ProposeHere is Propose without forwarding: it returns consensus.NotLeader if another replica leads the group.
	ProposeHere(ctx context.Context, group uint32, command []byte) ([]byte, error)
	// Barrier returns once everything committed before the call is applied on this VM.
	Barrier(ctx context.Context, group uint32) error
}

// Serve handles other VMs' commands and read barriers for the groups.
func Serve(m *mesh.Mesh, g GroupProvider) {
	m.Handle(frame.Propose, func(ctx context.Context, _ string, b []byte) ([]byte, error) {
		r, err := decodeRequest(b)
		if err != nil {
			return nil, err
		}
		if r.Forwarded {
			return proposeHere(ctx, g, r)
		}
		return g.Propose(ctx, r.Group, r.Command)
	})
	m.Handle(frame.Barrier, func(ctx context.Context, _ string, b []byte) ([]byte, error) {
		r, err := decodeRequest(b)
		if err != nil {
			return nil, err
		}
		return nil, g.Barrier(ctx, r.Group)
	})
}

// proposeHere commits a forwarded command. If this replica no longer leads the group, it returns a Failure by which the
// forwarding keeper learns that the command was not accepted.
func proposeHere(ctx context.Context, g GroupProvider, r request) ([]byte, error) {
	b, err := g.ProposeHere(ctx, r.Group, r.Command)
	var n consensus.NotLeader
	if errors.As(err, &n) {
		return nil, result.New(result.NoQuorum, "group %d is led elsewhere", r.Group)
	}
	return b, err
}
