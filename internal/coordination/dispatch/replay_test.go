package dispatch_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/roster"
)

// replayed returns a digest of all decisions of a pool on a fixed sequence of arrivals, ends, failures and reports.
func replayed(seed uint64, p *dispatch.Pool, label func(*dispatch.Request, int)) uint64 {
	r := rand.New(rand.NewPCG(seed, 1))
	h := fnv.New64a()
	type queued struct {
		n    int
		slot <-chan dispatch.Choice
	}
	var waiting []queued
	var running []dispatch.Choice
	var list []roster.Upstream
	for i := range 6 {
		list = append(list, roster.Upstream{ID: fmt.Sprint("up-", i), Service: "s", Address: fmt.Sprint(i), Zone: string(rune('a' + i%2)), Slots: 3, Version: "v"})
	}
	p.SetUpstreams(time.Now(), list)
	for n := range 4000 {
		time.Sleep(time.Duration(r.IntN(20_000_000))) // in nanoseconds, so that no timer of the pool ends at the same moment
		now := time.Now()
		switch x := r.IntN(100); {
		case x < 52:
			left := time.Duration(50+r.IntN(3000)) * time.Millisecond
			q := dispatch.Request{Service: "s", Priority: r.IntN(3), Latest: now.Add(left), MaxWait: left, Session: []string{"", "x", "y"}[r.IntN(3)]}
			if r.IntN(10) == 0 {
				q.Exclude = []string{"up-1"}
			}
			label(&q, r.IntN(9))
			c, slot, ok := p.Take(now, q)
			_, _ = fmt.Fprintln(h, n, "take", ok, slot != nil, c.ID, c.Load)
			if ok {
				running = append(running, c)
			} else if slot != nil {
				waiting = append(waiting, queued{n, slot})
			}
		case x < 90 && len(running) > 0:
			i := r.IntN(len(running))
			p.End(now, running[i])
			running = append(running[:i], running[i+1:]...)
		case x < 93 && len(waiting) > 0:
			i := r.IntN(len(waiting))
			p.Leave(now, "s", waiting[i].slot)
			waiting = append(waiting[:i], waiting[i+1:]...)
		case x < 95:
			p.RecordUnreachable(now, fmt.Sprint("up-", r.IntN(6)))
		case x < 97:
			p.Responded(now, fmt.Sprint("up-", r.IntN(6)))
		default:
			p.SetLoads(now, map[string]dispatch.Load{fmt.Sprint("up-", r.IntN(6)): {Online: r.IntN(4), Batch: r.IntN(2)}})
		}
		synctest.Wait()
		var still []queued
		for _, w := range waiting {
			select {
			case c, ok := <-w.slot:
				_, _ = fmt.Fprintln(h, w.n, "slot", ok, c.ID, c.Load)
				if ok {
					running = append(running, c)
				}
			default:
				still = append(still, w)
			}
		}
		waiting = still
		_, _ = fmt.Fprintln(h, n, p.Waiting(), p.Forecast(now, "s"))
	}
	for _, w := range waiting {
		p.Leave(time.Now(), "s", w.slot)
	}
	time.Sleep(2 * time.Second) // for the timers of the pool
	return h.Sum64()
}

// TestWithoutFairnessAllIsAsBefore guards against a change of the decisions of deployments that have contention handling off, whatever their requests name. The
// digests are those of the commit before the handling was added.
func TestWithoutFairnessAllIsAsBefore(t *testing.T) {
	labels := map[string]func(*dispatch.Request, int){
		"no accounts": func(*dispatch.Request, int) {},
		"accounts": func(q *dispatch.Request, n int) {
			q.Account, q.Size = fmt.Sprint("account-", n), time.Duration(n)*time.Second
		},
	}
	for seed, want := range []uint64{0xa94f969bef096e65, 0x96383b9831d4ae5c, 0x6cdb1af229cfebf9} {
		for name, label := range labels {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					deps := dispatch.Deps{Zone: "a", Connected: func(a string) bool { return a == "2" }, OnPreemption: func(dispatch.Choice) {}}
					require.Equal(t, want, replayed(uint64(seed), dispatch.New(deps), label))
				})
			})
		}
	}
}
