package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/state/plan"
)

// crashOf returns a VM's report of a crash whose only suspect has begun.
func crashOf(upstream string, segments ...string) quarantine.Crash {
	return quarantine.Crash{Upstream: upstream, Observed: 100, Suspects: []quarantine.Suspect{{Begun: true, Segments: segments}}}
}

// crashPause is between crashes that have no common cause.
const crashPause = 200 * time.Millisecond

// decide returns the keys of the quarantines that a new Detector adds after reports of one VM; the crashes came crashPause apart.
func decide(inForce []plan.Quarantine, l ...quarantine.Crash) []string {
	now := time.Unix(1000, 0)
	d := quarantine.NewDetector()
	for i := range l {
		l[i].Age = time.Duration(len(l)-1-i) * crashPause
	}
	d.Report(now, "vm", l, nil, nil)
	var keys []string
	for _, q := range d.Decide(now, inForce) {
		keys = append(keys, q.Key())
	}
	return keys
}

func TestDecisions(t *testing.T) {
	waiting := func(upstream string, segments ...string) quarantine.Crash {
		c := crashOf(upstream, segments...)
		c.Suspects[0].Begun = false
		return c
	}
	common := func(c quarantine.Crash, segments ...string) quarantine.Crash {
		for _, s := range segments {
			c.Sound = append(c.Sound, quarantine.SegmentCount{Segment: s, Count: c.Observed / 2})
		}
		return c
	}
	unobserved := func(l ...quarantine.Crash) []quarantine.Crash {
		for i := range l {
			l[i].Observed = 0
		}
		return l
	}
	table := []struct {
		name    string
		inForce []string
		crashes []quarantine.Crash
		want    []string
	}{
		{"two crashes are not enough", nil, []quarantine.Crash{crashOf("1", "p"), crashOf("2", "p")}, nil},
		{"the segment in common", nil, []quarantine.Crash{crashOf("1", "p", "a"), crashOf("2", "p", "b"), crashOf("3", "p", "c")}, []string{"p"}},
		{"requests without a header count half", nil, []quarantine.Crash{waiting("1", "p", "a"), waiting("2", "p", "b"), waiting("3", "p", "c")}, nil},
		{"waiting requests are no suspects beside one that has begun", nil, []quarantine.Crash{
			{Upstream: "1", Observed: 100, Suspects: []quarantine.Suspect{{Begun: true, Segments: []string{"p"}}, {Segments: []string{"w"}}}},
			{Upstream: "2", Observed: 100, Suspects: []quarantine.Suspect{{Begun: true, Segments: []string{"p"}}, {Segments: []string{"w"}}}},
			{Upstream: "3", Observed: 100, Suspects: []quarantine.Suspect{{Begun: true, Segments: []string{"p"}}, {Segments: []string{"w"}}}},
		}, []string{"p"}},
		{"segments that always come together form one quarantine", nil,
			[]quarantine.Crash{crashOf("1", "p", "a"), crashOf("2", "p", "a"), crashOf("3", "p", "a")}, []string{"a,p"}},
		{"a further crash narrows it", []string{"a,p"},
			[]quarantine.Crash{crashOf("1", "p", "a"), crashOf("2", "p", "a"), crashOf("3", "p", "a"), crashOf("4", "p", "b")}, []string{"p"}},
		{"explained crashes count for no other segment", []string{"p"},
			[]quarantine.Crash{crashOf("1", "p", "a"), crashOf("2", "p", "a"), crashOf("3", "p", "a"), crashOf("4", "a")}, nil},
		{"two segments", nil, []quarantine.Crash{crashOf("1", "p", "a"), crashOf("2", "p", "b"), crashOf("3", "p", "c"),
			crashOf("4", "q", "a"), crashOf("5", "q", "b"), crashOf("6", "q", "d")}, []string{"p", "q"}},
		{"what one VM knows as common is no suspect of another", nil, []quarantine.Crash{common(crashOf("1", "p"), "f"),
			crashOf("2", "f", "p"), crashOf("3", "f", "p")}, []string{"p"}},
		{"crashes of requests with nothing but common segments", nil, []quarantine.Crash{common(crashOf("1"), "f"),
			crashOf("2", "f"), crashOf("3", "f"), crashOf("4", "f"), crashOf("5", "f")}, nil},
		{"without sound responses one segment is never quarantined", nil,
			unobserved(crashOf("1", "f"), crashOf("2", "f"), crashOf("3", "f"), crashOf("4", "f"), crashOf("5", "f")), nil},
		{"without sound responses the set in common", nil,
			unobserved(crashOf("1", "f", "p"), crashOf("2", "f", "p"), crashOf("3", "f", "p"), crashOf("4", "f", "p"), crashOf("5", "f", "p", "a")), []string{"f,p"}},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			var inForce []plan.Quarantine
			for _, k := range c.inForce {
				inForce = append(inForce, plan.Quarantine{Segments: []string{k[:1], k[len(k)-1:]}})
				if len(k) == 1 {
					inForce[0].Segments = []string{k}
				}
			}
			require.Equal(t, c.want, decide(inForce, c.crashes...))
		})
	}
}

