package filler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/filler"
)

// TestRushRemembersTheHighestLoad guards against a forecast that forgets the last wave in the trough before the next one, or keeps one
// that is long over.
func TestRushRemembersTheHighestLoad(t *testing.T) {
	var r filler.Rush
	now := time.Unix(1000, 0)
	for i := range 200 { // waves of 5.2 s
		online := 66
		if at := time.Duration(i) * 100 * time.Millisecond; at%(5200*time.Millisecond) > 3*time.Second {
			online = 322
		}
		r.Observe(now.Add(time.Duration(i)*100*time.Millisecond), online, 11*time.Second)
		if i > 40 {
			require.Equal(t, 322, r.Highest(), i)
		}
	}
	r.Observe(now.Add(time.Minute), 66, 11*time.Second)
	require.Equal(t, 66, r.Highest())
}

// TestRunsKeepTheirSlotsWhileRequestsHaveOthers guards against runs that stay although requests find no other slot, and against headroom
// that leaves items no slots.
func TestRunsKeepTheirSlotsWhileRequestsHaveOthers(t *testing.T) {
	for online, want := range map[int]struct {
		headroom int
		keepRuns bool
	}{0: {1, true}, 60: {1, true}, 322: {3, true}, 360: {3, true}, 419: {3, false}, 2000: {4, false}} {
		var r filler.Rush
		r.Observe(time.Unix(1000, 0), online, time.Second)
		headroom, keep := r.Headroom(60, 8)
		require.Equal(t, want.headroom, headroom, online)
		require.Equal(t, want.keepRuns, keep, online)
	}
}
