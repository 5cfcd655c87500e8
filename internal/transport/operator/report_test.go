package operator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReportRoundTrips(t *testing.T) {
	r := Report{
		VM:         "keeper-1",
		DataCentre: "dc-a",
		Keeper:     true,
		Revision:   7,
		Age:        150 * time.Millisecond,
		Fresh:      true,
		Draining:   true,
		Leader:     "keeper-2",
		Term:       3,
		InFlight:   map[string]int{"engine-1": 2, "engine-2": 1},
		Waiting:    map[string]int{"sprach-dienst": 5},
	}
	n, err := decodeReport(encodeReport(r))
	require.NoError(t, err)
	require.Equal(t, r, n)
	require.Equal(t, r, reportOf(r).report())
	_, err = decodeReport([]byte{0xff})
	require.Error(t, err)
}
