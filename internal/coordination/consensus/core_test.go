package consensus_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/consensus"
)

// Size of the randomized test.
const (
	seeds      = 320
	shortSeeds = 40
	shards     = 8
	lifetime   = 12 * time.Second // simulation time for which faults are injected
)

// TestInvariantConsensusSafety checks election safety, log matching, leader completeness, state machine safety,
// leases and reads after each step, and at the end that no confirmed command was lost.
func TestInvariantConsensusSafety(t *testing.T) {
	n := uint64(seeds)
	if testing.Short() {
		n = shortSeeds
	}
	var mu sync.Mutex
	total := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for i := range uint64(shards) {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for s := i; s < n; s += shards {
					w := newWorld(s, 3+int(s/shards%2)*2)
					w.run(lifetime)
					w.settle()
					require.Empty(t, w.violation, "seed %d", s)
					mu.Lock()
					for k, v := range w.stats {
						total[k] += v
					}
					total["confirmed command"] += len(w.acked)
					mu.Unlock()
				}
			})
		}
	})
	t.Log(total)
	for _, k := range []string{"leader", "crash", "isolated leader", "wiped disk", "membership change", "transfer", "snapshot taken", "snapshot installed", "read"} {
		require.Greater(t, total[k], int(n)/4, k)
	}
}

func TestSameSeedGivesSameTrace(t *testing.T) {
	for s := range uint64(5) {
		a, b := newWorld(s, 5), newWorld(s, 5)
		a.run(lifetime)
		b.run(lifetime)
		require.Equal(t, a.trace, b.trace, "seed %d", s)
		require.NotZero(t, a.trace)
	}
}

func member(id uint64) consensus.Member {
	return consensus.Member{VM: fmt.Sprint("vm-", id), ID: id}
}

// stored returns a recovered state whose log holds one membership entry of the given term for each list of voters.
func stored(term uint64, configurations ...[]uint64) consensus.Stored {
	s := consensus.Stored{HardState: consensus.HardState{Term: term}}
	for i, l := range configurations {
		var f consensus.Configuration
		for _, id := range l {
			f.Voters = append(f.Voters, member(id))
		}
		s.Entries = append(s.Entries, consensus.Entry{
			Index: uint64(i + 1), Term: term, Kind: consensus.Membership, Data: consensus.EncodeConfiguration(f),
		})
	}
	return s
}

func newCore(id uint64, s consensus.Stored) *consensus.Core {
	return consensus.New(consensus.Settings{Self: member(id), Timing: consensus.DefaultTiming(), Stored: s, Now: time.Unix(0, 0)})
}

// TestReplicaCampaignsWhileItsRemovalIsUncommitted guards against a group that stays without a leader: while its removal
// is uncommitted, a replica's log may be the only one that can win an election.
func TestReplicaCampaignsWhileItsRemovalIsUncommitted(t *testing.T) {
	c := newCore(4, stored(4, []uint64{1, 2, 4, 5}, []uint64{1, 2, 5}))
	now := time.Unix(2, 0)
	c.Tick(now)
	var to []uint64
	for _, m := range c.Effects(now).Synced {
		require.Equal(t, consensus.PreVote, m.Kind)
		to = append(to, m.To.ID)
	}
	require.Equal(t, []uint64{1, 2, 5}, to)
}

// TestOverwrittenMembershipChangeIsReverted checks that the configuration before a membership change is in force again
// after a new leader has replaced the entry of the change, which was in force as soon as it was appended.
func TestOverwrittenMembershipChangeIsReverted(t *testing.T) {
	c := newCore(1, stored(1, []uint64{1, 2, 3}, []uint64{1, 2}))
	require.Len(t, c.Configuration().Voters, 2)
	c.Step(time.Unix(1, 0), consensus.Message{
		Kind: consensus.Append, From: member(3), To: member(1), Term: 2, Index: 1, LogTerm: 1,
		Entries: []consensus.Entry{{Index: 2, Term: 2, Kind: consensus.NoOp}},
	})
	require.Len(t, c.Configuration().Voters, 3)
}

// TestLeaseAllowsForClockDrift checks that a lease ends 570 ms after it was confirmed: 600 ms less 1/20 for clock drift.
func TestLeaseAllowsForClockDrift(t *testing.T) {
	c := newCore(1, stored(1, []uint64{1}))
	now := time.Unix(1, 0)
	c.Tick(now)
	for range 4 {
		for _, m := range c.Effects(now).Synced {
			c.Step(now, m)
		}
	}
	until, ok := c.Lease(now)
	require.True(t, ok)
	require.WithinRange(t, until, now.Add(570*time.Millisecond), now.Add(571*time.Millisecond))
}
