package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/result"
)

func putAccount(name string, rate float64) []Op {
	return []Op{{Account: &Account{Name: name, Rate: rate, Burst: 1, Weight: 1}}}
}

func TestExecute(t *testing.T) {
	m := New()
	for _, c := range []struct {
		name   string
		change Change
		want   Outcome
	}{
		{"first change", Change{ID: "a", Ops: putAccount("x", 1), Author: "ann"}, Outcome{Code: result.OK, Revision: 1}},
		{"retry gets the first outcome", Change{ID: "a", Ops: putAccount("x", 1)}, Outcome{Code: result.OK, Revision: 1}},
		{"second change on the same base conflicts and names the first", Change{ID: "b", Ops: putAccount("x", 2)}, Outcome{
			Code: result.ChangeConflict, Revision: 1, Winner: "a", Author: "ann",
			Detail: "the change was made against another revision",
		}},
		{"retry of a conflict on a newer base gets the first outcome", Change{ID: "b", Base: 1, Ops: putAccount("x", 2)}, Outcome{
			Code: result.ChangeConflict, Revision: 1, Winner: "a", Author: "ann",
			Detail: "the change was made against another revision",
		}},
		{"burst below one", Change{ID: "c", Base: 1, Ops: []Op{{Account: &Account{Name: "y"}}}}, Outcome{
			Code: result.ChangeInvalid, Revision: 1, Detail: `edit 1: account "y": burst 0 is below one`,
		}},
		{"key without account", Change{ID: "d", Base: 1, Ops: []Op{{Key: &Key{ID: "k", Account: "z"}}}}, Outcome{
			Code: result.ChangeInvalid, Revision: 1, Detail: `key "k" names account "z", which does not exist`,
		}},
		{"rebased change", Change{ID: "e", Rebase: true, Ops: putAccount("z", 1)}, Outcome{Code: result.OK, Revision: 2}},
		{"no id", Change{Base: 2, Ops: putAccount("z", 1)}, Outcome{Code: result.ChangeInvalid, Detail: "the change has no id"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, m.Execute(c.change))
		})
	}
}

// TestSnapshotKeepsOutcomesAndHistory checks that a machine restored from a snapshot at any point returns the same
// outcomes, history and configuration as one that was never restarted.
func TestSnapshotKeepsOutcomesAndHistory(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		a, b := New(), New()
		for range 60 {
			c := Change{ID: fmt.Sprint("c", r.IntN(40)), Base: a.Current().Revision - uint64(r.IntN(2)), Ops: putAccount(fmt.Sprint("x", r.IntN(5)), r.Float64())}
			require.Equal(t, a.Execute(c), b.Execute(c), "seed %d", seed)
			if r.IntN(5) == 0 {
				n := New()
				require.NoError(t, n.Restore(b.Snapshot()))
				b = n
			}
		}
		x, _ := a.Since(0)
		y, _ := b.Since(0)
		require.Equal(t, x, y, "seed %d", seed)
		require.Equal(t, a.Current(), b.Current(), "seed %d", seed)
	}
}

func FuzzDecodeChange(f *testing.F) {
	f.Add(EncodeChange(Change{ID: "a", Base: 7, Ops: putAccount("x", 1)}))
	f.Add(EncodeConfiguration(NewConfiguration()))
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := New()
		m.Apply(1, b)
		_, _ = DecodeConfiguration(b)
		_, _ = DecodeOutcome(b)
		_ = New().Restore(b)
	})
}
