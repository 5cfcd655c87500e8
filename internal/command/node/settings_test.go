package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/command/node"
	"snipetack/internal/coordination/spillover"
)

const file = `{
  // a comment
  "vm": "core-a-1", "class": "control", "zone": "a", "ip": "10.0.0.1", "first_port": 7660,
  "zones": { "a": "north", "b": "north", "c": "south" },
  "seeds": ["10.0.0.1:8407"], "bootstrap": true, "data": "/data/x", "callers": "", "ready": "", "operators": "10.0.0.1:8407",
  "metrics": "10.0.0.1:9464", "list": { "address": "10.9.0.1:80", "rate_per_s": 40.0 }, "losses": 1, "cores": 1,
  "memory_mb": 280, "max_files": 4096, "grace_s": 8, "stale_after_s": 0, "quota_slack": 20, "retention_s": 120
}`

func TestDecode(t *testing.T) {
	s, err := node.Decode("f", []byte(file))
	require.NoError(t, err)
	require.Equal(t, node.Settings{VM: "core-a-1", Class: "control", Zone: "a", IP: "10.0.0.1", FirstPort: 7660,
		Seeds: []string{"10.0.0.1:8407"}, Bootstrap: true, Data: "/data/x", Operators: "10.0.0.1:8407", Metrics: "10.0.0.1:9464",
		List: "10.9.0.1:80", ListRate: 40, Losses: 1, Cores: 1, MemoryMB: 280, MaxFiles: 4096, Grace: 8 * time.Second, QuotaSlack: 20,
		Retention: 2 * time.Minute, Spillover: spillover.DefaultSettings(), Zones: map[string]string{"a": "north", "b": "north", "c": "south"}}, s)
}

// TestContentionIsOffUnlessSet guards against contention handling that takes effect where no setting enables it.
func TestContentionIsOffUnlessSet(t *testing.T) {
	for more, want := range map[string]node.Settings{
		``:                                    {},
		`, "contention": "off"`:               {},
		`, "contention": "on"`:                {Contention: true},
		`, "contracts": ["calm", "pressure"]`: {Contracts: []string{"calm", "pressure"}},
		`, "contracts": []`:                   {},
		`, "contracts": null`:                 {},
	} {
		s, err := node.Decode("f", []byte(strings.TrimSuffix(file, "\n}")+more+"}"))
		require.NoError(t, err, more)
		require.Equal(t, want.Contention, s.Contention, more)
		require.Equal(t, want.Contracts, s.Contracts, more)
	}
	_, err := node.Decode("f", []byte(strings.TrimSuffix(file, "\n}")+`, "contention": "maybe"}`))
	require.ErrorContains(t, err, "contention")
}

// TestSpilloverSettings guards against bounds of an operator that have no effect.
func TestSpilloverSettings(t *testing.T) {
	s, err := node.Decode("f", []byte(strings.TrimSuffix(file, "\n}")+`, "spillover": {"min_gain_ms": 20, "max_fraction": 0.25}}`))
	require.NoError(t, err)
	want := spillover.DefaultSettings()
	want.MinGain, want.MaxFraction = 20*time.Millisecond, 0.25
	require.Equal(t, want, s.Spillover)
	s, err = node.Decode("f", []byte(strings.TrimSuffix(file, "\n}")+`, "spillover": {"round_trip_ms": 7.5}}`))
	require.NoError(t, err)
	require.Equal(t, 7500*time.Microsecond, s.Spillover.RoundTrip)
	_, err = node.Decode("f", []byte(strings.TrimSuffix(file, "\n}")+`, "spillover": {"max_fraction": 25}}`))
	require.ErrorContains(t, err, "max_fraction")
}

// TestListLagIsOptional guards against a platform that names no lag.
func TestListLagIsOptional(t *testing.T) {
	s, err := node.Decode("f", []byte(strings.Replace(file, `"rate_per_s": 40.0`, `"rate_per_s": 40.0, "lag_ms": 800`, 1)))
	require.NoError(t, err)
	require.Equal(t, 800*time.Millisecond, s.ListLag)
}

func TestDecodeErrorsNameFileAndKey(t *testing.T) {
	table := map[string]struct{ from, to, want string }{
		"unknown key": {`"losses"`, `"loses"`, "loses"},
		"wrong type":  {`"losses": 1`, `"losses": "one"`, "losses"},
		"wrong class": {`"control"`, `"core"`, "class"},
		"missing key": {`"ip": "10.0.0.1", `, ``, "ip"},
		"no region":   {`"b": "north"`, `"b": ""`, "zones.b"},
		"two regions": {`"b": "north"`, `"a": "south"`, "given twice"},
		"syntax":      {`"cores": 1,`, `"cores": 1`, ":"},
	}
	for name, c := range table {
		t.Run(name, func(t *testing.T) {
			_, err := node.Decode("f", []byte(strings.Replace(file, c.from, c.to, 1)))
			require.ErrorContains(t, err, c.want)
			require.ErrorContains(t, err, "f:")
		})
	}
}
