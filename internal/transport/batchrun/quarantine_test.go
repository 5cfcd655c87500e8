package batchrun

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
)

// TestQuarantineSparesItemsThatHaveGoneOn guards against runs that are cut off although their responses show that they don't crash the upstream.
// Items that have not begun are held, until a probe shows that the quarantine is wrong.
func TestQuarantineSparesItemsThatHaveGoneOn(t *testing.T) {
	runFixture(t, &engine{}, func(w *fixture) {
		w.runner.d.Segments = func(map[string]string) []string { return []string{"p"} }
		q := []plan.Quarantine{{Segments: []string{"p"}}}
		w.submit("j", slots+2)
		time.Sleep(4 * eventTime)
		w.runner.d.Quarantines.Adopt(1, q)
		time.Sleep(5 * time.Second)
		l := w.results("j")
		require.Len(t, l, slots)
		for _, i := range l {
			require.Equal(t, docket.Complete, i.Outcome)
			require.Len(t, w.engine.history()[i.ID], 1, "runs of %s", i.ID)
		}
		require.Empty(t, w.runner.d.Quarantines.Refuted(), "they began before the quarantine")
		time.Sleep(8 * time.Second)
		require.Len(t, w.results("j"), slots+1, "one item probes the quarantine")
		require.Equal(t, []string{"p"}, w.runner.d.Quarantines.Refuted())
		w.runner.d.Quarantines.Adopt(2, nil)
		time.Sleep(2 * time.Second)
		require.Len(t, w.results("j"), slots+2)
	})
}
