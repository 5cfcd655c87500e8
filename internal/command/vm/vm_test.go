package vm_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"snipetack/internal/protocol/chat"
	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
)

// TestOnlineRequestEndToEnd sends a request through another entry VM than the one that created its account and key.
func TestOnlineRequestEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 2, Engines: 2})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1})
		r, err := f.Client().Do(f.Chat(t.Context(), "entry-2", k[0], "a route please", 5, false))
		require.NoError(t, err)
		defer r.Body.Close()
		b, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.StatusCode, string(b))
		var c chat.Completion
		require.NoError(t, json.Unmarshal(b, &c))
		require.Equal(t, engine.Answer("user a route please\n", 5), c.Choices[0].Message.Content)
	})
}
