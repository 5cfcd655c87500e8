package questionnaire_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipetack/internal/command/questionnaire"
	"snipetack/internal/state/catalog"
)

const good = `{
  "team": "north",
  "services": [
    {"name": "drafts", "kind": "engine", "models": ["m-1"], "requests_per_second_per_upstream": 10, "at_once_per_upstream": 4,
     "upstreams": [{"name": "drafts-1", "address": "10.0.0.1:8500", "data_centre": "a"}]},
    {"name": "rounds", "kind": "plain", "requests_per_second_per_upstream": 50, "at_once_per_upstream": 4,
     "upstreams": [{"name": "rounds-1", "address": "10.0.0.2:8500", "data_centre": "a"}]},
  ],
  "accounts": [
    {"name": "clerks", "rate_per_second": 20, "burst": 5},
    {"name": "boards", "rate_per_second": 1, "burst": 1, "batch_items_per_second": 20},
  ],
  "routes": [{"name": "rounds", "path": "/services/rounds", "service": "rounds", "accounts": ["clerks"]}],
  "workloads": [
    {"name": "look-ups", "account": "clerks", "route": "rounds", "kind": "online", "requests_per_second": 15},
    {"name": "statements", "account": "boards", "model": "m-1", "kind": "batch", "items": 100, "due_seconds": 100},
  ],
}
`

// TestMain fixes the seed of the random cases, unless a seed is given, so that runs can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

func TestInvalidAnswersAreReportedWithTheirPosition(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{"negative rate", `"rate_per_second": 20`, `"rate_per_second": -1`, `10:43: accounts[0].rate_per_second: -1 must not be negative`},
		{"burst below one", `"burst": 5`, `"burst": 0`, `10:56: accounts[0].burst: 0 is below 1`},
		{"unknown route", `"route": "rounds"`, `"route": "tours"`, `15:56: workloads[0].route: route "tours" is not known`},
		{"duplicate account", `"name": "boards"`, `"name": "clerks"`, `11:14: accounts[1].name: "clerks" is already the name accounts[0].name`},
		{"workload above capacity", `"items": 100`, `"items": 1100`, `16:91: workloads[1].items: 11 a second is above the capacity of service "drafts", 10 a second`},
		{"batch above rate", `"items": 100`, `"items": 2100`, `16:91: workloads[1].items: 21 items a second are needed to finish in time, above the batch rate 20 of account "boards"`},
		{"rate above capacity", `"rate_per_second": 20`, `"rate_per_second": 61`, `10:43: accounts[0].rate_per_second: 61 is above the capacity of all services, 60 a second`},
		{"workload above rate", `"requests_per_second": 15`, `"requests_per_second": 21`, `15:107: workloads[0].requests_per_second: 21 a second is above the rate 20 of account "clerks"`},
		{"unknown account", `"accounts": ["clerks"]`, `"accounts": ["nobody"]`, `13:95: routes[0].accounts[0]: account "nobody" is not known`},
		{"account not admitted", `"accounts": ["clerks"]`, `"accounts": ["boards"]`, `15:56: workloads[0].route: route "rounds" does not admit account "clerks"`},
		{"unknown service", `"service": "rounds"`, `"service": "tours"`, `13:72: routes[0].service: service "tours" is not known`},
		{"unknown model", `"model": "m-1"`, `"model": "m-2"`, `16:5: workloads[1]: workload "statements" needs a model that a service serves, not "m-2"`},
		{"unknown key", `"burst": 5`, `"bursts": 5`, `10:47: accounts[0].bursts: is not a known key`},
		{"missing answer", `, "burst": 5`, ``, `10:45: accounts[0].burst: is missing`},
		{"fractional burst", `"burst": 5`, `"burst": 5.5`, `10:56: accounts[0].burst: must be a whole number`},
		{"wrong address", `10.0.0.2:8500`, `rounds.example:8500`, `7:52: services[1].upstreams[0].address: "rounds.example:8500" is not ip:port`},
		{"wrong path", `"/services/rounds"`, `"/rounds"`, `13:41: routes[0].path: "/rounds" begins neither with /v1/ nor with /services/`},
		{"open and limited", `"service": "rounds"`, `"open": true, "service": "rounds"`, `13:108: routes[0].accounts: route "rounds" is open to all, so it can't be limited to accounts`},
		{"artifacts too large", `"models": ["m-1"],`, `"models": ["m-1"], "memory_bytes_per_upstream": 10, "artifacts": [{"name": "a", "bytes": 6}, {"name": "b", "bytes": 6}],`, `4:158: services[0].artifacts[1].bytes: the artifacts up to here take 12 bytes, and an upstream has 10`},
		{"syntax", `"team": "north",`, `"team": north,`, `2:11: answers:`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, good, c.old)
			_, err := generate(strings.Replace(good, c.old, c.new, 1), catalog.NewConfiguration())
			require.ErrorContains(t, err, "north.jsonc:"+c.want)
		})
	}
}

