package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quarantine"
)

// TestFingerprintTellsRequestsApart changes each part of a request, and moves a byte from one part to the next.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	f := quarantine.Fingerprint
	base := f("x", "POST", "h", "/p", []byte("body"))
	require.Len(t, base, 30)
	require.Equal(t, base, f("x", "POST", "h", "/p", []byte("body")))
	for _, other := range []string{
		f("y", "POST", "h", "/p", []byte("body")), f("x", "GET", "h", "/p", []byte("body")), f("x", "POST", "g", "/p", []byte("body")),
		f("x", "POST", "h", "/q", []byte("body")), f("x", "POST", "h", "/p", []byte("other")), f("x", "POST", "h", "/p", nil),
		f("x", "POST", "h", "/pb", []byte("ody")), f("xP", "OST", "h", "/p", []byte("body")),
	} {
		require.NotEqual(t, base, other)
	}
}