// TestQuarantineEndsAfterTheRetention keeps a quarantine as long as prompts match it.
func TestQuarantineEndsAfterTheRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	d := quarantine.NewDetector()
	q := []plan.Quarantine{{Segments: []string{"p"}}}
	require.Empty(t, d.Expired(now, q))
	for range 5 {
		now = now.Add(quarantine.Retention - time.Second)
		d.Report(now, "vm", nil, []string{"p"}, nil)
		require.Empty(t, d.Expired(now, q))
	}
	now = now.Add(quarantine.Retention + time.Second)
	require.Equal(t, q, d.Expired(now, q))
}

// TestUpstreamThatReturnsUnderItsIDCrashesAgain reports three crashes of one upstream, each by two VMs.
func TestUpstreamThatReturnsUnderItsIDCrashesAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	d := quarantine.NewDetector()
	for i := range 3 {
		require.Empty(t, d.Decide(now, nil), "after %d crashes", i)
		d.Report(now, "a", []quarantine.Crash{crashOf("up", "p", fmt.Sprint(i))}, nil, nil)
		late := crashOf("up", "p", fmt.Sprint(i))
		late.Age = 200 * time.Millisecond
		d.Report(now.Add(300*time.Millisecond), "b", []quarantine.Crash{late}, nil, nil)
		now = now.Add(4 * time.Second)
	}
	require.Equal(t, []plan.Quarantine{{Segments: []string{"p"}}}, d.Decide(now, nil))
}

// TestSoundResponseClearsEarlierCrashes reports a sound response between the second crash and the third.
func TestSoundResponseClearsEarlierCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	d := quarantine.NewDetector()
	d.Report(now, "vm", []quarantine.Crash{crashOf("1", "p"), crashOf("2", "p")}, nil, nil)
	require.Empty(t, d.Decide(now, nil))
	require.Equal(t, []string{"p"}, d.Suspects())
	d.Report(now.Add(time.Second), "other", nil, nil, []quarantine.Clearance{{Segment: "p", Age: time.Millisecond}})
	now = now.Add(2 * time.Second)
	d.Report(now, "vm", []quarantine.Crash{crashOf("3", "p"), crashOf("4", "p")}, nil, nil)
	require.Empty(t, d.Decide(now, nil))
	now = now.Add(crashPause)
	d.Report(now, "vm", []quarantine.Crash{crashOf("5", "p")}, nil, nil)
	require.Len(t, d.Decide(now, nil), 1)
}

// fleetModel replays the load on many VMs without I/O: each upstream that gets a bad prompt ends with up to eight other requests
// in flight, whose segments are sound.
type fleetModel struct {
	r    *rand.Rand
	d    *quarantine.Detector
	now  time.Time
	vms  int
	ends int
}

func newFleetModel(seed uint64, vms int) *fleetModel {
	return &fleetModel{r: rand.New(rand.NewPCG(seed, 7)), d: quarantine.NewDetector(), now: time.Unix(1000, 0), vms: vms}
}

// prompt returns the segments of a sound prompt: one first segment for all, one for each of 20 accounts, one of 1,000 sessions.
func (m *fleetModel) prompt() []string {
	return []string{"first", fmt.Sprint("account-", m.r.IntN(20)), fmt.Sprint("session-", m.r.IntN(1000))}
}

// end reports the end of one upstream: bad is the prompt that ended it, or nil for a fault of the site.
func (m *fleetModel) end(bad []string) {
	m.ends++
	upstream := fmt.Sprint("up-", m.ends)
	byVM := map[int][]quarantine.Suspect{}
	for range m.r.IntN(8) { // of the requests in flight some have no header, and very few have begun just now
		vm := m.r.IntN(m.vms)
		byVM[vm] = append(byVM[vm], quarantine.Suspect{Begun: m.r.IntN(20) == 0, Segments: m.prompt()})
	}
	if bad != nil {
		vm := m.r.IntN(m.vms)
		byVM[vm] = append(byVM[vm], quarantine.Suspect{Begun: m.r.IntN(10) > 0, Segments: bad})
	}
	for vm, l := range byVM {
		c := quarantine.Crash{Upstream: upstream, Suspects: l, Observed: 100}
		for _, x := range l {
			for _, s := range x.Segments {
				switch {
				case s == "first":
					c.Sound = append(c.Sound, quarantine.SegmentCount{Segment: s, Count: c.Observed})
				case strings.HasPrefix(s, "account-"):
					c.Sound = append(c.Sound, quarantine.SegmentCount{Segment: s, Count: c.Observed / 20})
				}
			}
		}
		m.d.Report(m.now, fmt.Sprint("vm-", vm), []quarantine.Crash{c}, nil, nil)
	}
}

// serve lets time pass in which sound responses go on, which clear some of the suspects.
func (m *fleetModel) serve(d time.Duration) {
	m.now = m.now.Add(d)
	var l []quarantine.Clearance
	for _, s := range m.d.Suspects() {
		if !strings.HasPrefix(s, "bad-") && m.r.Float64() < d.Seconds() {
			l = append(l, quarantine.Clearance{Segment: s, Age: time.Duration(m.r.Int64N(int64(d)))})
		}
	}
	m.d.Report(m.now, "vm-0", nil, nil, l)
}

