package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
)

// TestEvacuationsNeedTheBuildsOfAllMembers guards against an order that a member of the control group drops, and against a lost member that stops
// all orders.
func TestEvacuationsNeedTheBuildsOfAllMembers(t *testing.T) {
	now := time.Unix(100, 0)
	r := roster.New(now, []roster.VM{{Name: "2", Address: "2", Class: roster.Control}}, 0, nil, now)
	report := func(address string, evacuates bool) {
		r.Report(now, roster.Report{VM: roster.VM{Name: address, Address: address, Class: roster.Control}, Evacuates: evacuates}, plan.State{}, nil)
	}
	check := func(s plan.State, wantOK, wantAll bool) {
		t.Helper()
		ok, all := r.EvacuationSupport(now, []string{"1", "2"}, s)
		require.Equal(t, []bool{wantOK, wantAll}, []bool{ok, all})
	}
	known := plan.State{EvacuationsSupported: true}
	report("1", true)
	check(plan.State{}, false, false) // the directory of the leader before has 2, whose build is not known
	check(known, false, false)
	now = now.Add(time.Second)
	check(plan.State{}, false, false)
	check(known, true, false) // 2 is lost
	report("2", false)
	check(known, false, false)
	report("2", true)
	check(plan.State{}, true, true)
	ok, _ := r.EvacuationSupport(now, nil, plan.State{})
	require.False(t, ok, "the members are not known")
}

// TestEvacuationsOnTheWire guards against fields that a codec drops, and against evacuations that go to VMs that have them.
func TestEvacuationsOnTheWire(t *testing.T) {
	l := []plan.Evacuation{{Zone: "a", Revision: 1}, {Zone: "b", Ended: true, Revision: 3}}
	p := roster.Report{VM: roster.VM{Name: "1"}, EvacuationRevision: 2, Evacuates: true}
	q, err := roster.DecodeReport(roster.EncodeReport(p))
	require.NoError(t, err)
	require.Equal(t, uint64(2), q.EvacuationRevision)
	require.True(t, q.Evacuates)
	b := roster.Bulletin{Evacuates: true}
	b.SetEvacuations(q, 3, l)
	c, err := roster.DecodeBulletin(roster.EncodeBulletin(b))
	require.NoError(t, err)
	require.Equal(t, l, c.Evacuations)
	require.Equal(t, uint64(3), c.EvacuationRevision)
	require.True(t, c.Evacuates)
	c.SetEvacuations(q, 2, l)
	require.Zero(t, c.EvacuationRevision)
	require.Empty(t, c.Evacuations)
	c.SetEvacuations(roster.Report{}, 3, l)
	require.Empty(t, c.Evacuations, "an older build")
}
