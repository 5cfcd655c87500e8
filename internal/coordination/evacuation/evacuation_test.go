package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/evacuation"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
)

// TestDecide guards against a repeated order that is refused, which would end the operator's call, and against a command that a member of
// the group would drop.
func TestDecide(t *testing.T) {
	s := plan.State{EvacuationsSupported: true, EvacuationRevision: 5,
		Evacuations: []plan.Evacuation{{Zone: "a", Revision: 4}, {Zone: "b", Ended: true, Revision: 5}}}
	site := evacuation.Site{Zones: map[string]bool{"a": true, "c": true}, Complete: true, Supported: true}
	old, unlatched, early := site, s, site
	old.Supported, unlatched.EvacuationsSupported, early.Complete = false, false, false
	table := []struct {
		name    string
		s       plan.State
		site    evacuation.Site
		zone    string
		end     bool
		verdict evacuation.Verdict
		base    uint64
		code    result.Code
	}{
		{"start", s, site, "c", false, evacuation.Propose, 0, 0},
		{"repeated start", s, old, "a", false, evacuation.InForce, 0, 0},
		{"end", s, site, "a", true, evacuation.Propose, 4, 0},
		{"repeated end, the data centre is not listed any more", s, site, "b", true, evacuation.InForce, 0, 0},
		{"start after an end", s, site, "b", false, evacuation.Propose, 5, 0},
		{"end without a start", s, site, "c", true, evacuation.Refused, 0, result.NotEvacuated},
		{"unknown", s, site, "d", false, evacuation.Refused, 0, result.ZoneUnknown},
		{"unknown before the first list", s, early, "d", false, evacuation.Later, 0, result.NotReady},
		{"no name", s, site, "", false, evacuation.Refused, 0, result.ZoneUnknown},
		{"an older build in the group", s, old, "c", false, evacuation.Later, 0, result.BuildTooOld},
		{"not all builds are known", unlatched, site, "a", true, evacuation.Later, 0, result.BuildTooOld},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			v, m, f := evacuation.Decide(time.UnixMilli(7), c.s, c.site, c.zone, c.end)
			require.Equal(t, c.verdict, v)
			if c.verdict == evacuation.Propose {
				require.Equal(t, plan.EvacuationOrder{Zone: c.zone, End: c.end, Base: c.base, At: 7}, m.Evacuation)
			}
			if c.code != 0 {
				require.Equal(t, c.code, f.Code)
			} else {
				require.Nil(t, f)
			}
		})
	}
}

// TestTable guards against an older bulletin that reverts a newer one, and against an end that goes unnoticed where the evacuation was missed.
func TestTable(t *testing.T) {
	list := []roster.Upstream{{ID: "1", Zone: "a"}, {ID: "2", Zone: "b", Draining: true}, {ID: "3"}}
	now := time.Unix(100, 0)
	x := evacuation.NewTable()
	require.Equal(t, list, x.Apply(list))
	a := plan.Evacuation{Zone: "a", Revision: 1}
	require.Equal(t, []plan.Evacuation{a}, x.Adopt(now, 1, []plan.Evacuation{a}))
	marked := x.Apply(list)
	require.Equal(t, roster.Upstream{ID: "1", Zone: "a", Draining: true, Evacuated: true}, marked[0])
	require.Equal(t, list[1:], marked[1:])
	require.False(t, list[0].Draining, "the list is shared")
	require.Empty(t, x.Adopt(now, 0, nil), "a bulletin of an older build")
	require.Zero(t, x.ReturnedAt("a"))
	ended := plan.Evacuation{Zone: "a", Ended: true, Revision: 2}
	x.Adopt(now.Add(1), 2, []plan.Evacuation{ended})
	require.Equal(t, list, x.Apply(list))
	require.Equal(t, now.Add(1), x.ReturnedAt("a"))
	require.Empty(t, x.Adopt(now.Add(2), 1, []plan.Evacuation{a}), "an older bulletin")
	x.Adopt(now.Add(3), 3, []plan.Evacuation{ended, {Zone: "b", Revision: 3}})
	require.Equal(t, now.Add(1), x.ReturnedAt("a"), "it has not changed")
	ended.Revision = 5
	x.Adopt(now.Add(4), 5, []plan.Evacuation{ended})
	require.Equal(t, now.Add(4), x.ReturnedAt("a"), "evacuated and returned in between")
	x.Adopt(now.Add(5), 6, []plan.Evacuation{{Zone: "a", Revision: 6}})
	require.Zero(t, x.ReturnedAt("a"))
	r, l := x.Known()
	require.Equal(t, uint64(6), r)
	require.Len(t, l, 1)
}
