package upstream

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/protocol/frame"
)

// shared records what a Sharer sends and receives.
type shared struct {
	inFlight map[string]int
	got      map[string]map[string]int
	messages int
	bytes    int
	s        *Sharer
}

func (s *shared) InFlight() map[string]int { return s.inFlight }

func (s *shared) SetOthersInFlight(vm string, m map[string]int) { s.got[vm] = m }

func (s *shared) Send(vm string, k frame.Kind, b []byte) {
	s.messages++
	s.bytes += len(b)
	if k == frame.Load {
		s.s.Receive(vm, b)
	}
}

// TestSharerReportsAndIsBounded checks that other VMs receive the counts in flight, of the busiest upstreams if there
// are too many, and that an idle VM and a large fleet stay within the bounds on messages and bytes.
func TestSharerReportsAndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &shared{inFlight: map[string]int{}, got: map[string]map[string]int{}}
		x.s = NewSharer(x, []string{"vm-1", "vm-2"}, x)
		run := func(d time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), d)
			defer cancel()
			require.NoError(t, x.s.Run(ctx))
		}
		run(10 * time.Second)
		require.LessOrEqual(t, x.messages, 2, "messages of an idle VM")
		x.inFlight = map[string]int{"a": 3, "b": 1}
		run(300 * time.Millisecond)
		require.Equal(t, map[string]int{"a": 3, "b": 1}, x.got["vm-2"])
		x.messages = 0
		run(10 * time.Second)
		require.LessOrEqual(t, x.messages, 2*11, "an unchanged message is sent once a second")
		x.inFlight = map[string]int{"busy": 9}
		for i := range 600 {
			x.inFlight[fmt.Sprintf("upstream-%03d", i)] = 1 + i%2
		}
		x.messages, x.bytes = 0, 0
		run(300 * time.Millisecond)
		require.Len(t, x.got["vm-1"], maxShared)
		require.Equal(t, 9, x.got["vm-1"]["busy"])
		require.Less(t, x.bytes/x.messages, 10<<10)
	})
}
