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

// OwnerProvider grants tokens at a keeper; it fails if the keeper is not the quota owner.
type OwnerProvider interface {
	Grant(a quota.TokenRequest) (quota.TokenResponse, error)
}

// Client sends token requests to keepers; one to the keeper of its own VM bypasses the mesh.
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

// RequestTokens sends a token request to a keeper. After an error the owner may have granted tokens that can't be used:
// they count as spent or, if tracked, stay outstanding until the grant expires.
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
