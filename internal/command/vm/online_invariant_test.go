package vm_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/testing/fleet"
)

// leaveLimit is the stated limit after which a leaving upstream must get no new requests.
const leaveLimit = 5 * time.Second

func allFaults() []onlineFault {
	return slices.Concat(totalFaults(), upstreamFaults(), plainFaults(), vmFaults())
}

// TestInvariantWholeAnswer checks that each response which looks complete is complete and belongs to its request, and
// that every engine request gets a complete response when only some upstreams fail.
func TestInvariantWholeAnswer(t *testing.T) {
	checkComplete := func(o *onlineRun) {
		n := 0
		for _, x := range o.exchanges {
			switch {
			case x.kind == "whole" || x.kind == "stream":
				want := engine.Answer("user "+x.marker+"\n", x.tokens)
				require.True(o.t, strings.HasPrefix(want, x.text), "seed %d: %s: got %q of %q", o.seed, x, x.text, want)
				if x.ended {
					require.Equal(o.t, want, x.text, "seed %d: %s", o.seed, x)
					n++
				}
			case x.status == http.StatusOK && x.err == nil:
				var a struct {
					Bytes int    `json:"bytes"`
					Path  string `json:"path"`
				}
				require.NoError(o.t, json.Unmarshal([]byte(x.body), &a), "seed %d: %s", o.seed, x)
				require.Equal(o.t, len(x.marker), a.Bytes, "seed %d: %s", o.seed, x)
			}
		}
		require.Greater(o.t, n, 5, "seed %d: too few complete responses for a valid check", o.seed)
	}
	t.Run("of upstreams", func(t *testing.T) {
		runOnline(t, upstreamFaults(), func(o *onlineRun) {
			checkComplete(o)
			for _, x := range o.exchanges {
				if x.kind == "whole" || x.kind == "stream" {
					require.True(o.t, x.ended, "seed %d: %s", o.seed, x)
				}
			}
		})
	})
	t.Run("of anything", func(t *testing.T) { runOnline(t, allFaults(), checkComplete) })
}

// TestInvariantNotRunIsTrue checks that a request whose error says "ran":"not_run" has reached no upstream. Requests
// that were repeated are left out, as another attempt may have run.
func TestInvariantNotRunIsTrue(t *testing.T) {
	runOnline(t, allFaults(), func(o *onlineRun) {
		sends := map[string]int{}
		for _, x := range o.exchanges {
			sends[x.marker]++
		}
		refused := 0
		for _, x := range o.exchanges {
			if x.ran != "" {
				refused++
			}
			if x.ran == string(result.NotRun) && sends[x.marker] == 1 {
				require.Zero(o.t, o.arrivalsOf(x.marker), "seed %d: %s", o.seed, x)
			}
		}
		o.t.Logf("seed %d: %d of %d requests refused or failed", o.seed, refused, len(o.exchanges))
	})
}

// TestInvariantNonIdempotentAtMostOnce checks that a call which may not be repeated reaches an upstream at most once,
// even if the caller repeats it with a key, that all its successful responses are the same, and that a successful call
// did run.
func TestInvariantNonIdempotentAtMostOnce(t *testing.T) {
	runOnline(t, slices.Concat(totalFaults()[:2], plainFaults(), vmFaults()), func(o *onlineRun) {
		first := map[string]string{}
		for _, x := range o.exchanges {
			if x.kind != "dispatch" && x.kind != "keyed" {
				continue
			}
			if x.status == http.StatusOK && x.err == nil && first[x.marker] == "" {
				first[x.marker] = x.body
			}
			if x.status == http.StatusOK && x.err == nil {
				require.Equal(o.t, first[x.marker], x.body, "seed %d: %s", o.seed, x)
			}
			n := o.arrivalsOf(x.marker)
			require.LessOrEqual(o.t, n, 1, "seed %d: %s", o.seed, x)
			if x.status == http.StatusOK && x.err == nil {
				require.Equal(o.t, 1, n, "seed %d: %s", o.seed, x)
			}
			if x.code == int(result.OutcomeUnknown) {
				require.NotEqual(o.t, string(result.NotRun), x.ran, "seed %d: %s", o.seed, x)
			}
		}
	})
}

