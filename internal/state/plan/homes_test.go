package plan_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/plan"
)

// TestHomes guards against homes that allow a region by mistake: one that is not known, or one that only the route or only the account allows.
func TestHomes(t *testing.T) {
	all, a, ab, bc := plan.NewHomes(nil), plan.NewHomes([]string{"a"}), plan.NewHomes([]string{"b", "a", "b"}), plan.NewHomes([]string{"b", "c"})
	none := a.Meet(bc)
	require.True(t, all.Allow(""))
	require.False(t, a.Allow(""))
	require.False(t, a.Allow("b"))
	require.True(t, none.Bound())
	require.False(t, none.Allow("a") || none.Allow("b") || none.Allow("c"))
	require.Equal(t, plan.NewHomes([]string{"b"}), ab.Meet(bc))
	require.Equal(t, a, all.Meet(a))
	require.Equal(t, a, a.Meet(all))
	require.True(t, all.Covers(a) && ab.Covers(a) && a.Covers(none))
	require.False(t, a.Covers(all) || a.Covers(ab) || none.Covers(a))
	require.Equal(t, plan.NewHomes([]string{"a", "b"}).String(), ab.String())
	require.Empty(t, all.String())
	require.NotEqual(t, none.String(), all.String())
}
