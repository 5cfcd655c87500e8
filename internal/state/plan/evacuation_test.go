package plan_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/plan"
)

// TestOrdersAboutEvacuations guards against a repeated order that arrives after a newer one was acknowledged and reverts it, and against state that
// a snapshot loses.
func TestOrdersAboutEvacuations(t *testing.T) {
	c := plan.NewControl(func(plan.State) {})
	apply := func(zone string, end bool, base uint64) bool {
		return !plan.Superseded(c.Apply(0, plan.EncodeCommand(plan.Command{Evacuation: plan.EvacuationOrder{Zone: zone, End: end, Base: base}})))
	}
	require.True(t, apply("a", true, 0), "an end without an evacuation is not superseded")
	require.Zero(t, c.State().EvacuationRevision)
	require.True(t, apply("a", false, 0))
	require.True(t, apply("b", false, 0))
	require.True(t, apply("a", false, 1), "it is evacuated already")
	require.Equal(t, uint64(2), c.State().EvacuationRevision)
	require.True(t, apply("a", true, 1))
	require.False(t, apply("a", false, 0), "a late repetition of the start")
	require.False(t, apply("a", true, 1), "a late repetition of the end")
	require.Empty(t, c.Apply(0, plan.EncodeCommand(plan.Command{Supported: true})))
	want := plan.State{EvacuationRevision: 3, EvacuationsSupported: true,
		Evacuations: []plan.Evacuation{{Zone: "b", Revision: 2}, {Zone: "a", Ended: true, Revision: 3}}}
	require.Equal(t, want, c.State())
	d := plan.NewControl(func(plan.State) {})
	require.NoError(t, d.Restore(c.Snapshot()))
	require.Equal(t, want, d.State())
}

// TestRevisionsGoOnAfterALossOfState guards against VMs that ignore all orders of a group which has lost its state, as they have a higher revision.
func TestRevisionsGoOnAfterALossOfState(t *testing.T) {
	c := plan.NewControl(func(plan.State) {})
	for i, o := range []plan.EvacuationOrder{{Zone: "a", At: 1000}, {Zone: "b", At: 900}, {Zone: "c", At: 2000}} {
		c.Apply(0, plan.EncodeCommand(plan.Command{Evacuation: o}))
		require.Equal(t, []uint64{1000, 1001, 2000}[i], c.State().EvacuationRevision)
	}
}

// TestEvacuationsAreBounded guards against a state that grows with every data centre that ever was evacuated.
func TestEvacuationsAreBounded(t *testing.T) {
	c := plan.NewControl(func(plan.State) {})
	for i := range 100 {
		for _, end := range []bool{false, true} {
			zone := fmt.Sprint("z", i)
			e, _ := c.State().Evacuation(zone)
			c.Apply(0, plan.EncodeCommand(plan.Command{Evacuation: plan.EvacuationOrder{Zone: zone, End: end, Base: e.Revision}}))
		}
	}
	require.Len(t, c.State().Evacuations, 64)
	_, ok := c.State().Evacuation("z99")
	require.True(t, ok)
}
