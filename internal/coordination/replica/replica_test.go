package replica_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/replica"
)

const seeds = 100

// TestReplicasAgreeThroughSnapshotsAndRestarts kills replicas, wipes disks and loses messages while many small snapshots
// are taken, sent and restored. Every confirmed command must be applied on all replicas, in the same order.
func TestReplicasAgreeThroughSnapshotsAndRestarts(t *testing.T) {
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				l := smallLimits()
				if seed%2 == 1 {
					l.JournalBytes = 1 << 20 // the journal is never rewritten
				}
				c := newCluster(t, seed, 3, l).start()
				defer c.close()
				c.mu.Lock()
				c.loss = 0.1 * c.rand.Float64()
				k := c.rand.IntN(3)
				c.mu.Unlock()
				c.leader(0)
				c.leader(1)
				var confirmed []string
				for round := range 4 {
					n := c.nodes[c.names[(k+round)%3]]
					n.kill()
					if round%2 == 0 {
						n.disk.Wipe()
					}
					for i := range 60 {
						x := fmt.Sprintf("%d-%d", round, i)
						c.propose(0, x)
						confirmed = append(confirmed, x)
						if i%10 == 0 {
							c.propose(1, x)
						}
					}
					n.start()
					c.waitSame(1)
					applied := c.waitSame(0)
					for _, x := range confirmed {
						require.Contains(t, applied, x, "seed %d", seed)
					}
					c.waitRepaired()
				}
				for _, v := range c.names {
					c.checkBounded(c.nodes[v])
				}
			})
		})
	}
}

// waitRepaired waits until the three replicas that run now are the only members of all groups, and voters.
func (c *cluster) waitRepaired() {
	for range 2000 {
		ok := true
		for g := range uint32(groups) {
			s := c.leader(g).replica.Status()[g]
			ok = ok && s.Commit == s.Last && len(s.Configuration.Voters) == 3 && len(s.Configuration.Learners) == 0
			for _, m := range s.Configuration.Voters {
				ok = ok && c.nodes[m.VM].replica.ID() == m.ID
			}
		}
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.logStatus()
	require.Fail(c.t, "not repaired")
}

// checkBounded checks that a replica's journal and its number of snapshot files stay small.
func (c *cluster) checkBounded(n *node) {
	l, err := n.disk.List()
	require.NoError(c.t, err)
	snapshots := 0
	for _, x := range l {
		f, err := n.disk.Open(x)
		require.NoError(c.t, err)
		size, _ := f.Size()
		if x == "journal" {
			require.Less(c.t, size, max(c.limit.JournalBytes, 16_000), n.vm)
		}
		if strings.HasPrefix(x, "snapshot-") && !strings.HasSuffix(x, ".part") {
			snapshots++
		}
	}
	require.LessOrEqual(c.t, snapshots, 2*groups, "%s: %v", n.vm, l)
}

// TestOneSyncServesManyCommandsOfAllGroups proposes 1000 commands at the same time on a disk whose syncs take 10 ms.
func TestOneSyncServesManyCommandsOfAllGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, replica.DefaultLimits()).start()
		defer c.close()
		n := c.leader(0)
		for g := range uint32(groups) {
			for c.leader(g) != n {
				require.NoError(t, c.leader(g).replica.Transfer(t.Context()))
				time.Sleep(time.Second)
			}
		}
		n.disk.SetSyncDelay(10 * time.Millisecond)
		before := n.disk.Syncs()
		var w sync.WaitGroup
		for i := range 1000 {
			w.Go(func() {
				_, err := n.replica.ProposeHere(t.Context(), uint32(i%groups), []byte(fmt.Sprint(i)))
				require.NoError(t, err)
			})
		}
		w.Wait()
		require.Less(t, n.disk.Syncs()-before, 10)
	})
}

func TestProposeHereFailsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, replica.DefaultLimits()).start()
		defer c.close()
		l := c.leader(0)
		for _, v := range c.names {
			if n := c.nodes[v]; n != l {
				_, err := n.replica.ProposeHere(t.Context(), 0, []byte("x"))
				require.ErrorContains(t, err, l.vm)
				require.NoError(t, n.replica.Barrier(t.Context(), 0))
			}
		}
		_, err := l.replica.ProposeHere(t.Context(), 99, []byte("x"))
		require.ErrorContains(t, err, "no group 99")
	})
}

func TestBarrierWaitsForEarlierCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, smallLimits()).start()
		defer c.close()
		c.mu.Lock()
		c.loss = 0.05
		c.mu.Unlock()
		for i := range 100 {
			x := fmt.Sprint(i)
			c.propose(0, x)
			n := c.nodes[c.names[i%3]]
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			require.NoError(t, n.replica.Barrier(ctx, 0))
			cancel()
			require.True(t, slices.Contains(n.machines[0].list(), x), "%s has not applied %s", n.vm, x)
		}
	})
}

func TestLargeSnapshotArrivesInChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, replica.Limits{SnapshotEntries: 8, SnapshotBytes: 1 << 30, KeepTail: 1, JournalBytes: 1 << 20}).start()
		defer c.close()
		c.leader(0)
		c.leader(1)
		c.mu.Lock()
		c.loss = 0.1
		c.mu.Unlock()
		n := c.nodes["vm-2"]
		n.kill()
		n.disk.Wipe()
		for i := range 20 {
			c.propose(0, fmt.Sprint(i, strings.Repeat("x", 100_000)))
		}
		n.start()
		require.GreaterOrEqual(t, len(c.waitSame(0)), 20)
		n.kill()
		n.start()
		require.GreaterOrEqual(t, len(c.waitSame(0)), 20)
	})
}

