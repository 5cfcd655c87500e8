package quickstart

import (
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
)

// The complete quickstart runs in virtual time, so that its time limits don't depend on the speed of the machine.
func TestQuickstartEndsEachItemOnceWhileAKeeperIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: 100 * time.Microsecond})
		defer n.Close()
		var out strings.Builder
		start := time.Now()
		err := Run(t.Context(), Options{Out: &out, Log: slog.New(slog.DiscardHandler), Network: n.Host("127.0.0.1")})
		require.NoError(t, err, out.String())
		require.LessOrEqual(t, time.Since(start), 50*time.Second)
		for _, l := range []string{
			"revision 1 is in force at all 7 VMs",
			"keeper vm-2 is lost",
			"items completed      198",
			"items failed         2",
			"2002 (key_unknown, not_run)",
			"2004 (route_denied, not_run)",
			"5001 (file_invalid, not_run)",
			"each of the 200 accepted items ended exactly once",
		} {
			require.Contains(t, out.String(), l)
		}
	})
}
