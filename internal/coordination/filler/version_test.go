package filler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/filler"
)

// TestItemWaitsForItsVersion has output of v1: the item starts at an upstream of v2 only when the service has none of v1.
func TestItemWaitsForItsVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	w := filler.Pending{Task: filler.Task{Key: filler.Key{Job: "j"}, Due: now.Add(time.Minute)}, Service: "s", Pinned: true, Version: "v1"}
	one := filler.Capacity{ID: "one", Service: "s", Version: "v1", Slots: 4}
	two := filler.Capacity{ID: "two", Service: "s", Version: "v2", Slots: 8}
	full := one
	full.Online = 4
	starts := func(l ...filler.Capacity) []filler.Start { return filler.Plan(now, l, nil, []filler.Pending{w}).Starts }
	require.Equal(t, []filler.Start{{Key: w.Key, Upstream: "one"}}, starts(two, one))
	require.Empty(t, starts(two, full))
	require.Equal(t, []filler.Start{{Key: w.Key, Upstream: "two"}}, starts(two))
}
