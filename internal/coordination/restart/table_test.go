package restart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/restart"
)

func TestUpstreamIsDoubtfulUntilANewerListShowsIt(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	x := restart.New(func(time.Time, string) {})
	require.False(t, x.Doubtful("i-0"))
	x.Broke(at(0), "i-0")
	require.True(t, x.Doubtful("i-0"))
	require.False(t, x.Doubtful("i-1"))
	x.Listed(at(3000))
	require.True(t, x.Doubtful("i-0"), "nobody knows whether it serves again")
	x.Broke(at(3100), "i-0")
	x.Responded(at(4000), "i-0", at(3900))
	x.Responded(at(4500), "i-0", at(4400))
	x.Listed(at(4900))
	require.True(t, x.Doubtful("i-0"), "the list lags")
	x.Listed(at(5000))
	require.False(t, x.Doubtful("i-0"))
}

func TestUpstreamThatGoesOnHasNotStartedAgain(t *testing.T) {
	now := time.Now()
	x := restart.New(func(time.Time, string) {})
	sent := now.Add(-time.Second)
	x.Broke(now, "i-0")
	x.Responded(now.Add(50*time.Millisecond), "i-0", sent)
	require.True(t, x.Doubtful("i-0"), "the bytes may have been sent before")
	x.Responded(now.Add(150*time.Millisecond), "i-0", now.Add(-10*time.Millisecond))
	require.True(t, x.Doubtful("i-0"), "the break may have been noticed late")
	x.Responded(now.Add(150*time.Millisecond), "i-0", sent)
	require.False(t, x.Doubtful("i-0"))
}

func TestUnusedUpstreamIsTakenAsListedInTheEnd(t *testing.T) {
	now := time.Now()
	x := restart.New(func(time.Time, string) {})
	x.Broke(now, "i-0")
	x.Listed(now.Add(5 * time.Second))
	require.True(t, x.Doubtful("i-0"))
	x.Listed(now.Add(12 * time.Second))
	require.False(t, x.Doubtful("i-0"))
}

func TestDoubtsAreBounded(t *testing.T) {
	now := time.Now()
	x := restart.New(func(time.Time, string) {})
	for i := range 10_000 {
		x.Broke(now, fmt.Sprint("i-", i))
	}
	require.True(t, x.Doubtful("i-0"))
	require.False(t, x.Doubtful("i-9999"))
	x.Listed(now.Add(time.Minute))
	require.False(t, x.Doubtful("i-0"))
}
