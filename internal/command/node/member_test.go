package node

import (
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/roster"
)

// TestControlVMsWithoutContactAreLeftOut lets most control VMs be cut off from the leader, those of the VM's data centre among them: the
// VM asks each of them once and stays with one that has contact.
func TestControlVMsWithoutContactAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Hour) // failures are noted by time; the zero time is long ago
		n := &Node{Deps: Deps{Log: slog.New(slog.DiscardHandler)}}
		m := newMember(n, roster.VM{Name: "e", Address: "10.9.0.1:1", Class: roster.Entry, Zone: "a"})
		m.fleet = 300
		good := map[string]bool{}
		for i := range 9 {
			v := roster.VM{Name: fmt.Sprint("c", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Class: roster.Control, Zone: string(rune('a' + i%5))}
			good[v.Address] = i > 5
			m.vms = append(m.vms, v)
		}
		began := time.Now()
		for !good[m.target(0, false)] {
			require.Less(t, time.Since(began), time.Second)
			require.True(t, m.avoid(m.target(0, false)))
			time.Sleep(2 * syncRetry)
		}
		x := m.target(0, false)
		for range 8 {
			time.Sleep(syncIntervalLarge)
			require.Equal(t, x, m.target(0, false))
		}
		for good[m.target(0, false)] {
			m.avoid(m.target(0, false))
		}
		require.NotEmpty(t, m.target(0, false), "without a leader all are asked again")
	})
}

// TestNewLeaderIsNotLeftOut asks a control VM shortly before it is elected. Once a bulletin that is newer names it as the leader, reports to the
// leader go to it; one that is older, from a control VM that does not know yet that a leader was deposed, changes nothing.
func TestNewLeaderIsNotLeftOut(t *testing.T) {
	for name, asked := range map[string]time.Duration{"before its election": 300 * time.Millisecond, "after it was deposed": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Hour)
				n := &Node{Deps: Deps{Log: slog.New(slog.DiscardHandler)}}
				m := newMember(n, roster.VM{Name: "b", Address: "10.9.0.1:1", Class: roster.Batch, Zone: "a"})
				m.fleet = 300
				leader, other := "10.0.0.1:1", "10.0.0.2:1"
				for _, a := range []string{leader, other} {
					m.vms = append(m.vms, roster.VM{Name: a, Address: a, Class: roster.Control, Zone: "a"})
				}
				require.True(t, m.avoid(leader))
				time.Sleep(asked)
				m.adopt(other, roster.Bulletin{Mirrors: true, Leader: leader, Age: 200 * time.Millisecond, Fleet: 300, Epoch: 1})
				want := other
				if asked > 200*time.Millisecond {
					want = leader
				}
				require.Equal(t, want, m.target(0, true))
			})
		})
	}
}

// TestOddUpstreamsOfAnOlderLeaderAreLeftOut gets a list with entries that a VM of an older build has passed on.
func TestOddUpstreamsOfAnOlderLeaderAreLeftOut(t *testing.T) {
	m := newMember(&Node{Deps: Deps{Log: slog.New(slog.DiscardHandler)}}, roster.VM{Name: "e", Address: "10.9.0.1:1", Class: roster.Entry, Zone: "a"})
	valid := roster.Upstream{ID: "i-0", Service: "s", Address: "10.0.0.2:80", Slots: 8}
	odd := []func(u *roster.Upstream){
		func(u *roster.Upstream) { u.Slots = math.MaxInt },
		func(u *roster.Upstream) { u.Cold = math.MaxInt64 },
		func(u *roster.Upstream) { u.Cold = -1 },
		func(u *roster.Upstream) { u.Address = "10.0.0.2:99999" },
		func(u *roster.Upstream) { u.Address = "10.0.0.2" },
		func(u *roster.Upstream) { u.ID = strings.Repeat("i", 1000) },
	}
	l := []roster.Upstream{valid}
	for i, f := range odd {
		u := valid
		u.ID = fmt.Sprint("odd-", i)
		f(&u)
		l = append(l, u)
	}
	b, err := roster.DecodeBulletin(roster.EncodeBulletin(roster.Bulletin{Leads: true, ListTag: 5, Upstreams: l}))
	require.NoError(t, err)
	changed, complete := m.adoptUpstreams(time.Now(), b, true)
	require.True(t, changed)
	require.True(t, complete)
	require.Equal(t, []roster.Upstream{valid}, m.upstreams)
}
