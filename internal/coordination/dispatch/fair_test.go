package dispatch_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/fairness"
	"snipetack/internal/coordination/roster"
)

// fairPool is a pool with fairness of a service with one upstream of four slots.
type fairPool struct {
	*dispatch.Pool
	shares *fairness.Shares
	shed   []string
}

func newFairPool() *fairPool {
	p := &fairPool{shares: fairness.New()}
	p.Pool = dispatch.New(dispatch.Deps{Connected: func(string) bool { return false }, OnPreemption: func(dispatch.Choice) {},
		Fairness: p.shares, OnShed: func(r string) { p.shed = append(p.shed, r) }})
	p.SetUpstreams(time.Now(), []roster.Upstream{{ID: "up", Service: "s", Address: "1", Slots: 4}})
	return p
}

func fairRequest(account string, priority int, left time.Duration) dispatch.Request {
	return dispatch.Request{Service: "s", Account: account, Priority: priority, Size: time.Second, Latest: time.Now().Add(left), MaxWait: time.Hour}
}

// fill takes all slots for an account.
func (p *fairPool) fill(account string, n int) []dispatch.Choice {
	var l []dispatch.Choice
	for range n {
		if c, _, ok := p.Take(time.Now(), fairRequest(account, 0, time.Minute)); ok {
			l = append(l, c)
		}
	}
	return l
}

// served reports whether a queued request has its slot.
func served(c <-chan dispatch.Choice) bool { return len(c) > 0 }

// TestFairOrder guards against an account whose requests are served in the proportion in which it sends them, against a change of the order within an account,
// and against less urgent requests that go before more urgent ones.
func TestFairOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFairPool()
		running := p.fill("loud", 4)
		require.Len(t, running, 4)
		var names []string
		queued := map[string]<-chan dispatch.Choice{}
		add := func(name string, q dispatch.Request) {
			_, c, ok := p.Take(time.Now(), q)
			require.False(t, ok)
			names, queued[name] = append(names, name), c
		}
		add("loud, later", fairRequest("loud", 0, 20*time.Second))
		add("loud, earlier", fairRequest("loud", 0, 10*time.Second))
		add("less urgent", fairRequest("quiet", 1, time.Second))
		_, quiet, ok := p.Take(time.Now(), fairRequest("quiet", 0, 30*time.Second))
		require.False(t, ok)
		require.True(t, served(quiet), "it need not wait for those of the loud account")
		require.Equal(t, 5, (<-quiet).Load, "one beyond the slots")
		var order []string
		for _, c := range running {
			p.End(time.Now(), c)
			for _, n := range names {
				if served(queued[n]) && !slices.Contains(order, n) {
					order = append(order, n)
				}
			}
		}
		require.Equal(t, []string{"loud, earlier", "loud, later", "less urgent"}, order)
	})
}

// TestQuietAccountIsNotRefusedForTheQueueOfALoudOne guards against a forecast that counts the requests of all accounts.
func TestQuietAccountIsNotRefusedForTheQueueOfALoudOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFairPool()
		for _, c := range p.fill("loud", 4) {
			time.Sleep(250 * time.Millisecond)
			p.End(time.Now(), c)
		}
		p.fill("quiet", 1)
		p.fill("loud", 3)
		for range 100 {
			_, c, _ := p.Take(time.Now(), fairRequest("loud", 0, time.Minute))
			require.NotNil(t, c)
		}
		loud, quiet := fairRequest("loud", 0, time.Minute), fairRequest("quiet", 0, time.Minute)
		require.Greater(t, p.ForecastFor(time.Now(), loud), 5*time.Second)
		require.Less(t, p.ForecastFor(time.Now(), quiet), time.Second)
		loud.MaxWait, quiet.MaxWait = 2*time.Second, 2*time.Second
		_, c, _ := p.Take(time.Now(), loud)
		require.Nil(t, c)
		require.Equal(t, []string{dispatch.ShedLate}, p.shed)
		_, c, _ = p.Take(time.Now(), quiet)
		require.NotNil(t, c)
	})
}

// TestFullQueueClosesTheLoudAccount guards against a full queue that refuses the newest request, whoever filled it.
func TestFullQueueClosesTheLoudAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFairPool()
		p.fill("loud", 3)
		p.fill("quiet", 1)
		time.Sleep(200 * time.Millisecond)
		p.fill("quiet", 1) // beyond the slots
		require.Zero(t, p.Waiting())
		var queued []<-chan dispatch.Choice
		for range 2047 {
			_, c, _ := p.Take(time.Now(), fairRequest("loud", 0, time.Minute))
			queued = append(queued, c)
		}
		_, first, _ := p.Take(time.Now(), fairRequest("quiet", 0, time.Hour))
		_, second, _ := p.Take(time.Now(), fairRequest("quiet", 0, time.Hour))
		require.NotNil(t, first)
		require.NotNil(t, second)
		_, ok := <-queued[2046]
		require.False(t, ok, "the loud account's last one is closed")
		_, c, _ := p.Take(time.Now(), fairRequest("loud", 0, time.Hour))
		require.Nil(t, c, "its next one is refused")
		require.Equal(t, []string{dispatch.ShedYielded, dispatch.ShedFull}, p.shed)
	})
}

// TestIdleShareIsUsed guards against slots that stay free while only accounts ask that have got their share.
func TestIdleShareIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFairPool()
		for range 20 {
			l := p.fill("only", 4)
			require.Len(t, l, 4)
			time.Sleep(time.Second)
			for _, c := range l {
				p.End(time.Now(), c)
			}
		}
		require.Len(t, p.fill("only", 5), 4)
		_, c, _ := p.Take(time.Now(), fairRequest("only", 0, time.Minute))
		require.False(t, served(c), "and not more than the slots")
	})
}

// TestSlotGivenBackIsNotCharged guards against an account that pays for requests that did not run.
func TestSlotGivenBackIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFairPool()
		p.SetLimits(time.Now(), map[string]float64{"up": 1})
		c, _, ok := p.Take(time.Now(), fairRequest("a", 0, time.Minute))
		require.True(t, ok)
		require.NotEmpty(t, p.shares.Own(time.Now()))
		p.Limited(time.Now(), c, time.Second)
		require.Empty(t, p.shares.Own(time.Now()))
	})
}