func TestTeamCannotTakeOrBreakEntriesOfAnotherTeam(t *testing.T) {
	c := apply(t, catalog.NewConfiguration(), good)
	cases := []struct {
		name, document, want string
	}{
		{"account", `{"team": "south", "accounts": [{"name": "clerks", "rate_per_second": 1, "burst": 1}]}`,
			`accounts[0].name: "clerks" already belongs to team "north"`},
		{"route path", `{"team": "south", "accounts": [], "routes": [{"name": "x", "path": "/services/rounds", "service": "rounds"}]}`,
			`routes[0].path: "/services/rounds" is already the path of route "rounds"`},
		{"service that no other team uses", strings.Replace(`{"team": "north", "accounts": []}`, "north", "north", 1), ``},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			_, err := generate(v.document, c)
			if v.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, v.want)
		})
	}
	south := `{"team": "south", "accounts": [{"name": "tours", "rate_per_second": 1, "burst": 1}],
	  "routes": [{"name": "tours", "path": "/services/rounds/tours", "service": "rounds"}]}`
	c = apply(t, c, south)
	_, err := generate(`{"team": "north", "accounts": []}`, c)
	require.ErrorContains(t, err, `team "south" would be left with a wrong answer`)
}

func TestRatesAndDemandAboveCapacityAreWarnedOf(t *testing.T) {
	c := apply(t, catalog.NewConfiguration(), good)
	p, err := generate(`{"team": "south", "accounts": [{"name": "tours", "rate_per_second": 40, "burst": 1}],
	  "workloads": [{"name": "w", "account": "tours", "model": "m-1", "kind": "online", "requests_per_second": 9.5}]}`, c)
	require.NoError(t, err)
	require.Equal(t, []string{
		`service "drafts" carries 10 a second, and the workloads of all teams need 10.5`,
		`all services together carry 60 requests a second, and the accounts' rates add up to 61`,
	}, p.Warnings)
}

func TestSamplesGenerateTheirConfiguration(t *testing.T) {
	cases := []struct {
		team                              string
		services, upstreams, accounts, at int
	}{
		{"alpweide", 2, 13, 8, 3},
		{"tihend", 2, 14, 8, 4},
	}
	c := catalog.NewConfiguration()
	for _, v := range cases {
		b, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "answers", v.team+".jsonc"))
		require.NoError(t, err)
		n := apply(t, catalog.NewConfiguration(), string(b))
		require.Len(t, n.Services, v.services)
		require.Len(t, n.Upstreams, v.upstreams)
		require.Len(t, n.Accounts, v.accounts)
		at := map[string]bool{}
		for _, u := range n.Upstreams {
			at[u.DataCentre] = true
		}
		require.Len(t, at, v.at)
		c = apply(t, c, string(b)) // both teams fit on one fleet
	}
	require.Len(t, c.Accounts, 16)
}

// TestGeneratedConfigurationEqualsTheAnswers applies random answers of several teams, with manual changes in between.
func TestGeneratedConfigurationEqualsTheAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := catalog.NewConfiguration()
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"north", "south", "west"}).Draw(t, "team")
			c = apply(t, c, drawAnswers(t, team))
			requireGenerated(t, c)
			c = drift(t, c)
		}
	})
}

// drift changes a generated entry manually, and then applies the stored answers, which must revert it.
func drift(t *rapid.T, c *catalog.Configuration) *catalog.Configuration {
	for _, a := range c.Accounts {
		a.Burst += rapid.IntRange(0, 2).Draw(t, "drift")
		n, err := c.With([]catalog.Op{{Account: &a}})
		require.NoError(t, err)
		c = n
		break
	}
	l, err := questionnaire.Stored(c)
	require.NoError(t, err)
	for _, a := range l {
		c = apply(t, c, string(a.Document))
	}
	requireGenerated(t, c)
	return c
}

