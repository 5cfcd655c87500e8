package batchrun

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/pace"
	"snipetack/internal/state/wire"
)

// TestPacesReachEachVMOnce guards against reports that circulate between VMs, are sent twice, or replace newer ones.
func TestPacesReachEachVMOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var p Paces
	require.Empty(t, p.Due(now, "a"))
	p.Add(now, "a", []pace.Sample{{Upstream: 1, Factor: 2, Age: 30 * time.Millisecond}, {Upstream: 2, Factor: 0.5, Age: 20 * time.Millisecond}})
	p.Add(now, "b", []pace.Sample{{Upstream: 1, Factor: 1, Age: 40 * time.Millisecond}})
	p.Add(now, "", []pace.Sample{{Upstream: 3, Factor: 3}})
	require.Equal(t, []pace.Sample{{Upstream: 3, Factor: 3}}, p.Due(now, "a"), "without what came from there")
	require.Equal(t, []pace.Sample{{Upstream: 3, Factor: 3}, {Upstream: 2, Factor: 0.5, Age: 20 * time.Millisecond}, {Upstream: 1, Factor: 2, Age: 30 * time.Millisecond}},
		p.Due(now, "b"), "an older report does not replace a newer one")
	now = now.Add(paceInterval)
	require.Empty(t, p.Due(now, "b"))
	echo, ok := pace.Decode(pace.Encode([]pace.Sample{{Upstream: 1, Factor: 2, Age: 81 * time.Millisecond}}))
	require.True(t, ok)
	p.Add(now, "c", echo)
	require.Empty(t, p.Due(now.Add(paceInterval), "b"), "it is the same report")
	var many []pace.Sample
	for i := range uint32(300) {
		many = append(many, pace.Sample{Upstream: 100 + i, Factor: 1})
	}
	now = now.Add(time.Second)
	p.Add(now, "a", many)
	require.Len(t, p.Due(now, "b"), paceSamples)
	p.Add(now, "a", []pace.Sample{{Upstream: 9, Factor: 1}})
	require.Empty(t, p.Due(now.Add(paceInterval/2), "b"), "no sooner than paceInterval")
}

// TestCountsCarryPaces guards against reports that older builds can't read, and against paces that can't be read here.
func TestCountsCarryPaces(t *testing.T) {
	b := EncodeCounts(Counts{Requests: map[string]int{"u": 3}, Hashed: true, Paced: true, Paces: []pace.Sample{{Upstream: 7, Factor: 1}}})
	c, err := DecodeCounts(b)
	require.NoError(t, err)
	require.True(t, c.Paced)
	require.Len(t, c.Paces, 1)
	require.InDelta(t, 1, c.Paces[0].Factor, 0.02)
	d := wire.NewDecoder(b)
	requests := 0
	for f, ok := d.Next(); ok; f, ok = d.Next() { // as builds before the paces do
		switch f {
		case 1:
			requests++
			_ = d.Record()
		case 2, 3, 4:
			_ = d.Bool()
		}
	}
	require.NoError(t, d.Err())
	require.Equal(t, 1, requests)

	e := wire.NewEncoder()
	e.Bytes(6, []byte{1, 2, 3})
	_, err = DecodeCounts(e.Encoded())
	require.Error(t, err)
	h := NewHub(slog.New(slog.DiscardHandler))
	h.Receive("old", EncodeCounts(Counts{Requests: map[string]int{"u": 1}, Hashed: true}))
	require.Empty(t, h.Reporting(), "an older build gets no paces")
}
