package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/plan"
)

// TestRequestsStayInTheirHomes guards against a request that reaches an upstream outside its homes, by preference, from the queue or because its own
// are full, and against one that waits for an upstream that its homes don't have or that holds up others.
func TestRequestsStayInTheirHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	p := dispatch.New(dispatch.Deps{Zone: "a", Regions: map[string]string{"a": "north", "b": "south"}, Connected: func(string) bool { return true },
		OnPreemption: func(dispatch.Choice) {}})
	list := func(draining bool) []roster.Upstream {
		return []roster.Upstream{{ID: "n", Service: "s", Address: "n:1", Zone: "a", Slots: 1}, {ID: "s", Service: "s", Address: "s:1", Zone: "b", Slots: 1, Draining: draining},
			{ID: "x", Service: "s", Address: "x:1", Zone: "c", Slots: 1}}
	}
	p.SetUpstreams(now, list(false))
	request := func(regions ...string) dispatch.Request {
		return dispatch.Request{Service: "s", Homes: plan.NewHomes(regions), Latest: now.Add(time.Minute), MaxWait: time.Minute}
	}
	south := request("south")
	south.Prefer = "n"
	c, _, ok := p.Take(now, south)
	require.True(t, ok)
	require.Equal(t, "s", c.ID)
	south.Prefer = ""
	_, first, ok := p.Take(now, south)
	require.False(t, ok, "its home is full, others are not")
	_, second, ok := p.Take(now, south)
	require.False(t, ok)
	require.False(t, p.HasRoom(now, south, ""))
	_, wait, ok := p.Take(now, request("west"))
	require.False(t, ok)
	require.Nil(t, wait, "its homes have no upstream, and the data centre c has no known region")
	var ids []string
	for range 2 {
		c, _, ok := p.Take(now, request())
		require.True(t, ok, "requests of other homes don't wait behind it")
		ids = append(ids, c.ID)
	}
	require.ElementsMatch(t, []string{"n", "x"}, ids)
	_, third, ok := p.Take(now, request("north"))
	require.False(t, ok)
	p.End(now, c)
	require.Equal(t, "s", (<-first).ID)
	require.Empty(t, second)
	p.End(now, dispatch.Choice{ID: "n"})
	require.Equal(t, "n", (<-third).ID)
	p.SetUpstreams(now, list(true))
	_, open := <-second
	require.False(t, open, "its home has lost its last upstream")
	require.False(t, p.Servable(south, ""))
	require.True(t, p.HasUpstream("s"))
}
