package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/roster"
)

func TestTableForgetsAfterItsMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	x := origin.NewTable()
	o := origin.Origin{Service: "s", Version: "v1"}
	x.Add(now, origin.KeyOf("a", "q"), o)
	_, ok := x.Find(now, origin.KeyOf("b", "q"))
	require.False(t, ok, "the request of another account")
	got, ok := x.Find(now.Add(origin.Memory), origin.KeyOf("a", "q"))
	require.True(t, ok)
	require.Equal(t, o, got)
	_, ok = x.Find(now.Add(3*origin.Memory), origin.KeyOf("a", "q"))
	require.False(t, ok)
}

// TestTableIsBounded adds 4,600 streams a second for two minutes, the peak of the two-year size at a single holder.
func TestTableIsBounded(t *testing.T) {
	x := origin.NewTable()
	for i := range 4600 * 120 {
		x.Add(time.Unix(1000, 0).Add(time.Duration(i)*time.Second/4600), origin.Key(i), origin.Origin{Service: "s", Version: "v1"})
	}
	require.LessOrEqual(t, x.Len(), 2<<16)
}

// TestHoldersSpreadEvenly chooses three of 45 batch VMs for each key; all but a few keep them when one VM leaves.
func TestHoldersSpreadEvenly(t *testing.T) {
	var batch []string
	for i := range 45 {
		batch = append(batch, fmt.Sprint("10.2.0.", i))
	}
	count := map[string]int{}
	moved := 0
	const keys = 4500
	for i := range keys {
		k := origin.KeyOf("a", fmt.Sprint(i))
		l := origin.Holders(k, batch)
		require.Len(t, l, 3)
		for _, h := range l {
			count[h]++
		}
		common := 0
		for _, h := range origin.Holders(k, batch[1:]) {
			for _, x := range l {
				if x == h {
					common++
				}
			}
		}
		require.GreaterOrEqual(t, common, 2)
		if common < 3 {
			moved++
		}
	}
	for h, n := range count {
		require.InDelta(t, 3*keys/45, n, 90, h)
	}
	require.Equal(t, count[batch[0]], moved)
	require.Len(t, origin.Holders(1, batch[:2]), 2)
	require.Empty(t, origin.Holders(1, nil))
}

func upstreams(service string, versions ...string) []roster.Upstream {
	var l []roster.Upstream
	for i, v := range versions {
		l = append(l, roster.Upstream{ID: fmt.Sprint(service, i), Service: service, Version: v})
	}
	return l
}

func TestHistoryKnowsTheOnlyVersion(t *testing.T) {
	seconds := int(origin.Memory / time.Second)
	table := []struct {
		name          string
		before, after []string // versions on the lists, one list a second
		beforeS       int      // seconds of each
		afterS        int
		pause         time.Duration // without a list
		sole          string
		ok            bool
	}{
		{"one version", nil, []string{"v1", "v1"}, 0, seconds + 1, 0, "v1", true},
		{"not for long enough", nil, []string{"v1"}, 0, seconds - 1, 0, "", false},
		{"two versions", nil, []string{"v1", "v2"}, 0, seconds + 1, 0, "", false},
		{"another one was there lately", []string{"v1", "v2"}, []string{"v1"}, seconds, seconds - 1, 0, "", false},
		{"another one was there before the memory", []string{"v1", "v2"}, []string{"v1"}, seconds, seconds + 2, 0, "v1", true},
		{"no list for some time", nil, []string{"v1"}, 0, seconds + 1, 6 * time.Second, "", false},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			h, now := origin.NewHistory(), time.Unix(1000, 0)
			observe := func(n int, versions []string) {
				for range n {
					h.Observe(upstreams("s", versions...), now)
					now = now.Add(time.Second)
				}
			}
			observe(c.beforeS, c.before)
			observe(c.afterS, c.after)
			v, ok := h.Sole(now.Add(c.pause), "s")
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.sole, v)
			require.False(t, h.Unversioned("s"))
		})
	}
	h := origin.NewHistory()
	require.False(t, h.Unversioned("s"), "before the first list nothing is known")
	h.Observe(upstreams("s", "", ""), time.Unix(1000, 0))
	require.True(t, h.Unversioned("s"))
}

func TestMessagesKeepOrigins(t *testing.T) {
	l := []origin.Begun{{Key: 1, Origin: origin.Origin{Service: "s", Version: "v1"}}, {Key: 1 << 63, Origin: origin.Origin{Service: "s", Version: "v2"}},
		{Key: 3, Origin: origin.Origin{Service: "s", Version: "v1"}}}
	got, err := origin.DecodeBegun(origin.EncodeBegun(l))
	require.NoError(t, err)
	require.ElementsMatch(t, l, got)
	_, err = origin.DecodeBegun([]byte{0xff})
	require.Error(t, err)
	q := origin.Question{Key: 1 << 63, Service: "s"}
	gotQuestion, err := origin.DecodeQuestion(origin.EncodeQuestion(q))
	require.NoError(t, err)
	require.Equal(t, q, gotQuestion)
	a := origin.Answer{Known: true, Origin: l[0].Origin}
	gotAnswer, err := origin.DecodeAnswer(origin.EncodeAnswer(a))
	require.NoError(t, err)
	require.Equal(t, a, gotAnswer)
}

// TestHistoryGoesOnFromItsFormerProcess restores the versions of a former process: they count for Memory, as if all lists had been seen.
func TestHistoryGoesOnFromItsFormerProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		saved, listed []string
		wait          time.Duration // until the first list
		sole          string
		ok            bool
	}{
		{[]string{"v1"}, []string{"v1"}, time.Second, "v1", true},
		{[]string{"v1"}, []string{"v2"}, time.Second, "", false},
		{[]string{"v1", "v2"}, []string{"v2"}, time.Second, "", false},
		{nil, []string{"v1"}, time.Second, "", false},
		{[]string{"v1"}, []string{"v1"}, time.Minute, "", false},
	} {
		former := origin.NewHistory()
		former.Observe(upstreams("s", c.saved...), now)
		l, err := origin.DecodeVersions(origin.EncodeVersions(former.Versions()))
		require.NoError(t, err)
		require.Equal(t, former.Versions(), l)
		h := origin.NewHistory()
		h.Restore(l, now)
		at := now.Add(c.wait)
		h.Observe(upstreams("s", c.listed...), at)
		v, ok := h.Sole(at, "s")
		require.Equal(t, c.ok, ok)
		require.Equal(t, c.sole, v)
	}
}
