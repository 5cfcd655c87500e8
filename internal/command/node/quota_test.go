package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/share"
	"snipetack/internal/coordination/throttle"
)

// TestAdmissionsSurviveTheWire guards against a field that one side writes and the other does not read.
func TestAdmissionsSurviveTheWire(t *testing.T) {
	m := admissionMessage{accounts: []accountAdmission{{account: "x", count: 3, after: time.Second}}, apart: true, incarnation: 7,
		shares: share.Grant{Even: 0.01, Extra: map[string]float64{"x": 0.5}}, declare: true}
	got, err := decodeAdmissions(encodeAdmissions(m))
	require.NoError(t, err)
	require.Equal(t, m, got)
}

// TestUpstreamAdmissionSurvivesTheWire is the same for admissions to upstreams.
func TestUpstreamAdmissionSurvivesTheWire(t *testing.T) {
	a := admission{limit: throttle.Limit{Upstream: "u", Rate: 2, Age: time.Second}, batch: true, admitted: true, wait: time.Minute, cold: 17, coldSeen: true}
	got, err := decodeAdmission(encodeAdmission(a))
	require.NoError(t, err)
	require.Equal(t, a, got)
}
