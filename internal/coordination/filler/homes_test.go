package filler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/filler"
	"snipetack/internal/state/plan"
)

// TestItemsStayInTheirHomes guards against an item that starts outside its homes, and against a run that is displaced there for it in vain.
func TestItemsStayInTheirHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	south := plan.NewHomes([]string{"south"})
	item := func(id string, due time.Duration, h plan.Homes) filler.Pending {
		return filler.Pending{Task: filler.Task{Key: filler.Key{Job: id}, Due: now.Add(due), Left: time.Second}, Service: "s", Homes: h}
	}
	capacities := []filler.Capacity{{ID: "n", Service: "s", Region: "north", Slots: 2}, {ID: "s", Service: "s", Region: "south", Slots: 1}, {ID: "x", Service: "s", Slots: 9, Closed: true}}
	d := filler.Plan(now, capacities, nil, []filler.Pending{item("1", 10*time.Second, south), item("2", 11*time.Second, south), item("3", 12*time.Second, plan.Homes{})})
	require.Equal(t, []filler.Start{{Key: filler.Key{Job: "1"}, Upstream: "s"}, {Key: filler.Key{Job: "3"}, Upstream: "n"}}, d.Starts)
	late := func(id, upstream string) filler.Run {
		return filler.Run{Task: filler.Task{Key: filler.Key{Job: id}, Due: now.Add(-time.Second), Left: time.Second}, Upstream: upstream}
	}
	running := []filler.Run{late("n1", "n"), late("n2", "n"), late("s1", "s")}
	d = filler.Plan(now, capacities, running, []filler.Pending{item("1", 10*time.Second, south), item("2", 11*time.Second, south)})
	require.Empty(t, d.Starts)
	require.Equal(t, []filler.Key{{Job: "s1"}}, d.Displaced)
}

// TestRunsInAnEvacuatedDataCentreGoOn guards against a run that is cancelled for online requests which will not come.
func TestRunsInAnEvacuatedDataCentreGoOn(t *testing.T) {
	now := time.Unix(1000, 0)
	run := filler.Run{Task: filler.Task{Key: filler.Key{Job: "1"}, Due: now.Add(time.Hour), Left: time.Second}, Upstream: "n"}
	for _, evacuated := range []bool{false, true} {
		d := filler.Plan(now, []filler.Capacity{{ID: "n", Service: "s", Slots: 1, Headroom: 1, Closed: true, Settled: evacuated}}, []filler.Run{run}, nil)
		require.Equal(t, evacuated, len(d.Preempted) == 0)
	}
}
