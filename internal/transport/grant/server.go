package grant

import (
	"context"

	"snipetack/internal/protocol/frame"
	"snipetack/internal/transport/mesh"
)

// Serve makes a keeper respond to the token requests of other VMs.
func Serve(m *mesh.Mesh, o OwnerProvider) {
	m.Handle(frame.QuotaGrant, func(_ context.Context, _ string, b []byte) ([]byte, error) {
		a, err := DecodeRequest(b)
		if err != nil {
			return nil, err
		}
		r, err := o.Grant(a)
		if err != nil {
			return nil, err
		}
		return EncodeResponse(r), nil
	})
}