// TestDamagedSnapshotIsRefused checks that a replica does not start with a snapshot file that was changed on disk.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, smallLimits()).start()
		defer c.close()
		for i := range 50 {
			c.propose(0, fmt.Sprint(i))
		}
		n := c.nodes["vm-1"]
		n.kill()
		l, _ := n.disk.List()
		for _, x := range l {
			if strings.HasPrefix(x, "snapshot-0") {
				n.disk.Flip(x, 3)
			}
		}
		_, err := replica.New(replica.Deps{VM: "vm-1", InitialMembers: c.names, Folder: n.disk, Machines: map[uint32]replica.Machine{0: &machine{}}})
		require.ErrorContains(t, err, "snapshot-0-")
		require.ErrorContains(t, err, "is damaged")
	})
}

// TestBackupStartsAnotherFleet restores a backup on a single VM and adds two others to its groups. The backup must not
// overwrite existing state, and an incomplete one must be refused.
func TestBackupStartsAnotherFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, smallLimits()).start()
		for i := range 70 {
			c.propose(0, fmt.Sprint(i))
		}
		c.propose(1, "x")
		want := c.waitSame(0)
		b, err := c.nodes["vm-2"].replica.Backup(t.Context())
		require.NoError(t, err)
		require.ErrorContains(t, replica.RestoreBackup(c.nodes["vm-2"].disk, "vm-2", b), "not empty")
		c.close()

		n := newCluster(t, 2, 3, smallLimits())
		defer n.close()
		require.Error(t, replica.RestoreBackup(n.nodes["vm-2"].disk, "vm-2", b[:len(b)-1]))
		require.Error(t, replica.RestoreBackup(n.nodes["vm-2"].disk, "vm-2", nil))
		require.NoError(t, replica.RestoreBackup(n.nodes["vm-2"].disk, "vm-2", b))
		n.start()
		l := n.leader(0)
		require.Equal(t, "vm-2", l.vm)
		for _, v := range []string{"vm-1", "vm-3"} {
			for added := 0; added < groups; {
				k, _ := l.replica.Add(t.Context(), v)
				added += k
				time.Sleep(100 * time.Millisecond)
			}
		}
		n.waitRepaired()
		n.propose(0, "after")
		require.Equal(t, append(want, "after"), n.waitSame(0))
	})
}

// TestKnownCommitsAreAppliedWithoutALeader restarts one of three replicas alone. It must apply the entries that it knew to
// be committed, and not the uncommitted entry in its log.
func TestKnownCommitsAreAppliedWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, replica.Limits{}).start()
		defer c.close()
		for i := range 5 {
			c.propose(0, fmt.Sprint("command ", i))
		}
		time.Sleep(time.Second)
		l := c.leader(0)
		for _, v := range c.names {
			if n := c.nodes[v]; n != l {
				n.kill()
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := l.replica.ProposeHere(ctx, 0, []byte("without a quorum"))
		cancel()
		require.Error(t, err)
		l.kill()
		l.start()
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, []string{"command 0", "command 1", "command 2", "command 3", "command 4"}, l.machines[0].list())
	})
}

// TestDelayedReadResponseCompletesNoBarrierAfterARestart delivers the leader's frames to a follower only after the
// follower has restarted and the leader has committed another command.
func TestDelayedReadResponseCompletesNoBarrierAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 3, replica.DefaultLimits()).start()
		defer c.close()
		c.propose(0, "first")
		c.waitSame(0)
		leader := c.leader(0)
		follower := c.nodes[c.names[0]]
		if follower == leader {
			follower = c.nodes[c.names[1]]
		}
		var delayed [][]byte
		c.mu.Lock()
		c.tap = func(from, to string, frame []byte) bool {
			if from == leader.vm && to == follower.vm {
				delayed = append(delayed, slices.Clone(frame))
				return false
			}
			return true
		}
		c.mu.Unlock()
		barrier := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			return follower.replica.Barrier(ctx, 0)
		}
		require.Error(t, barrier())
		follower.kill()
		follower.start()
		c.mu.Lock()
		old := slices.Clone(delayed)
		c.mu.Unlock()
		c.propose(0, "second")
		time.AfterFunc(10*time.Millisecond, func() {
			for _, f := range old {
				follower.replica.Receive(leader.vm, f)
			}
		})
		require.Error(t, barrier(), "applied: %v", follower.machines[0].list())
	})
}

// TestSuspendedLeaderHoldsNoLease lets the time of day of a leader go on by seconds, as while its VM is suspended, and
// cuts it off. Another replica may lead by then, so that it must neither hold a lease nor serve a barrier.
func TestSuspendedLeaderHoldsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended sync.Map // duration by VM
		c := newCluster(t, 1, 3, replica.DefaultLimits())
		c.day = func(vm string) time.Time {
			d, _ := suspended.LoadOrStore(vm, time.Duration(0))
			return time.Now().Add(d.(time.Duration))
		}
		defer c.start().close()
		c.propose(0, "first")
		l := c.leader(0)
		var cut atomic.Bool
		c.mu.Lock()
		c.tap = func(_, to string, _ []byte) bool { return !cut.Load() || to != l.vm }
		c.mu.Unlock()
		cut.Store(true)
		suspended.Store(l.vm, 3*time.Second)
		_, _, ok := l.replica.Lease(0)
		require.False(t, ok)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		require.Error(t, l.replica.Barrier(ctx, 0))
		cut.Store(false)
		require.NoError(t, l.replica.Barrier(t.Context(), 0))
	})
}
