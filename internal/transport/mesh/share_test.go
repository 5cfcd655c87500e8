package mesh_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/protocol/frame"
	"snipetack/internal/transport/identity"
	"snipetack/internal/transport/mesh"
	"snipetack/internal/transport/upstream"
)

// sharedUpstreams is how many upstreams a VM has requests in flight at, one each.
const sharedUpstreams = 12

// BenchmarkShare has each VM send all others its requests in flight; an iteration is a second.
func BenchmarkShare(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			r := newFullRig(b, n)
			r.start()
			var tables []*changingTable
			for i, m := range r.spokes {
				t := &changingTable{}
				tables = append(tables, t)
				s := upstream.NewSharer(m, r.others(i), t)
				m.Receive(frame.Load, s.Receive)
				r.wait.Go(func() { _ = s.Run(r.ctx) })
			}
			for _, t := range tables {
				require.Eventually(b, func() bool { return t.received.Load() >= int64(2*(n-1)) }, time.Minute, time.Millisecond)
			}
			r.metrics(b, n, func() { time.Sleep(time.Second) })
		})
	}
}

// changingTable returns other counts at each call, so that each interval sends a message.
type changingTable struct {
	round    int
	received atomic.Int64
}

func (c *changingTable) InFlight() map[string]int {
	c.round++
	m := map[string]int{}
	for i := range sharedUpstreams {
		m[fmt.Sprintf("upstream-%d", i)] = c.round%2 + 1
	}
	return m
}

func (c *changingTable) SetOthersInFlight(string, map[string]int) { c.received.Add(1) }

// newFullRig returns a rig of n spokes that reach each other. Its hub takes no part.
func newFullRig(b testing.TB, n int) *rig {
	r := newRig(b, 0)
	a, err := identity.NewAuthority("bench", time.Now())
	require.NoError(b, err)
	d := addresses{}
	for i := range n {
		// Each VM has an IP number of its own, so that no outgoing socket takes a port that another is about to listen on.
		d[fmt.Sprintf("vm-%d", i)] = fmt.Sprintf("127.0.70.%d:7400", i+1)
	}
	for i := range n {
		v := fmt.Sprintf("vm-%d", i)
		r.spokes = append(r.spokes, r.mesh(a, d, v, d[v]))
	}
	return r
}

// others names all spokes but the i-th.
func (r *rig) others(i int) []string {
	var l []string
	for j := range r.spokes {
		if j != i {
			l = append(l, fmt.Sprintf("vm-%d", j))
		}
	}
	return l
}

type addresses map[string]string

var _ mesh.DirectoryProvider = addresses{}

func (a addresses) MeshAddress(vm string) (string, bool) {
	s, ok := a[vm]
	return s, ok
}
