package vm_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/group"
	"snipetack/internal/state/result"
	"snipetack/internal/testing/fleet"
	"snipetack/internal/testing/quotafleet"
)

// admissions records when the VMs of a fleet admit requests; it is safe for concurrent use.
type admissions struct {
	mu      sync.Mutex
	start   time.Time
	times   []time.Duration
	refused map[result.Code]int
}

// admitRepeatedly calls Admit at one VM at fixed intervals until ctx ends, without waiting for earlier calls.
func (a *admissions) admitRepeatedly(ctx context.Context, l *quota.Limiter, c catalog.Account, every time.Duration) {
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		w.Go(func() { a.record(l.Admit(ctx, c)) })
		time.Sleep(every)
	}
}

func (a *admissions) record(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.times = append(a.times, time.Since(a.start))
		return
	}
	a.refused[result.Of(err).Code]++
}

// TestInvariantRateAndBurstFleetWide checks that all VMs together admit no more than an account's rate and burst allow
// in any window, through the loss of a quota owner and of a VM, a cut link to the owner and a lowered rate.
func TestInvariantRateAndBurstFleetWide(t *testing.T) {
	for n, c := range map[string]catalog.Account{
		"counted as spent at once": {Name: "drivers", Rate: 20, Burst: 20, Weight: 1},
		"ledgered":                 {Name: "drivers", Rate: 20, Burst: 1, Weight: 1},
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New(t, fleet.Shape{Seed: 5, Keepers: 3, Entries: 3, Engines: 1})
				defer f.Close()
				f.Onboard("entry-1", c)
				a := &admissions{start: time.Now(), refused: map[result.Code]int{}}
				ctx, cancel := context.WithCancel(t.Context())
				var w sync.WaitGroup
				for _, v := range []string{"entry-1", "entry-2", "entry-3"} {
					l := f.VM(v).Limiter()
					w.Go(func() { a.admitRepeatedly(ctx, l, c, 30*time.Millisecond) })
				}
				time.Sleep(5 * time.Second)
				k := leaderOf(f)
				f.Kill(k)
				time.Sleep(5 * time.Second)
				f.Start(k)
				f.Net.Cut(f.IP("entry-2"), f.IP(leaderOf(f)))
				f.Kill("entry-3")
				f.Start("entry-3")
				l := f.VM("entry-3").Limiter()
				w.Go(func() { a.admitRepeatedly(ctx, l, c, 30*time.Millisecond) })
				time.Sleep(5 * time.Second)
				slower := c
				slower.Rate /= 2
				f.Change("entry-1", catalog.Op{Account: &slower})
				settled := time.Since(a.start) + time.Second // until the owner has the rate and older tokens expired
				time.Sleep(5 * time.Second)
				cancel()
				w.Wait()
				slices.Sort(a.times)
				require.NoError(t, quotafleet.CheckWindows(a.times, quota.Limit{Rate: c.Rate, Burst: float64(c.Burst)}))
				i, _ := slices.BinarySearch(a.times, settled)
				require.NoError(t, quotafleet.CheckWindows(a.times[i:], quota.Limit{Rate: slower.Rate, Burst: float64(c.Burst)}))
				require.Greater(t, i, 150, "15 s at 20 a second, less the elections; refused %v", a.refused)
				require.Greater(t, len(a.times)-i, 20, "4 s at 10 a second")
				require.Positive(t, a.refused[result.RateExceeded])
			})
		})
	}
}

func TestRefusalAboveTheRateSaysWhenToRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 5, Keepers: 1, Entries: 1, Engines: 1})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 0.1, Burst: 1, Weight: 1})
		time.Sleep(20 * time.Second)
		var codes []int
		for range 2 {
			r, err := f.Client().Do(f.Chat(t.Context(), "entry-1", k[0], "a route please", 5, false))
			require.NoError(t, err)
			var b struct {
				Error struct {
					Ran string `json:"ran"`
				} `json:"error"`
			}
			require.NoError(t, json.NewDecoder(r.Body).Decode(&b))
			require.NoError(t, r.Body.Close())
			if codes = append(codes, r.StatusCode); r.StatusCode == http.StatusTooManyRequests {
				require.NotEmpty(t, r.Header.Get("Retry-After"))
				require.Equal(t, string(result.NotRun), b.Error.Ran)
			}
		}
		require.Equal(t, []int{http.StatusOK, http.StatusTooManyRequests}, codes)
	})
}

// leaderOf returns the running keeper that leads the control group.
func leaderOf(f *fleet.Fleet) string {
	name := ""
	f.Await(time.Minute, "a leader", func() bool {
		for _, v := range f.Settings.VMs {
			if !v.Keeper() {
				continue
			}
			if _, _, ok := f.VM(v.Name).Replica().Lease(group.Control); ok {
				name = v.Name
				return true
			}
		}
		return false
	})
	return name
}

// TestInvariantBatchShareFleetWide checks the batch rate and burst of an account whose job runs on engines with
// different lease holders.
func TestInvariantBatchShareFleetWide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 6, Keepers: 3, Entries: 2, Engines: 3})
		defer f.Close()
		c := catalog.Account{Name: "statements", Rate: 10, Burst: 10, BatchRate: 5, BatchBurst: 5, Weight: 1}
		k := sdk(f, "entry-1", f.Onboard("entry-1", c)[0])
		var lines []string
		for i := range 60 {
			lines = append(lines, line(fmt.Sprint(i), fmt.Sprint("farm ", i), 4))
		}
		start := time.Now()
		id := submit(t, k, lines)
		f.Await(time.Minute, "job completed", func() bool {
			b, err := k.Batches.Get(t.Context(), id)
			return err == nil && b.RequestCounts.Completed == int64(len(lines))
		})
		var at []time.Duration
		for _, e := range f.Engines {
			for _, a := range e.Arrivals() {
				at = append(at, a.At.Sub(start))
			}
		}
		slices.Sort(at)
		require.GreaterOrEqual(t, len(at), len(lines))
		// Between the admission of an item and its arrival at the engine are a dial and the request's one-way transit.
		const transit = 20 * time.Millisecond
		limit := quota.Limit{Rate: c.BatchRate, Burst: float64(c.BatchBurst) + c.BatchRate*transit.Seconds()}
		require.NoError(t, quotafleet.CheckWindows(at, limit))
	})
}