// seeds returns the number of seeds to run: a fifth of them in short mode, in which the race detector slows each down.
func seeds(n uint64) uint64 {
	if testing.Short() {
		return n / 5
	}
	return n
}

// maxBadCrashes is the users' bound on a bad segment: three requests more after five crashes.
const maxBadCrashes = 5 + 3

// TestBadSegmentIsFoundAmongManyVMs replays crashes of two bad segments beside crashes of the site: the bad ones are found within
// the users' bound, and in all seeds no sound one is.
func TestBadSegmentIsFoundAmongManyVMs(t *testing.T) {
	for _, vms := range []int{2, 14, 370} {
		for seed := range seeds(100) {
			m := newFleetModel(seed, vms)
			var inForce []plan.Quarantine
			crashes := map[string]int{}
			held := func(p []string) bool {
				return slices.ContainsFunc(inForce, func(q plan.Quarantine) bool { return q.Matches(p) })
			}
			for range 60 {
				m.serve(time.Duration(1+m.r.IntN(300)) * time.Millisecond)
				bad := fmt.Sprint("bad-", m.r.IntN(2))
				p := append(m.prompt(), bad)
				switch {
				case m.r.IntN(4) == 0:
					m.end(nil)
				case !held(p):
					crashes[bad]++
					m.end(p)
				}
				inForce = append(inForce, m.d.Decide(m.now, inForce)...)
			}
			for bad, n := range crashes {
				require.LessOrEqual(t, n, maxBadCrashes, "seed %d, %d VMs: crashes of %s", seed, vms, bad)
			}
			for range 50 {
				require.False(t, held(m.prompt()), "seed %d, %d VMs: a sound prompt is held back by %v", seed, vms, inForce)
			}
		}
	}
}

// requireNoQuarantine asserts that nothing is quarantined now, nor later while no VM reports anything more.
func requireNoQuarantine(t *testing.T, d *quarantine.Detector, now time.Time, message string, args ...any) {
	require.Empty(t, d.Decide(now, nil), append([]any{message}, args...)...)
	require.Empty(t, d.Decide(now.Add(contactTime), nil), append([]any{message}, args...)...)
}

// contactTime is how long after the crashes a verdict is due.
const contactTime = 3 * time.Second

// TestSiteCrashWaveQuarantinesNothing ends many upstreams at once, again and again, while each has requests in flight.
func TestSiteCrashWaveQuarantinesNothing(t *testing.T) {
	for ends, n := range map[int]uint64{9: 100, 256: 20} {
		for seed := range seeds(n) {
			m := newFleetModel(seed, 14)
			for range 4 {
				m.serve(5 * time.Second)
				for range ends {
					m.end(nil)
				}
				requireNoQuarantine(t, m.d, m.now, "seed %d, %d ends", seed, ends)
			}
		}
	}
}

// TestWaveEarlyInTheDayQuarantinesNothing ends upstreams of a large fleet at once when each VM has seen few sound responses yet. A segment of
// one in nine prompts is common, which only the counts of many VMs together show; no sound response has come since the wave.
func TestWaveEarlyInTheDayQuarantinesNothing(t *testing.T) {
	const (
		ends     = 21
		vms      = 246
		perVM    = 9 // sound responses that a VM has seen on average
		inFlight = 8
	)
	for seed := range seeds(300) {
		r := rand.New(rand.NewPCG(seed, 7))
		prompt := func() []string {
			l := []string{fmt.Sprint("session-", r.IntN(5000))}
			if r.IntN(9) == 0 {
				return append(l, "route")
			}
			return append(l, fmt.Sprint("route-", r.IntN(160)))
		}
		observed, sound := make([]int, vms), make([]map[string]int, vms)
		for vm := range vms {
			observed[vm], sound[vm] = r.IntN(2*perVM), map[string]int{}
			if r.IntN(20) == 0 {
				observed[vm] = 3 * perVM // near many callers
			}
			for range observed[vm] {
				for _, s := range prompt() {
					sound[vm][s]++
				}
			}
		}
		d, now := quarantine.NewDetector(), time.Unix(1000, 0)
		for e := range ends {
			for range inFlight {
				vm := r.IntN(vms)
				x := quarantine.Suspect{Begun: r.IntN(8) == 0, Segments: prompt()}
				c := quarantine.Crash{Upstream: fmt.Sprint("up-", e), Suspects: []quarantine.Suspect{x}, Observed: observed[vm]}
				for s, n := range sound[vm] {
					if n > 1 || slices.Contains(x.Segments, s) { // the suspects' segments and frequent ones
						c.Sound = append(c.Sound, quarantine.SegmentCount{Segment: s, Count: n})
					}
				}
				d.Report(now, fmt.Sprint("vm-", vm), []quarantine.Crash{c}, nil, nil)
			}
			requireNoQuarantine(t, d, now, "seed %d, after %d ends", seed, e+1)
		}
	}
}
