package budget_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/budget"
)

const mib = 1 << 20

// client is a connection of a test and why it was closed.
type client struct {
	*budget.Conn
	why string
}

// crowd opens connections; each closes as soon as the budget ends it.
func crowd(l *budget.Listener, now time.Time, n int) []*client {
	var all []*client
	for range n {
		all = append(all, open(l, now))
	}
	return all
}

func open(l *budget.Listener, now time.Time) *client {
	c := &client{}
	c.Conn = l.Open(now, func(reason string) {
		c.why = reason
		c.Close()
		c.Enter(now, budget.Idle) // its handler ends
	})
	return c
}

// TestBodyThatMakesProgressTakesRoomOfStalledOnes guards against a crowd of bodies that stop short of their end and keep an
// ordinary one out.
func TestBodyThatMakesProgressTakesRoomOfStalledOnes(t *testing.T) {
	start := time.Unix(1000, 0)
	b := budget.New(16*mib, 100)
	l := b.Listener("callers", 1)
	stalled := crowd(l, start, 3)
	for _, c := range stalled {
		c.Enter(start, budget.Run)
		ok, _ := c.Take(start, 3*mib)
		require.True(t, ok)
		c.Enter(start, budget.Body)
		c.EndRead(start, 3*mib)
		c.Enter(start, budget.Body)
	}
	now := start.Add(100 * time.Millisecond)
	sound := open(l, now)
	sound.Enter(now, budget.Run)
	ok, wait := sound.Take(now, 4*mib)
	require.False(t, ok, "the bodies may be ordinary ones that pause")
	require.NotNil(t, wait)
	now = start.Add(time.Second)
	ok, wait = sound.Take(now, 4*mib)
	require.False(t, ok)
	select {
	case <-wait:
	default:
		require.Fail(t, "the room that the closed connections held is not announced")
	}
	ok, _ = sound.Take(now, 4*mib)
	require.True(t, ok)
	closed := 0
	for _, c := range stalled {
		if c.why != "" {
			require.Equal(t, "slow body", c.why)
			closed++
		}
	}
	require.Equal(t, 1, closed, "no more are closed than needed")
	require.LessOrEqual(t, b.Held(), b.Memory())
}

// TestTrickleIsNoProgress guards against clients that keep their connection with a byte now and then.
func TestTrickleIsNoProgress(t *testing.T) {
	now := time.Unix(1000, 0)
	l := budget.New(16*mib, 100).Listener("callers", 0.02)
	trickling, sound := open(l, now), open(l, now)
	for _, c := range []*client{trickling, sound, open(l, now), open(l, now)} {
		c.Enter(now, budget.Run)
	}
	for range 10 {
		for c, n := range map[*client]int{trickling: 1, sound: mib} {
			c.Enter(now, budget.Body)
			c.EndRead(now.Add(100*time.Millisecond), n)
		}
		now = now.Add(100 * time.Millisecond)
	}
	trickling.Enter(now, budget.Body)
	sound.Enter(now, budget.Body)
	require.NotNil(t, open(l, now).Conn)
	require.Equal(t, "slow body", trickling.why)
	require.Empty(t, sound.why)
}

// TestConnectionsWithoutARequestAreClosedFirst guards against half-sent heads that keep ordinary callers' idle connections from
// reuse, and new callers from connecting.
func TestConnectionsWithoutARequestAreClosedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	b := budget.New(16*mib, 40)
	l := b.Listener("callers", 0.1)
	idle, running := open(l, now), open(l, now)
	idle.Enter(now, budget.Run)
	idle.Enter(now, budget.Idle)
	running.Enter(now, budget.Run)
	half := crowd(l, now.Add(time.Second), 2)
	now = now.Add(1050 * time.Millisecond)
	require.NotNil(t, open(l, now).Conn)
	require.Equal(t, "slow idle", idle.why, "the heads may still be on their way")
	now = now.Add(time.Second)
	for range 3 {
		require.NotNil(t, open(l, now).Conn)
	}
	for _, c := range half {
		require.Equal(t, "slow head", c.why)
	}
	require.Empty(t, running.why)
	require.Nil(t, l.Open(now, nil), "all others are served or have just connected")
	require.NotNil(t, open(b.Listener("ready", 0.1), now).Conn, "another listener has a part of its own")
}

// TestBodiesThatWaitForRoomDoNotBlockEachOther guards against bodies of unknown length that each hold a part and wait for the rest.
func TestBodiesThatWaitForRoomDoNotBlockEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	b := budget.New(16*mib, 100)
	l := b.Listener("callers", 1)
	var waiting []*client
	for range 5 {
		c := open(l, now)
		c.Enter(now, budget.Run)
		ok, _ := c.Take(now, 2*mib)
		require.True(t, ok)
		c.Enter(now, budget.Body)
		c.EndRead(now, 2*mib)
		waiting = append(waiting, c)
	}
	refused := 0
	for _, c := range waiting[1:] {
		ok, wait := c.Take(now, 4*mib)
		require.False(t, ok)
		if wait == nil {
			refused++
		}
	}
	require.Zero(t, refused)
	ok, wait := waiting[0].Take(now, 4*mib)
	require.False(t, ok)
	for _, c := range waiting[1:] {
		if ok, wait := c.Take(now, 4*mib); !ok && wait == nil {
			refused++
			c.Enter(now, budget.Idle)
		}
	}
	require.Equal(t, 2, refused, "as many as hold the 2.1 MiB that are missing")
	<-wait
	ok, _ = waiting[0].Take(now, 4*mib)
	require.True(t, ok)
	for _, c := range waiting {
		require.Empty(t, c.why, "no connection has to be closed")
	}
}

// TestSmallRequestsHaveAPartOfTheMemory guards against large holdings that leave no room for small requests.
func TestSmallRequestsHaveAPartOfTheMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	b := budget.New(16*mib, 100)
	l := b.Listener("callers", 1)
	for range 40 {
		c := open(l, now)
		c.Enter(now, budget.Run)
		_, _ = c.Take(now, mib)
	}
	require.False(t, b.TryAcquire(mib))
	small := open(l, now)
	small.Enter(now, budget.Run)
	ok, _ := small.Take(now, 16<<10)
	require.True(t, ok)
	ok, wait := small.Take(now, 20*mib)
	require.False(t, ok)
	require.Nil(t, wait, "there will never be room")
}

// TestAllIsReturned guards against bytes and places that leak with closed connections.
func TestAllIsReturned(t *testing.T) {
	now := time.Unix(1000, 0)
	b := budget.New(16*mib, 100)
	l := b.Listener("callers", 1)
	for _, c := range crowd(l, now, 20) {
		c.Take(now, 10<<10)
		c.Enter(now, budget.Run)
		c.Take(now, 100<<10)
		c.Give(50 << 10)
		c.Close()
		c.Close()
		c.Enter(now, budget.Idle)
	}
	require.True(t, b.TryAcquire(mib))
	b.Release(mib)
	require.Zero(t, b.Held())
	require.Zero(t, b.Open())
}

func TestShapeOf(t *testing.T) {
	for text, want := range map[string]budget.Shape{
		`{"a":"{,[\",","b":[1,2,{}]}`: {Objects: 2, Fields: 1, Elements: 2},
		strings.Repeat("{},", 5):      {Objects: 5, Elements: 5},
		`]}"`:                         {},
	} {
		require.Equal(t, want, budget.ShapeOf([]byte(text)), text)
	}
}
