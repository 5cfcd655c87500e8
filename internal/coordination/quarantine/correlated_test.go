package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/state/plan"
)

// Timing of the model of correlated crashes.
const (
	decideInterval = 40 * time.Millisecond
	eventPause     = 250 * time.Millisecond // usual one between the events of a sound response
	headToBreak    = 3 * time.Millisecond   // from the head of a response until the upstream that it crashes is gone
	returnTime     = 3 * time.Second        // of an upstream that crashed
)

// trackedFleet is a fleet of VMs with the Trackers and the Detector of the product, and upstreams that run prompts with one new segment.
type trackedFleet struct {
	r         *rand.Rand
	interval  time.Duration // between the reports of a VM
	vms       []*quarantine.Tracker
	reported  []uint64
	lists     []*quarantine.List
	d         *quarantine.Detector
	inForce   []plan.Quarantine
	upstreams int

	mu        sync.Mutex
	runs      map[int]map[*quarantine.Run]bool // in flight, by upstream
	downUntil map[int]time.Time
	crashes   []time.Time
	sent      []time.Time // prompts with the segment that reached an upstream, by time
}

func newTrackedFleet(seed uint64, vms, upstreams int, interval time.Duration) *trackedFleet {
	f := &trackedFleet{r: rand.New(rand.NewPCG(seed, 11)), interval: interval, upstreams: upstreams, d: quarantine.NewDetector(),
		runs: map[int]map[*quarantine.Run]bool{}, downUntil: map[int]time.Time{}, reported: make([]uint64, vms)}
	for range vms {
		f.vms = append(f.vms, quarantine.NewTracker(func(string, []quarantine.Suspect) {}))
		f.lists = append(f.lists, quarantine.NewList())
	}
	for u := range upstreams {
		f.runs[u] = map[*quarantine.Run]bool{}
	}
	for vm := range vms { // they know which segments are common
		for i := range 30 {
			x := f.vms[vm].Start("up-0", quarantine.Subject{Segments: []string{"first", fmt.Sprint("old-", i)}})
			x.Complete()
			x.End(false)
		}
	}
	return f
}

// play runs the reports of all VMs and the decisions of the leading control VM for a time.
func (f *trackedFleet) play(d time.Duration) {
	end := time.Now().Add(d)
	due := make([]time.Time, len(f.vms))
	for i := range due {
		due[i] = time.Now().Add(time.Duration(i) * f.interval / time.Duration(len(f.vms)))
	}
	for revision := uint64(1); time.Now().Before(end); time.Sleep(decideInterval) {
		now := time.Now()
		for i, t := range f.vms {
			l, last := t.Reports(f.reported[i])
			if len(l) == 0 && now.Before(due[i]) { // crashes are reported at once
				continue
			}
			f.d.Report(now, fmt.Sprint("vm-", i), l, nil, t.Clearances())
			f.d.Await(now, fmt.Sprint("vm-", i), t.Awaited())
			f.reported[i], due[i] = last, now.Add(f.interval)
			t.Suspect(f.d.Suspects())
			f.lists[i].Adopt(revision, f.inForce)
		}
		if l := f.d.Decide(now, f.inForce); len(l) > 0 {
			revision++
			f.inForce = append(f.inForce, l...)
		}
	}
}

// begin starts a response to a prompt with the segment at an upstream; a sound one goes on after a pause.
func (f *trackedFleet) begin(upstream, number int, crashes bool, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm := f.r.IntN(len(f.vms))
	s := quarantine.Subject{Segments: []string{"new", fmt.Sprint("own-", number)}}
	if f.lists[vm].Blocks(s) || time.Now().Before(f.downUntil[upstream]) {
		return
	}
	f.sent = append(f.sent, time.Now())
	x := f.vms[vm].Start(fmt.Sprint("up-", upstream), s)
	f.runs[upstream][x] = true
	x.Begun()
	if crashes {
		time.AfterFunc(headToBreak, func() { f.crash(upstream) })
		return
	}
	x.Events(1)
	time.AfterFunc(pause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.runs[upstream][x] {
			x.Events(1)
			delete(f.runs[upstream], x)
			x.End(false)
		}
	})
}

func (f *trackedFleet) crash(upstream int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Now().Before(f.downUntil[upstream]) {
		return
	}
	f.downUntil[upstream] = time.Now().Add(returnTime)
	f.crashes = append(f.crashes, time.Now())
	for x := range f.runs[upstream] {
		delete(f.runs[upstream], x)
		x.End(true)
	}
}

