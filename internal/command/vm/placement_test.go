package vm_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/group"
	"snipetack/internal/testing/fakenet"
	"snipetack/internal/testing/fleet"
	"snipetack/internal/transport/operator"
)

// TestInvariantOrdersReachEnginesInOrder changes versions while placement leaders are isolated from the other VMs, but
// not from the engines, and while orders are delayed. No engine may carry out an older order after a newer one, and all
// must end with the configured version. It runs with engines that check fencing numbers and with such that don't.
func TestInvariantOrdersReachEnginesInOrder(t *testing.T) {
	for seed := range uint64(4) {
		for _, checks := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				t.Logf("seed %d, checks %t", seed, checks)
				e := engine.DefaultSettings()
				e.ChecksFencing = checks
				f := fleet.New(t, fleet.Shape{Seed: seed, Keepers: 3, Entries: 1, Engines: 3, Engine: e})
				defer f.Close()
				f.Onboard("entry-1")
				o := newOperator(t, f, "entry-1")
				r := rand.New(rand.NewPCG(seed, 3))
				last := ""
				for i := range 5 {
					last = fmt.Sprintf("sprach-1@%d", i)
					l := slowOrders(f, r)
					configureArtifact(f, last)
					time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
					if r.IntN(4) > 0 {
						f.Net.Isolate(f.IP(l), f.IPs(), true)
					}
					time.Sleep(time.Duration(r.IntN(15000)) * time.Millisecond)
					endNetworkFaults(f)
				}
				f.Await(2*time.Minute, "version "+last+" everywhere", func() bool { return placedEverywhere(t, f, o, last) })
				for n, e := range f.Engines {
					requireInOrder(t, e.Orders(), last, "seed %d, engine %d, checks %t", seed, n, checks)
				}
			})
		}
	}
}

func TestPlacementIsExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 3, Entries: 1, Engines: 2})
		defer f.Close()
		f.Onboard("entry-1")
		o := newOperator(t, f, "entry-1")
		configureArtifact(f, "sprach-1")
		f.Await(time.Minute, "loaded", func() bool { return placedEverywhere(t, f, o, "sprach-1") })
		p, err := o.Placement(t.Context(), "engine-2")
		require.NoError(t, err)
		require.Len(t, p.Decisions, 1)
		require.Equal(t, "load", p.Decisions[0].Action)
		require.Contains(t, p.Decisions[0].Reason, "of 2 copies")
		require.Len(t, p.Upstreams, 2)
	})
}

// configureArtifact configures an artifact for each engine, whose memory does not hold two.
func configureArtifact(f *fleet.Fleet, name string) {
	c := f.VM("entry-1").Copy().Current()
	s := c.Services["sprach-dienst"]
	s.Artifacts = []catalog.Artifact{{Name: name, Size: 1 << 30}}
	ops := []catalog.Op{{Service: &s}}
	for i := range f.Engines {
		u := f.Upstream(i)
		u.Memory = 3 << 29
		ops = append(ops, catalog.Op{Upstream: u})
	}
	f.Change("entry-1", ops...)
}

// slowOrders delays the link from the placement leader to each engine by up to 4 s, and returns the leader.
func slowOrders(f *fleet.Fleet, r *rand.Rand) string {
	leader := ""
	f.Await(time.Minute, "a leader", func() bool {
		for _, v := range []string{"keeper-1", "keeper-2", "keeper-3"} {
			if _, _, ok := f.VM(v).Replica().Lease(group.Placement); ok {
				leader = v
			}
		}
		return leader != ""
	})
	for i := range f.Engines {
		f.Net.SetLink(f.IP(leader), f.EngineIP(i), fakenet.Link{Delay: time.Duration(r.IntN(4000)) * time.Millisecond})
	}
	return leader
}

func endNetworkFaults(f *fleet.Fleet) {
	for _, v := range []string{"keeper-1", "keeper-2", "keeper-3"} {
		f.Net.Isolate(f.IP(v), f.IPs(), false)
		for i := range f.Engines {
			f.Net.SetLink(f.IP(v), f.EngineIP(i), fakenet.Link{Delay: time.Millisecond})
		}
	}
}

func placedEverywhere(t *testing.T, f *fleet.Fleet, o *operator.Client, artifact string) bool {
	p, err := o.Placement(t.Context(), "")
	if err != nil {
		return false
	}
	n := 0
	for _, u := range p.Upstreams {
		if len(u.Loaded) == 1 && u.Loaded[0] == artifact && u.Pending == "" {
			n++
		}
	}
	return n == len(f.Engines)
}

// requireInOrder replays the orders that an engine carried out: fencing numbers never decrease, no more than one
// artifact is loaded at a time, and the last one remains.
func requireInOrder(t *testing.T, l []engine.Order, last string, message string, args ...any) {
	require.NotEmpty(t, l)
	fence := uint64(0)
	loaded := map[string]bool{}
	for _, o := range l {
		require.GreaterOrEqual(t, o.Fence, fence, append([]any{message}, args...)...)
		fence = o.Fence
		if o.Action == "load" {
			loaded[o.Target] = true
		} else {
			delete(loaded, o.Target)
		}
		require.LessOrEqual(t, len(loaded), 1, append([]any{message}, args...)...)
	}
	require.Equal(t, map[string]bool{last: true}, loaded, append([]any{message}, args...)...)
}
