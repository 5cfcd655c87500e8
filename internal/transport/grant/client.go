package grant

import (
	"context"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/protocol/frame"
)

// CallProvider sends a request to a VM; a request is delivered at most once.
type CallProvider interface {
	Call(ctx context.Context, vm string, k frame.Kind, request []byte) ([]byte, error)
}

// OwnerProvider answers asks at a keeper.
type OwnerProvider interface {
	Grant(a quota.TokenRequest) (quota.TokenResponse, error)
}

// Client sends asks to keepers, to its own VM's without the mesh.
type Client struct {
	calls CallProvider
	self  string
	local OwnerProvider // nil on a VM that is no keeper
}

var _ quota.RequestProvider = (*Client)(nil)

// NewClient returns a Client at a VM; local is nil unless the VM is a keeper.
func NewClient(c CallProvider, self string, local OwnerProvider) *Client {
	return &Client{calls: c, self: self, local: local}
}

// RequestTokens sends an ask to a keeper; after an error its grants are lost.
func (c *Client) RequestTokens(ctx context.Context, keeper string, a quota.TokenRequest) (quota.TokenResponse, error) {
	if c.local != nil && keeper == c.self {
		return c.local.Grant(a)
	}
	b, err := c.calls.Call(ctx, keeper, frame.QuotaGrant, EncodeRequest(a))
	if err != nil {
		return quota.TokenResponse{}, err
	}
	return DecodeResponse(b)
}