// TestCrashesOfOneCauseQuarantineNoNewSegment ends some upstreams shortly after each of them has begun prompts that share a segment which
// no sound response has had yet: at one moment or one shortly after the other, seen by one VM or by many. The others run on.
func TestCrashesOfOneCauseQuarantineNoNewSegment(t *testing.T) {
	table := []struct {
		vms, upstreams, crashes int
		gap                     time.Duration // between crashes
		interval                time.Duration // between reports
		pause                   time.Duration // between the events of a response
	}{
		{1, 20, 3, 0, 200 * time.Millisecond, eventPause},
		{1, 20, 3, 20 * time.Millisecond, 200 * time.Millisecond, eventPause},
		{1, 20, 3, 60 * time.Millisecond, 200 * time.Millisecond, eventPause},
		{1, 20, 3, 150 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond},
		{6, 20, 3, 0, 200 * time.Millisecond, eventPause},
		{6, 20, 3, 60 * time.Millisecond, 200 * time.Millisecond, eventPause},
		{6, 20, 10, 0, 200 * time.Millisecond, eventPause},
		{6, 20, 19, 0, 200 * time.Millisecond, eventPause},
		{270, 20, 3, 0, 450 * time.Millisecond, eventPause},
		{270, 120, 18, 0, 450 * time.Millisecond, eventPause},
		{270, 120, 18, 5 * time.Millisecond, 450 * time.Millisecond, eventPause},
		{270, 120, 10, 50 * time.Millisecond, 450 * time.Millisecond, eventPause},
	}
	for _, c := range table {
		t.Run(fmt.Sprintf("%d VMs, %d of %d upstreams, %v apart", c.vms, c.crashes, c.upstreams, c.gap), func(t *testing.T) {
			for seed := range seeds(10) {
				synctest.Test(t, func(t *testing.T) {
					f := newTrackedFleet(seed, c.vms, c.upstreams, c.interval)
					defer time.Sleep(returnTime) // until all timers have run
					go func() {
						time.Sleep(time.Second)
						for i := range 4 * c.upstreams {
							f.begin(i%c.upstreams, i, false, c.pause)
						}
						time.Sleep(100 * time.Millisecond)
						for u := range c.crashes {
							f.crash(u)
							time.Sleep(c.gap)
						}
					}()
					f.play(5 * time.Second)
					f.mu.Lock()
					defer f.mu.Unlock()
					require.Len(t, f.crashes, c.crashes)
					require.Empty(t, f.inForce, "seed %d", seed)
				})
			}
		})
	}
}

// TestSegmentThatCrashesManyUpstreamsAtOnceIsQuarantined sends prompts with a segment that crashes each upstream, many at one moment, while
// a fault of the site ends others. At most three of them are sent later than the contact time after the fifth crash.
func TestSegmentThatCrashesManyUpstreamsAtOnceIsQuarantined(t *testing.T) {
	table := []struct {
		vms, upstreams int
		burst          int // prompts at one moment, once a second
		pause          time.Duration
		site           int // upstreams that the site ends at the moment of the first burst
		interval       time.Duration
	}{
		{6, 9, 3, 100 * time.Millisecond, 0, 200 * time.Millisecond},
		{6, 9, 9, 50 * time.Millisecond, 0, 200 * time.Millisecond},
		{6, 9, 4, 50 * time.Millisecond, 4, 200 * time.Millisecond},
		{6, 20, 20, 10 * time.Millisecond, 0, 200 * time.Millisecond},
		{270, 120, 40, 10 * time.Millisecond, 20, 450 * time.Millisecond},
	}
	for _, c := range table {
		t.Run(fmt.Sprintf("%d VMs, %d upstreams, %d at once, %d by the site", c.vms, c.upstreams, c.burst, c.site), func(t *testing.T) {
			worst := 0
			for seed := range seeds(10) {
				synctest.Test(t, func(t *testing.T) {
					f := newTrackedFleet(seed, c.vms, c.upstreams, c.interval)
					defer time.Sleep(returnTime) // until all timers have run
					go func() {
						time.Sleep(time.Second)
						began, u := time.Now(), rand.New(rand.NewPCG(seed, 13))
						for i := range c.site {
							f.crash(c.upstreams - 1 - i)
						}
						for number := 0; time.Since(began) < 10*time.Second; time.Sleep(c.pause) {
							n := 1
							if number == 0 || u.IntN(int(time.Second/c.pause)) == 0 {
								n = c.burst
							}
							for range n {
								number++
								f.begin(u.IntN(c.upstreams), number, true, 0)
							}
						}
					}()
					f.play(12 * time.Second)
					f.mu.Lock()
					defer f.mu.Unlock()
					require.NotEmpty(t, f.inForce, "seed %d", seed)
					bad := f.crashes[c.site:]
					due := bad[min(len(bad), 5)-1].Add(contactTime)
					late := 0
					for _, at := range f.sent {
						if at.After(due) {
							late++
						}
					}
					require.LessOrEqual(t, late, 3, "seed %d", seed)
					worst = max(worst, len(bad))
				})
			}
			t.Logf("at most %d upstreams crashed", worst)
		})
	}
}
