package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEntriesShareTheRateOfTheList checks that all entry VMs of a fleet together call the list at their fraction of its rate.
func TestEntriesShareTheRateOfTheList(t *testing.T) {
	for _, c := range []struct {
		entries, calls int
		rate           float64
	}{{1, 1, 40}, {9, 1, 47}, {56, 2, 50}, {370, 13, 40}, {5, 1, 0}} {
		d := ownListInterval(c.entries, c.calls, c.rate)
		require.Positive(t, d)
		total := float64(c.entries*c.calls) / d.Seconds()
		require.InDelta(t, listFraction*max(1, c.rate), total, 0.01)
	}
	require.Equal(t, 4480*time.Millisecond, ownListInterval(56, 2, 50))
}
