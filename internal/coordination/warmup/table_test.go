package warmup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/warmup"
)

const lag = 800 * time.Millisecond

// begin returns when the first list was read.
func begin() time.Time { return time.Unix(1000, 0) }

func list(cold time.Duration, born int64, ids ...string) []warmup.Upstream {
	var l []warmup.Upstream
	for _, id := range ids {
		l = append(l, warmup.Upstream{ID: id, Zone: "zone-" + id[:1], Born: born, Cold: cold})
	}
	return l
}

func newTable() *warmup.Table {
	return warmup.New(lag, func(id string) bool { return id == "doubtful" })
}

// TestListTellsTheWarmUp follows an upstream that becomes cold and warm by the list alone.
func TestListTellsTheWarmUp(t *testing.T) {
	x := newTable()
	require.Equal(t, warmup.Warm, x.Reason(begin(), "a1"), "unknown")
	x.Listed(begin(), list(0, 1, "a1"))
	require.Equal(t, warmup.Warm, x.Reason(begin(), "a1"), "a VM without a list takes its first one as it is")
	x.Listed(begin().Add(time.Second), list(3*time.Second, 1, "a1"))
	require.Equal(t, warmup.Listed, x.Reason(begin().Add(3900*time.Millisecond), "a1"))
	require.Equal(t, warmup.Warm, x.Reason(begin().Add(4*time.Second), "a1"))
	x.Listed(begin().Add(500*time.Millisecond), list(0, 1, "a1"))
	require.Equal(t, warmup.Listed, x.Reason(begin().Add(2*time.Second), "a1"), "an older list changes nothing")
}

// TestEventCountsUntilALaterListShowsIt guards against a list that lags and shows an upstream as warm that has just started.
func TestEventCountsUntilALaterListShowsIt(t *testing.T) {
	at := begin().Add(10 * time.Second)
	events := map[warmup.Reason]func(x *warmup.Table){
		warmup.Restarted: func(x *warmup.Table) { x.Restarted(at, "a1") },
		warmup.Returned:  func(x *warmup.Table) { x.Returned("zone-a", at) },
		warmup.Joined: func(x *warmup.Table) {
			x.Listed(at.Add(-time.Millisecond), list(0, 1, "b1"))
			x.Listed(at, list(0, 1, "a1", "b1"))
		},
		"new process": func(x *warmup.Table) { x.Listed(at, append(list(0, 2, "a1"), list(0, 1, "b1")...)) },
	}
	for name, event := range events {
		t.Run(string(name), func(t *testing.T) {
			born := int64(1)
			if name == "new process" {
				born = 2
			}
			x := newTable()
			x.Listed(begin(), list(0, 1, "a1", "b1"))
			event(x)
			require.NotEqual(t, warmup.Warm, x.Reason(at, "a1"))
			require.Equal(t, warmup.Warm, x.Reason(at, "b1"))
			x.Listed(at.Add(lag-time.Millisecond), list(0, born, "a1"))
			require.NotEqual(t, warmup.Warm, x.Reason(at.Add(time.Minute), "a1"), "the list may show the time before")
			x.Listed(at.Add(lag), list(0, born, "a1"))
			require.Equal(t, warmup.Warm, x.Reason(at.Add(lag), "a1"))
		})
	}
	require.Equal(t, warmup.Restarted, func() warmup.Reason {
		x := newTable()
		x.Listed(begin(), list(0, 1, "doubtful"))
		return x.Reason(begin(), "doubtful")
	}())
}

// TestReturnThatAListHasShownCountsNoMore guards against a VM that hears late of the end of an evacuation and takes warm upstreams for cold.
func TestReturnThatAListHasShownCountsNoMore(t *testing.T) {
	x := newTable()
	x.Listed(begin(), list(0, 1, "a1"))
	x.Returned("zone-a", begin().Add(-lag))
	require.Equal(t, warmup.Warm, x.Reason(begin(), "a1"))
}

// TestNewestWordCounts lets a response name the warm-up, and tells another VM.
func TestNewestWordCounts(t *testing.T) {
	x, y := newTable(), newTable()
	for _, v := range []*warmup.Table{x, y} {
		v.Listed(begin(), list(0, 1, "a1", "a2"))
	}
	now := begin().Add(time.Second)
	require.False(t, x.Named(now, "a1", 0), "nothing new")
	require.True(t, x.Named(now, "a1", 5*time.Second))
	require.False(t, x.Named(now.Add(time.Second), "a1", 4*time.Second), "the end is the same")
	x.Restarted(now, "a2")
	words := x.TakeNews(now.Add(time.Second))
	require.Len(t, words, 2)
	require.Empty(t, x.TakeNews(now))
	require.Len(t, x.Words(now), 2)
	y.Adopt(now.Add(time.Second), words)
	for _, v := range []*warmup.Table{x, y} {
		require.Equal(t, warmup.Named, v.Reason(now.Add(time.Second), "a1"))
		require.Equal(t, warmup.Restarted, v.Reason(now.Add(time.Second), "a2"))
		v.Listed(now.Add(lag/2), list(0, 1, "a1", "a2"))
		require.Equal(t, warmup.Named, v.Reason(now.Add(lag), "a1"), "the list is older than the response")
		v.Listed(now.Add(time.Second+lag), list(0, 1, "a1", "a2"))
		require.Equal(t, warmup.Warm, v.Reason(now.Add(time.Second+lag), "a1"), "the list is newer")
		require.Equal(t, warmup.Warm, v.Reason(now.Add(time.Second+lag), "a2"))
	}
	y.Adopt(now.Add(3*time.Second), x.Words(now.Add(3*time.Second)))
	require.Equal(t, warmup.Warm, y.Reason(now.Add(3*time.Second), "a2"), "the word is older than the list")
	x.Restarted(now.Add(5*time.Second), "a1")
	require.True(t, x.Named(now.Add(6*time.Second), "a1", 0), "the upstream says that it is warm")
	require.Equal(t, warmup.Warm, x.Reason(now.Add(6*time.Second), "a1"))
}