// TestInvariantNoKeyReachesUpstream checks that no key reaches an upstream, a metric or the log.
func TestInvariantNoKeyReachesUpstream(t *testing.T) {
	runOnline(t, allFaults(), func(o *onlineRun) {
		var seen strings.Builder
		for _, e := range o.f.Engines {
			for _, a := range e.Arrivals() {
				b, _ := json.Marshal(a)
				seen.Write(b)
			}
		}
		for _, p := range o.f.Plains {
			for _, c := range p.Calls() {
				b, _ := json.Marshal(c)
				seen.Write(b)
			}
		}
		require.Greater(o.t, seen.Len(), 1000)
		v, _ := o.f.Settings.VM("entry-3")
		m, err := o.f.Client().Get("http://" + v.Operators + "/metrics")
		require.NoError(o.t, err)
		defer m.Body.Close()
		metrics, err := io.ReadAll(m.Body)
		require.NoError(o.t, err)
		require.Contains(o.t, string(metrics), "requests_total")
		for _, k := range o.keys {
			require.NotContains(o.t, seen.String(), k, "seed %d: an upstream saw a key", o.seed)
			require.NotContains(o.t, string(metrics), k, "seed %d: a metric holds a key", o.seed)
			require.NotContains(o.t, o.log.String(), k, "seed %d: a log line holds a key", o.seed)
		}
	})
}

// TestInvariantRunsOnlyForItsAccount checks that each call reaches its service with the account of its key in
// X-Client-Account, whatever the caller put there.
func TestInvariantRunsOnlyForItsAccount(t *testing.T) {
	runOnline(t, allFaults(), func(o *onlineRun) {
		account := map[string]string{}
		for _, x := range o.exchanges {
			account[x.marker] = []string{"drivers", "fitters"}[x.account]
			if x.kind == "open" {
				account[x.marker] = ""
			}
		}
		for _, p := range o.f.Plains {
			for _, c := range p.Calls() {
				a, ok := account[c.Body]
				require.True(o.t, ok, "seed %d: nobody sent %q", o.seed, c.Body)
				require.Equal(o.t, a, c.Header.Get("X-Client-Account"), "seed %d: %q", o.seed, c.Body)
			}
		}
	})
}

// TestInvariantLeavingUpstreamGetsNoNewWork checks that no new request arrives at an upstream from leaveLimit (5 s)
// after it began to leave. Resumed streams are allowed.
func TestInvariantLeavingUpstreamGetsNoNewWork(t *testing.T) {
	var l []onlineFault
	for _, f := range slices.Concat(upstreamFaults(), plainFaults()) {
		if strings.HasPrefix(f.name, "leaving") {
			l = append(l, f)
		}
	}
	runOnline(t, l, func(o *onlineRun) {
		for i := range o.f.Engines {
			for _, a := range o.f.Engines[i].Arrivals() {
				o.requireNoNewWork(o.f.Upstream(i).Name, a.At, a.Resumed)
			}
		}
		for i := range o.f.Plains {
			for _, c := range o.f.Plains[i].Calls() {
				o.requireNoNewWork(o.f.Plain(i).Name, c.At, false)
			}
		}
	})
}

// requireNoNewWork fails if a request that arrived at a time is new and the upstream had been leaving for leaveLimit
// then.
func (o *onlineRun) requireNoNewWork(upstream string, at time.Time, resumed bool) {
	s, ok := o.leavings[upstream]
	if !ok || resumed || at.Before(s[0].Add(leaveLimit)) || !s[1].IsZero() && at.After(s[1]) {
		return
	}
	require.Failf(o.t, "new work", "seed %d: %s got a request %s after it began to leave", o.seed, upstream, at.Sub(s[0]))
}

// TestInvariantGracefulShutdownCutsNothing checks that a planned stop of a VM fails no request, also while upstreams
// fail.
func TestInvariantGracefulShutdownCutsNothing(t *testing.T) {
	l := []onlineFault{{"stopped_vm", stopVM}}
	for _, f := range upstreamFaults() {
		l = append(l, onlineFault{f.name + "_and_stopped_vm", func(o *onlineRun) func() {
			heal := f.apply(o)
			stopVM(o)
			return heal
		}})
	}
	runOnline(t, l, func(o *onlineRun) {
		require.NoError(o.t, o.stopErr, "seed %d", o.seed)
		for _, x := range o.exchanges {
			require.NoError(o.t, x.err, "seed %d: %s", o.seed, x)
			if x.kind == "whole" || x.kind == "stream" {
				require.True(o.t, x.ended, "seed %d: %s", o.seed, x)
			}
		}
	})
}

// TestInvariantSilentConnectionRecovers checks that requests are delayed by no more than the progress timeouts when
// connections stay open but carry no more bytes, and that new requests are served meanwhile.
func TestInvariantSilentConnectionRecovers(t *testing.T) {
	var l []onlineFault
	for _, f := range upstreamFaults() {
		if strings.HasPrefix(f.name, "silent_connections") || f.name == "silent_streams" {
			l = append(l, f)
		}
	}
	// The progress timeout of engines is 5 s on each of two hops; the other 5 s are for the work itself.
	const limit = 2*5*time.Second + 5*time.Second
	runOnline(t, l, func(o *onlineRun) {
		for _, x := range o.exchanges {
			if x.kind == "whole" || x.kind == "stream" || x.kind == "status" {
				require.Equal(o.t, http.StatusOK, x.status, "seed %d: %s", o.seed, x)
				require.Less(o.t, x.took, limit, "seed %d: %s", o.seed, x)
			}
		}
	})
}

