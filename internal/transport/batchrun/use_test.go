package batchrun

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/fairness"
)

// TestUseGoesThroughCollectors guards against what an account got in one data centre that no VM of another learns of.
func TestUseGoesThroughCollectors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far, near, leader := NewHub(slog.New(slog.DiscardHandler)), NewHub(slog.New(slog.DiscardHandler)), NewHub(slog.New(slog.DiscardHandler))
		key := fairness.Key("s", "loud")
		far.Receive("far-1", EncodeCounts(Counts{Hashed: true, Use: fairness.Use{key: 10}}))
		near.Receive("near-1", EncodeCounts(Counts{Hashed: true, Use: fairness.Use{key: 2}}))
		near.Receive("older", EncodeCounts(Counts{Hashed: true}))
		for name, h := range map[string]*Hub{"far": far, "near": near} {
			leader.Receive(name, EncodeCounts(Counts{Hashed: true, Use: h.SumOfUse(time.Now())}))
		}
		b := AppendUse(EncodeLoads(nil), leader.OthersUse(time.Now(), "near"))
		near.SetBaseUse(time.Now(), DecodeUse(b))
		require.InEpsilon(t, 10, near.OthersUse(time.Now(), "near-1")[key], 0.05)
		require.Nil(t, near.OthersUse(time.Now(), "older"), "an older build would read it as loads")
		near.Receive("near-1", EncodeCounts(Counts{Moved: true}))
		require.Nil(t, near.OthersUse(time.Now(), "near-1"))
	})
}

// TestUseOnTheWireBesideLoads guards against a trailer that changes the loads, and against messages without it that are read as use.
func TestUseOnTheWireBesideLoads(t *testing.T) {
	loads := map[string]dispatch.Load{"a": {Online: 300, Batch: 1}, "b": {Online: 2}}
	plain := EncodeLoads(loads)
	require.Nil(t, DecodeUse(plain))
	b := AppendUse(plain, fairness.Use{7: 3})
	got, ok := DecodeLoads(b, []string{"a", "b"})
	require.True(t, ok)
	require.Equal(t, loads, got)
	require.InEpsilon(t, 3, DecodeUse(b)[7], 0.03)
	require.NotNil(t, DecodeUse(AppendUse(EncodeLoads(nil), fairness.Use{})), "a report that nobody got anything replaces the one before")
	c, err := DecodeCounts(EncodeCounts(Counts{Requests: map[string]int{"a": 1}}))
	require.NoError(t, err)
	require.Nil(t, c.Use)
	_, err = DecodeCounts(append(EncodeCounts(Counts{}), 5<<3|2, 1, 0))
	require.Error(t, err)
}
