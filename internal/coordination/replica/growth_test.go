package replica_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/coordination/replica"
)

// catchUp is the max time that an added VM may take to replace another.
const catchUp = 4 * time.Second

func newGrowing(t *testing.T, initialMembers int, leaving func() []string) *cluster {
	c := newCluster(t, 1, initialMembers, smallLimits())
	c.initialMembers = initialMembers
	c.added = 60 * time.Millisecond // more than two ticks of the leader
	c.grow = func(*node) *replica.Growth {
		return &replica.Growth{MaxVoters: 5, DeadAfter: 1500 * time.Millisecond, Leaving: leaving, MinVoters: 3}
	}
	return c.start()
}

func noneLeaving() []string { return nil }

// voters returns the VMs of a group's voters.
func (c *cluster) voters(group uint32) []string {
	var l []string
	for _, s := range c.leader(group).replica.Status() {
		if s.Group == group {
			for _, v := range s.Configuration.Voters {
				l = append(l, v.VM)
			}
		}
	}
	return l
}

// TestLostVMsAreReplacedInTurn loses VMs for good, one after the other, and adds a blank VM with another name for each. The
// groups must accept commands and keep their number of voters.
func TestLostVMsAreReplacedInTurn(t *testing.T) {
	for _, initialMembers := range []int{3, 5} {
		t.Run(fmt.Sprint(initialMembers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newGrowing(t, initialMembers, noneLeaving)
				defer c.close()
				time.Sleep(time.Minute) // so that a new learner would seem dead if its time without a response counted from the leader's start
				for i := range 6 {
					c.propose(1, fmt.Sprint("command ", i))
					lost := c.names[i]
					c.nodes[lost].kill()
					time.Sleep(time.Second)
					c.add(fmt.Sprint("vm-new-", i))
					time.Sleep(catchUp)
					v := c.voters(1)
					require.NotContains(t, v, lost)
					require.Len(t, v, initialMembers)
				}
				c.propose(1, "last")
				require.Len(t, c.waitSame(1), 7)
			})
		})
	}
}

// TestSpareVMsVoteInPairs adds VMs one by one. They become voters in pairs, because an even number of voters tolerates no
// more failures than one voter less.
func TestSpareVMsVoteInPairs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newGrowing(t, 3, noneLeaving)
		defer c.close()
		c.propose(1, "first")
		for i, want := range []int{3, 5, 5} {
			c.add(fmt.Sprint("vm-new-", i))
			time.Sleep(catchUp)
			require.Len(t, c.voters(1), want)
		}
	})
}

// TestLeavingVMIsRemoved marks the VM of the leader as leaving. It must be removed from the voters once enough others can
// vote.
func TestLeavingVMIsRemoved(t *testing.T) {
	for _, spare := range []int{0, 1, 2} { // without a spare VM it has to stay; with two, all five are voters at first

		t.Run(fmt.Sprint(spare), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var leaving atomic.Pointer[[]string]
				leaving.Store(&[]string{})
				c := newGrowing(t, 3, func() []string { return *leaving.Load() })
				defer c.close()
				for i := range spare {
					c.add(fmt.Sprint("vm-new-", i))
				}
				c.propose(1, "first")
				time.Sleep(catchUp)
				l := c.leader(1).vm
				leaving.Store(&[]string{l})
				time.Sleep(catchUp)
				if spare == 0 {
					require.Contains(t, c.voters(1), l)
					return
				}
				require.NotContains(t, c.voters(1), l)
				require.GreaterOrEqual(t, len(c.voters(1)), 3)
				c.propose(1, "second")
			})
		})
	}
}

