package grant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/transport/grant"
)

func TestMessagesRoundTrip(t *testing.T) {
	k := quota.Key{Account: "drivers", Class: quota.Batch}
	a := quota.TokenRequest{
		Term:    3,
		Demands: []quota.Demand{{Key: k, Need: 2, Reserve: 5}, {Key: quota.Key{Account: "clerks"}}},
		Returns: []quota.Return{{Key: k, Tokens: 4}},
		Settled: []quota.Settlement{{Key: k, GrantID: 9, Unspent: 1}},
	}
	b, err := grant.DecodeRequest(grant.EncodeRequest(a))
	require.NoError(t, err)
	require.Equal(t, a, b)
	r := quota.TokenResponse{Term: 3, Grants: []quota.Grant{{Tokens: 2, ID: 9, Validity: time.Second, Wait: time.Millisecond}, {}}}
	s, err := grant.DecodeResponse(grant.EncodeResponse(r))
	require.NoError(t, err)
	require.Equal(t, r, s)
	_, err = grant.DecodeRequest([]byte{0xff})
	require.Error(t, err)
}
