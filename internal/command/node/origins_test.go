package node

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/roster"
)

// TestOriginIsKnownWhileAnyResponseRuns guards against the loss of an origin when a caller takes a stream up at the VM that ran it, and the
// response on the first connection ends after that.
func TestOriginIsKnownWhileAnyResponseRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMember(&Node{Deps: Deps{Log: slog.New(slog.DiscardHandler)}}, roster.VM{Name: "e", Address: "10.9.0.1:1", Class: roster.Entry, Zone: "a"})
		o := newOrigins(nil, m)
		at := origin.Origin{Service: "s", Version: "v1"}
		known := func() bool {
			_, ok := o.own.Find(time.Now(), origin.KeyOf("x", "first"))
			return ok
		}
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(originCheck) {
				o.check(time.Now())
			}
		}
		firstEnded := o.Record("x", "first", at)
		takeUpEnded := o.Record("x", "first", at)
		firstEnded()
		pass(10 * time.Minute)
		require.True(t, known(), "the take-up runs")
		takeUpEnded()
		pass(origin.Memory - time.Second)
		require.True(t, known(), "it ended lately")
		pass(2 * origin.Memory)
		require.False(t, known(), "it ended long ago")
	})
}
