package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const oneVM = `{
  "fleet": "trial", // a comment
  "vms": [
    {"name": "a", "data_centre": "x", "mesh": "127.0.0.1:1", "callers": "127.0.0.1:2", "operators": "127.0.0.1:3", "data_folder": "d"},
  ],
}`

func TestDecodeReportsThePositionOfTheFirstMistake(t *testing.T) {
	second := `"vms": [
    {"name": "b", "data_centre": "x", "mesh": "127.0.0.1:1", "callers": "127.0.0.1:4", "operators": "127.0.0.1:5"},`
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", `"fleet": "trial"`, `"fleet": "trial", "flet": 1`, `s.jsonc:2:21: flet: is not a known key`},
		{"missing key", `"fleet": "trial",`, ``, `s.jsonc:5:4: fleet: is missing`},
		{"key given twice", `"fleet": "trial"`, `"fleet": "trial", "fleet": "x"`, `s.jsonc:2:21: fleet: is given twice`},
		{"bad address", `"127.0.0.1:2"`, `"here"`, `s.jsonc:4:73: vms[0].callers: "here" is not ip:port`},
		{"one address for two VMs", `"vms": [`, second, `s.jsonc:5:47: vms[1].mesh: 127.0.0.1:1 is already the address vms[0].mesh`},
		{"empty name", `"name": "a"`, `"name": ""`, `s.jsonc:4:14: vms[0].name: must be a text that is not empty`},
		{"no keeper", `, "data_folder": "d"`, ``, `s.jsonc:3:10: vms: at least one VM needs a data_folder, to be a keeper`},
		{"unknown policy", `"fleet": "trial"`, `"fleet": "trial", "batch_policy": "all"`, `s.jsonc:2:37: batch_policy: must be one of online, throughput`},
		{"wrong type", `"trial"`, `7`, `s.jsonc:2:12: fleet: must be a text that is not empty`},
		{"syntax", `"fleet"`, `fleet`, `s.jsonc:2:3: settings: invalid literal: fleet`},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, oneVM, c.old)
			_, err := Decode("s.jsonc", []byte(strings.Replace(oneVM, c.old, c.new, 1)))
			require.EqualError(t, err, c.want)
		})
	}
}

func TestDecodeReadsSettings(t *testing.T) {
	s, err := Decode("s.jsonc", []byte(oneVM))
	require.NoError(t, err)
	v, ok := s.VM("")
	require.True(t, ok)
	require.Equal(t, VM{Name: "a", DataCentre: "x", Mesh: "127.0.0.1:1", Callers: "127.0.0.1:2", Operators: "127.0.0.1:3", DataFolder: "d"}, v)
	require.Equal(t, []string{"a"}, s.Keepers("x"))
}

func TestExamplesAreValid(t *testing.T) {
	for _, f := range []string{"single", "seven"} {
		_, err := Load("../../../examples/" + f + ".jsonc")
		require.NoError(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(oneVM))
	f.Add([]byte(`{"vms": [{}]}`))
	f.Add([]byte(`{"vms": [1], "log": []}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode("f", b)
		if err == nil && len(s.VMs) == 0 {
			t.Fatal("settings without a VM were accepted")
		}
	})
}
