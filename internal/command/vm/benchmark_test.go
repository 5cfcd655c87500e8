package vm_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
	"snipetack/internal/testing/sample"
)

// requestsInFlight is the number of callers that send concurrently.
const requestsInFlight = 8

// BenchmarkOnlineRequest reports the processor time of a request of one token. It includes the caller and the stand-in
// engine, which run in the same process; sub-benchmark direct measures these without an entry VM between them.
func BenchmarkOnlineRequest(b *testing.B) {
	for _, s := range []struct{ accounts, upstreams int }{{8, 14}, {400, 67}, {900, 150}, {1800, 300}, {3600, 600}} {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", s.accounts, s.upstreams), func(b *testing.B) {
			f := newBenchFleet(b)
			k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 1e9, Burst: 1e9, Weight: 1})
			load(f, s.accounts, s.upstreams)
			run(b, f, func() *http.Request { return f.Chat(b.Context(), "entry-1", k[0], "a route please", 1, false) })
		})
	}
	b.Run("direct", func(b *testing.B) {
		f := newBenchFleet(b)
		run(b, f, func() *http.Request {
			return direct(f, f.Chat(b.Context(), "entry-1", "none", "a route please", 1, false))
		})
	})
}

// BenchmarkStreamedAnswer reports the processor time of a streamed response, through an entry VM and sent directly to
// the engine.
func BenchmarkStreamedAnswer(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d/through", n), func(b *testing.B) {
			f := newBenchFleet(b)
			k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 1e9, Burst: 1e9, Weight: 1})
			run(b, f, func() *http.Request { return f.Chat(b.Context(), "entry-1", k[0], "a route please", n, true) })
		})
		b.Run(fmt.Sprintf("tokens=%d/direct", n), func(b *testing.B) {
			f := newBenchFleet(b)
			run(b, f, func() *http.Request {
				return direct(f, f.Chat(b.Context(), "entry-1", "none", "a route please", n, true))
			})
		})
	}
}

// direct redirects a request to the first engine.
func direct(f *fleet.Fleet, q *http.Request) *http.Request {
	q.URL.Host = f.EngineIP(0) + ":8500"
	return q
}

func newBenchFleet(b *testing.B) *fleet.Fleet {
	e := engine.DefaultSettings()
	e.StepBase, e.StepPerSlot, e.PrefillToken = time.Microsecond, time.Nanosecond, time.Nanosecond
	f := fleet.New(b, fleet.Shape{Seed: 1, Keepers: 1, Entries: 1, Engines: 2, Engine: e})
	b.Cleanup(f.Close)
	return f
}

// load adds accounts, keys and upstreams to the configuration that the requests don't use.
func load(f *fleet.Fleet, accounts, upstreams int) {
	o := f.Change("entry-1", sample.Ops(accounts, upstreams)...)
	f.Await(time.Minute, "sample in force", func() bool {
		return f.VM("entry-1").Copy().Current().Revision >= o.Revision
	})
}

func run(b *testing.B, f *fleet.Fleet, request func() *http.Request) {
	c := f.Client()
	send := func() {
		r, err := c.Do(request())
		require.NoError(b, err)
		t, err := io.ReadAll(r.Body)
		require.NoError(b, err)
		require.NoError(b, r.Body.Close())
		require.Equal(b, http.StatusOK, r.StatusCode, strings.TrimSpace(string(t)))
	}
	send()
	before := processorTime()
	for b.Loop() {
		var w sync.WaitGroup
		for range requestsInFlight {
			w.Go(send)
		}
		w.Wait()
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N*requestsInFlight)/1000, "cpu-us/request")
}

// processorTime returns the user and system time of this process in nanoseconds.
func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}