// TestInvariantWithdrawnKeyStopsOpenStreams checks that a stream which is open when its key is withdrawn ends on each
// VM within 5 s, with the result code KeyWithdrawn, and that the engine stops the work.
func TestInvariantWithdrawnKeyStopsOpenStreams(t *testing.T) {
	const limit = 5 * time.Second
	runOnline(t, slices.Concat(upstreamFaults(), vmFaults()[:1]), func(o *onlineRun) {
		var gone time.Time
		var all sync.WaitGroup
		streams := make([]*exchange, 6)
		for i := range streams {
			all.Go(func() {
				x := exchange{kind: "stream", marker: fmt.Sprint("long-", i), account: 0, tokens: 1500}
				streams[i] = o.send(o.f.Client(), rand.New(rand.NewPCG(o.seed, uint64(i))), x)
			})
		}
		time.Sleep(2 * time.Second)
		k := o.f.VM("entry-3").Copy().Current().Keys[keyIDOf(o.keys[0])]
		k.Withdrawn = true
		o.f.Change("keeper-1", catalog.Op{Key: &k})
		gone = time.Now()
		all.Wait()
		for _, x := range streams {
			require.False(o.t, x.ended, "seed %d: %s", o.seed, x)
			require.Equal(o.t, int(result.KeyWithdrawn), x.code, "seed %d: %s", o.seed, x)
			require.Less(o.t, x.sent.Add(x.took).Sub(gone), limit, "seed %d: %s", o.seed, x)
		}
		x := o.send(o.f.Client(), rand.New(rand.NewPCG(o.seed, 99)), exchange{kind: "whole", marker: "late", tokens: 3})
		require.Equal(o.t, int(result.KeyWithdrawn), x.code, "seed %d: %s", o.seed, x)
		time.Sleep(limit)
		for i, e := range o.f.Engines {
			if o.faulted[fmt.Sprint("engine", i)] {
				continue // the fault may have kept the cancel from it
			}
			require.Zero(o.t, e.Load().Running, "seed %d: engine %d still runs a sequence", o.seed, i)
		}
	})
}

func keyIDOf(bearer string) string {
	return strings.Split(bearer, "-")[1]
}

// TestForcedStopLogsRequestsCutOff checks that Force, which a second signal calls, ends a stop immediately and logs
// each request that it cuts off.
func TestForcedStopLogsRequestsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &lockedBuffer{}
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 1, Engines: 1, Log: b})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1})
		var caller sync.WaitGroup
		caller.Go(func() {
			r, err := f.Client().Do(f.Chat(context.Background(), "entry-1", k[0], "long", 5000, true))
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, r.Body)
			require.Error(t, err)
			r.Body.Close()
		})
		time.Sleep(time.Second)
		v := f.VM("entry-1")
		time.AfterFunc(10*time.Second, v.Force)
		start := time.Now()
		require.Error(t, f.Stop("entry-1"))
		require.Less(t, time.Since(start), 11*time.Second)
		caller.Wait()
		require.Contains(t, b.String(), "request cut off")
		require.Contains(t, b.String(), "account=drivers")
		require.Contains(t, b.String(), "requests_cut_off=1")
	})
}

// TestInvariantWithdrawnKeyStopsAtAnIsolatedVM withdraws the key of a stream whose VM is isolated and can't receive the
// update. Its copy of the configuration is no longer fresh, so the stream must still end within 5 s, and not look
// complete.
func TestInvariantWithdrawnKeyStopsAtAnIsolatedVM(t *testing.T) {
	const limit = 5 * time.Second
	for seed := range uint64(onlineSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 11))
				f := fleet.New(t, fleet.Shape{Seed: seed, Keepers: 3, Entries: 1, Engines: 1})
				defer f.Close()
				k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1})[0]
				c := f.Client()
				defer c.CloseIdleConnections()
				a, err := c.Do(f.Chat(t.Context(), "entry-1", k, "long", 10_000, true))
				require.NoError(t, err)
				defer a.Body.Close()
				time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
				f.Net.Isolate(f.IP("entry-1"), f.IPs(), true)
				time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
				f.Change("keeper-1", catalog.Op{Withdraw: keyIDOf(k)})
				gone := time.Now()
				b, _ := io.ReadAll(a.Body)
				require.LessOrEqual(t, time.Since(gone), limit, "seed %d", seed)
				require.NotContains(t, string(b), "[DONE]", "seed %d", seed)
				require.Contains(t, string(b), `"result_code":7001`, "seed %d", seed)
			})
		})
	}
}
