package vm_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
)

// TestInvariantNonIdempotentEngineCallAtMostOnce sends calls of an engine route that may not be repeated while engines
// fail, and repeats each through another VM with the same idempotency key. No prompt may reach an engine twice.
func TestInvariantNonIdempotentEngineCallAtMostOnce(t *testing.T) {
	for name, x := range map[string]engine.Faults{
		"none":    {},
		"cut":     {CutAfter: 3},
		"silent":  {Silent: true},
		"stalled": {SilentAfter: 3},
		"refused": {Refuse: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New(t, fleet.Shape{Seed: 9, Keepers: 3, Entries: 2, Engines: 2})
				defer f.Close()
				k := f.Onboard("entry-1", catalog.Account{Name: "clerks", Rate: 100, Burst: 100, Weight: 1})[0]
				f.Change("entry-1", catalog.Op{Route: &catalog.Route{Name: "notes", PathPrefix: "/v1/chat/completions"}})
				time.Sleep(time.Second)
				for _, e := range f.Engines {
					e.SetFaults(x)
				}
				for i := range 4 {
					p := fmt.Sprintf("collection note %d", i)
					for _, v := range []string{"entry-1", "entry-2"} {
						b := sendWithKey(t, f, v, k, p, i%2 == 0)
						require.Equal(t, name == "none" && v == "entry-1", !strings.Contains(b, `"error":`), b)
					}
					require.Equal(t, 1, arrivals(f, p), "%s", p)
				}
			})
		})
	}
}

// sendWithKey sends a request with its prompt as the idempotency key and returns the body of the response.
func sendWithKey(t *testing.T, f *fleet.Fleet, vm, key, prompt string, stream bool) string {
	c := f.Client()
	defer c.CloseIdleConnections()
	q := f.Chat(t.Context(), vm, key, prompt, 8, stream)
	q.Header.Set("Idempotency-Key", prompt)
	r, err := c.Do(q)
	require.NoError(t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return string(b)
}

// arrivals returns how often a prompt has reached the engines.
func arrivals(f *fleet.Fleet, prompt string) int {
	n := 0
	for _, e := range f.Engines {
		for _, a := range e.Arrivals() {
			if strings.Contains(a.Prompt, prompt) {
				n++
			}
		}
	}
	return n
}