// TestGroupSurvivesLossesAfterAMemberHasLeft stops a leaving VM as soon as the committed configuration lacks it; at the same
// moment the leader and another voter lose their disks and the others lose power.
func TestGroupSurvivesLossesAfterAMemberHasLeft(t *testing.T) {
	for i := range 4 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var leaving atomic.Pointer[[]string]
				leaving.Store(&[]string{})
				c := newCluster(t, 1, 5, smallLimits())
				c.initialMembers, c.delay = 5, 20*time.Millisecond
				c.grow = func(*node) *replica.Growth {
					return &replica.Growth{MaxVoters: 5, DeadAfter: 1500 * time.Millisecond, MinVoters: 5,
						Leaving: func() []string { return *leaving.Load() }}
				}
				c.start()
				defer c.close()
				c.add("vm-new")
				c.propose(1, "first")
				leader := c.leader(1)
				l := c.names[:5]
				l = slices.DeleteFunc(slices.Clone(l), func(v string) bool { return v == leader.vm })
				leaver, second := l[i], l[(i+1)%4]
				leaving.Store(&[]string{leaver})
				for member := true; member; {
					time.Sleep(time.Millisecond)
					member = slices.ContainsFunc(leader.replica.Status()[1].Committed.Members(), func(m consensus.Member) bool {
						return m.VM == leaver
					})
				}
				for _, v := range c.names {
					c.nodes[v].kill()
				}
				time.Sleep(time.Second) // frames in flight are lost
				for _, v := range c.names {
					if v == leader.vm || v == second {
						c.nodes[v].disk.Wipe()
					}
					if v != leaver {
						c.nodes[v].start()
					}
				}
				c.propose(1, "second")
				require.Equal(t, []string{"first", "second"}, c.leader(1).machines[1].list())
			})
		})
	}
}

// TestInitialMembersThatLostTheirDisksCreateNoSecondGroup wipes the disks of the initial members, one after the other, for
// long enough that other VMs take their places, until none is in the group.
func TestInitialMembersThatLostTheirDisksCreateNoSecondGroup(t *testing.T) {
	for _, end := range []string{"none", "all VMs lose power"} {
		t.Run(end, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newGrowing(t, 3, noneLeaving)
				defer c.close()
				for i := range 7 {
					c.add(fmt.Sprint("vm-new-", i))
				}
				c.propose(1, "first")
				time.Sleep(catchUp)
				initial := func(v string) bool { return slices.Contains(c.names[:3], v) }
				for range 100 {
					l := c.voters(1)
					i := slices.IndexFunc(l, initial)
					if i < 0 {
						break
					}
					n := c.nodes[l[i]]
					n.kill()
					n.disk.Wipe()
					time.Sleep(catchUp)
					n.start()
					time.Sleep(catchUp)
				}
				require.False(t, slices.ContainsFunc(c.voters(1), initial))
				if end != "none" {
					for _, n := range c.nodes {
						n.kill()
					}
					for _, n := range c.nodes {
						n.start()
					}
				}
				time.Sleep(catchUp)
				var leaders []string
				for _, v := range c.names {
					if _, _, ok := c.nodes[v].replica.Lease(1); ok {
						leaders = append(leaders, v)
					}
				}
				require.Len(t, leaders, 1, "leaders of the group")
			})
		})
	}
}

// TestTwoDisksAreLostWhileADeadVoterIsReplaced ends all VMs right after a step of the replacement, and wipes two of the
// voters. The dead voter comes back with its disk, so no more disks are lost than five voters tolerate.
func TestTwoDisksAreLostWhileADeadVoterIsReplaced(t *testing.T) {
	for _, step := range []int{1, 2} {
		for pair := range 6 {
			t.Run(fmt.Sprint("step ", step, ", pair ", pair), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newGrowing(t, 5, noneLeaving)
					defer c.close()
					c.add("vm-new")
					c.propose(1, "first")
					time.Sleep(catchUp)
					before := c.voters(1)
					dead := c.nodes[before[0]]
					if dead == c.leader(1) {
						dead = c.nodes[before[1]]
					}
					dead.kill()
					c.propose(1, "second")
					for range step {
						now := c.voters(1)
						for range 20_000 {
							if !slices.Equal(c.voters(1), now) {
								break
							}
							time.Sleep(200 * time.Microsecond)
						}
					}
					time.Sleep(5 * time.Millisecond) // the change is committed
					c.propose(1, "third")
					left := slices.DeleteFunc(before, func(v string) bool { return v == dead.vm })
					i, j := pair/3, pair%3+1
					if i >= j {
						j = 3
					}
					for _, n := range c.nodes {
						n.kill()
					}
					c.nodes[left[i]].disk.Wipe()
					c.nodes[left[j]].disk.Wipe()
					for _, n := range c.nodes {
						n.start()
					}
					l := c.leader(1)
					require.NoError(t, l.replica.Barrier(t.Context(), 1))
					require.Subset(t, l.machines[1].list(), []string{"first", "second", "third"})
				})
			})
		}
	}
}