func requireGenerated(t require.TestingT, c *catalog.Configuration) {
	l, err := questionnaire.Stored(c)
	require.NoError(t, err)
	n := catalog.NewConfiguration()
	for _, a := range l {
		if o := questionnaire.Entries(a); len(o) > 0 {
			n, err = n.With(o)
			require.NoError(t, err)
		}
	}
	require.Equal(t, n.Accounts, c.Accounts)
	require.Equal(t, n.Routes, c.Routes)
	require.Equal(t, n.Services, c.Services)
	require.Equal(t, n.Upstreams, c.Upstreams)
	for _, k := range c.Keys {
		require.Contains(t, c.Accounts, k.Account)
	}
}

func drawAnswers(t *rapid.T, team string) string {
	var services, accounts, routes []string
	for i := range rapid.IntRange(0, 2).Draw(t, "services") {
		n := rapid.IntRange(1, 3).Draw(t, "upstreams")
		var u []string
		for j := range n {
			u = append(u, fmt.Sprintf(`{"name": "%s-%d-%d", "address": "10.0.%d.%d:%d", "data_centre": "a", "leaving": %t}`,
				team, i, j, i, j, 8000+len(team), rapid.Bool().Draw(t, "leaving")))
		}
		services = append(services, fmt.Sprintf(`{"name": "%s-%d", "kind": "plain", "requests_per_second_per_upstream": 100, "at_once_per_upstream": %d, "upstreams": [%s]}`,
			team, i, rapid.IntRange(1, 9).Draw(t, "slots"), strings.Join(u, ",")))
		routes = append(routes, fmt.Sprintf(`{"name": "%s-%d", "path": "/services/%s-%d", "service": "%s-%d", "may_repeat": %t}`,
			team, i, team, i, team, i, rapid.Bool().Draw(t, "repeat")))
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "accounts") {
		accounts = append(accounts, fmt.Sprintf(`{"name": "%s-%d", "rate_per_second": 0, "burst": %d}`,
			team, i, rapid.IntRange(1, 9).Draw(t, "burst")))
	}
	return fmt.Sprintf(`{"team": %q, "services": [%s], "accounts": [%s], "routes": [%s]}`,
		team, strings.Join(services, ","), strings.Join(accounts, ","), strings.Join(routes, ","))
}

func TestInterviewMakesAnswersThatDecode(t *testing.T) {
	in := strings.Join([]string{
		"north",
		"drafts", "engine", "m-1", "10", "", "yes", "drafts-1", "10.0.0.1:8500", "a", "",
		"rounds", "plain", "many", "50", "4", "", "rounds-1", "10.0.0.2:8500", "a", "", "",
		"clerks", "5", "9", "", "", "",
		"rounds", "/services/rounds", "rounds", "", "yes", "clerks", "",
		"look-ups", "clerks", "rounds", "", "", "4", "",
	}, "\n") + "\n"
	var out strings.Builder
	b, err := questionnaire.Interview(strings.NewReader(in), &out)
	require.NoError(t, err)
	require.Contains(t, out.String(), `"many" is not a number from 0 up`)
	p, err := generate(string(b), catalog.NewConfiguration())
	require.NoError(t, err)
	require.Equal(t, "north", p.Team)
	require.Len(t, p.Secrets, 1)
	_, err = questionnaire.Interview(strings.NewReader("north\n"), &out)
	require.ErrorContains(t, err, `the input ended at the question "Name of a service (empty: no more)"`)
}

func generate(document string, c *catalog.Configuration) (questionnaire.Plan, error) {
	a, err := questionnaire.Decode("north.jsonc", []byte(document))
	if err != nil {
		return questionnaire.Plan{}, err
	}
	return questionnaire.Generate(a, c, time.Unix(1, 0))
}

// apply returns the configuration with the document's plan applied.
func apply(t require.TestingT, c *catalog.Configuration, document string) *catalog.Configuration {
	p, err := generate(document, c)
	require.NoError(t, err)
	if len(p.Ops) == 0 {
		return c
	}
	n, err := c.With(p.Ops)
	require.NoError(t, err)
	return n
}
