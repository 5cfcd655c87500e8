package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
)

// TestRequestsForAnEvacuatedUpstream guards against a request that starts at an upstream of an evacuated data centre, which it prefers or is bound
// to, and against one that waits there for a slot that it will not get.
func TestRequestsForAnEvacuatedUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	p, _ := newPool(now, 2)
	bound := dispatch.Request{Service: "s", Prefer: "up-0", Only: "up-0", Latest: now.Add(time.Minute), MaxWait: time.Minute}
	for range slots {
		_, _, ok := p.Take(now, bound)
		require.True(t, ok)
	}
	_, queued, ok := p.Take(now, bound)
	require.False(t, ok)
	require.NotNil(t, queued)
	l := upstreams(2)
	l[0].Draining, l[0].Evacuated = true, true
	p.SetUpstreams(now, l)
	_, open := <-queued
	require.False(t, open)
	_, wait, ok := p.Take(now, bound)
	require.False(t, ok)
	require.Nil(t, wait)
	c, _, ok := p.Take(now, dispatch.Request{Service: "s", Prefer: "up-0", MaxWait: time.Minute})
	require.True(t, ok)
	require.Equal(t, "up-1", c.ID)
	l[1].Draining, l[1].Evacuated = true, true
	p.SetUpstreams(now, l)
	require.False(t, p.HasUpstream("s"))
	p.SetUpstreams(now, upstreams(2))
	require.True(t, p.HasUpstream("s"))
}
