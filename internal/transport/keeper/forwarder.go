package keeper

import (
	"context"

	"snipetack/internal/protocol/frame"
)

// Forwarder forwards commands from a keeper to the keeper that leads the group.
type Forwarder struct {
	calls CallProvider
}

// NewForwarder returns a Forwarder.
func NewForwarder(c CallProvider) *Forwarder {
	return &Forwarder{calls: c}
}

// Forward commits a command on vm, which fails if it is not the leader, instead of forwarding the command again.
func (f *Forwarder) Forward(ctx context.Context, vm string, group uint32, command []byte) ([]byte, error) {
	return f.calls.Call(ctx, vm, frame.Propose, encodeRequest(request{Group: group, Command: command, Forwarded: true}))
}
