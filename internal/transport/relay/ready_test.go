package relay_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/transport/relay"
)

// TestRequestWaitsForTheStart guards against refusals by a VM that could serve a moment later, and against requests that a VM holds whose callers
// could reach another one.
func TestRequestWaitsForTheStart(t *testing.T) {
	for name, c := range map[string]struct {
		ready    time.Duration // from the request's arrival; 0 is never
		off      bool
		deadline time.Duration
		waited   time.Duration
	}{
		"ready soon":              {ready: 300 * time.Millisecond, deadline: 5 * time.Second, waited: 300 * time.Millisecond},
		"a caller with less time": {ready: 300 * time.Millisecond, deadline: 600 * time.Millisecond, waited: 200 * time.Millisecond},
		"never ready":             {deadline: 5 * time.Second, waited: time.Second},
		"without a deadline":      {waited: time.Second},
		"requests don't wait":     {off: true, deadline: 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ready := make(chan struct{})
				d := relay.Deps{Log: slog.New(slog.DiscardHandler), Ready: ready}
				if c.off {
					d.Ready = nil
				}
				if c.ready > 0 {
					time.AfterFunc(c.ready, func() { close(ready) })
				}
				r, began := relay.New(d), time.Now()
				r.AwaitReady(t.Context(), &relay.Request{Arrived: began, Deadline: c.deadline})
				require.Equal(t, c.waited, time.Since(began))
				if c.ready > c.waited {
					time.Sleep(c.ready)
				}
			})
		})
	}
}
