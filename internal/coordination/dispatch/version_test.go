package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/roster"
)

// newVersionPool returns a Pool with one upstream of one slot for each version.
func newVersionPool(versions ...string) (*dispatch.Pool, []roster.Upstream) {
	p := dispatch.New(dispatch.Deps{Zone: "a", Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {}})
	var l []roster.Upstream
	for _, v := range versions {
		l = append(l, roster.Upstream{ID: "up-" + v, Service: "s", Version: v, Slots: 1})
	}
	p.SetUpstreams(time.Now(), l)
	return p, l
}

// TestPinnedRequestDoesNotHoldUpOthers queues a request for a version without a free slot before others for any version.
func TestPinnedRequestDoesNotHoldUpOthers(t *testing.T) {
	p, _ := newVersionPool("v1", "v2")
	now := time.Now()
	pinned := dispatch.Request{Service: "s", Pinned: true, Version: "v1", MaxWait: time.Second}
	first, _, ok := p.Take(now, pinned)
	require.True(t, ok)
	require.Equal(t, "v1", first.Version)
	_, wait, ok := p.Take(now, pinned)
	require.False(t, ok)
	other, _, ok := p.Take(now, dispatch.Request{Service: "s", MaxWait: time.Second})
	require.True(t, ok, "the upstream of the other version is free")
	_, otherWait, ok := p.Take(now, dispatch.Request{Service: "s", MaxWait: time.Second})
	require.False(t, ok)
	p.End(now, other)
	require.Equal(t, "up-v2", (<-otherWait).ID)
	p.End(now, first)
	require.Equal(t, "up-v1", (<-wait).ID)
}

// TestPinnedRequestIsDroppedWithItsVersion lets the last upstream of a version drain while a request waits for it.
func TestPinnedRequestIsDroppedWithItsVersion(t *testing.T) {
	p, l := newVersionPool("v1", "v2")
	now := time.Now()
	pinned := dispatch.Request{Service: "s", Pinned: true, Version: "v1", MaxWait: time.Second}
	_, _, ok := p.Take(now, pinned)
	require.True(t, ok)
	_, wait, ok := p.Take(now, pinned)
	require.False(t, ok)
	l[0].Draining = true
	p.SetUpstreams(now, l)
	_, ok = <-wait
	require.False(t, ok, "it is told at once")
	p.Leave(now, "s", wait)
	_, wait, ok = p.Take(now, pinned)
	require.False(t, ok)
	require.Nil(t, wait)
	require.False(t, p.Servable(dispatch.Request{Service: "s", Pinned: true, Version: "v1"}, ""))
	require.False(t, p.Servable(dispatch.Request{Service: "s", Pinned: true, Version: "v2"}, "up-v2"))
	require.True(t, p.Servable(dispatch.Request{Service: "s", Pinned: true, Version: "v2"}, ""))
}

// TestUpstreamThatReturnsWithAnotherVersionTakesNoPinnedRequest reuses id and address.
func TestUpstreamThatReturnsWithAnotherVersionTakesNoPinnedRequest(t *testing.T) {
	p, l := newVersionPool("v1")
	l[0].Version = "v2"
	p.SetUpstreams(time.Now(), l)
	_, _, ok := p.Take(time.Now(), dispatch.Request{Service: "s", Pinned: true, Version: "v1", Prefer: l[0].ID, Only: l[0].ID, MaxWait: time.Second})
	require.False(t, ok)
}

// TestUpstreamThatGainsItsVersionKeepsItsState gets lists without versions from a leader of an older build, and with them from the next one.
func TestUpstreamThatGainsItsVersionKeepsItsState(t *testing.T) {
	p, l := newVersionPool("v1")
	_, _, ok := p.Take(time.Now(), dispatch.Request{Service: "s", MaxWait: time.Second})
	require.True(t, ok)
	for _, v := range []string{"", "v1"} {
		l[0].Version = v
		p.SetUpstreams(time.Now(), l)
		require.Equal(t, map[string]int{l[0].ID: 1}, p.InFlight())
	}
	l[0].Version = "v2"
	p.SetUpstreams(time.Now(), l)
	require.Empty(t, p.InFlight(), "another one has returned under its id")
}
