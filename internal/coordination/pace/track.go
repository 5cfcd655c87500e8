package pace

import (
	"math"
	"time"
)

// Bounds and time constants of a Track.
const (
	MinFactor = 0.1  // a report below is nonsense: no engine is ten times as fast as usual
	MaxFactor = 20.0 // above, a stream of 0.75 s would take 15 s, longer than callers wait

	newestTime = 300 * time.Millisecond // a slow-down of 0.6 s goes on for half of that on average after a report of it
	meanTime   = 3 * time.Second        // the average follows a slow-down of ten seconds, and hardly one of 0.6 s
	forgetTime = 30 * time.Second       // without reports, in which the average returns to the usual time
	slowdown   = 4.0                    // a response may be this much slower or faster than its report for ordinary reasons
)

// Report is what an upstream said of its load in a response.
type Report struct {
	Running, Waiting, Slots int
	Factor                  float64 // of the usual time that work takes there now; 0 when not said
}

// Nonsense returns the report of an upstream whose figures can't be read; it is not valid.
func Nonsense() *Report { return &Report{Running: -1} }

// Valid reports whether the figures of a report are possible.
func (r Report) Valid() bool {
	if r.Running < 0 || r.Waiting < 0 || r.Slots < 0 {
		return false
	}
	return r.Factor == 0 || r.Factor >= MinFactor && r.Factor <= MaxFactor
}

// Track follows the pace of one upstream. Its zero value takes the upstream for a usual one.
type Track struct {
	newest float64 // 0 before the first report
	at     time.Time
	mean   float64
}

// Report adopts a report of the factor that was made at a time; an older one than the newest is ignored. It returns whether it was adopted.
func (t *Track) Report(at time.Time, factor float64) bool {
	if factor < MinFactor || factor > MaxFactor || t.newest > 0 && !at.After(t.at) {
		return false
	}
	if t.newest == 0 {
		t.mean = factor
	} else {
		t.mean = t.average(at)
		t.mean += (factor - t.mean) * -math.Expm1(-at.Sub(t.at).Seconds()/meanTime.Seconds())
	}
	t.newest, t.at = factor, at
	return true
}

// Known reports whether the upstream has reported a factor.
func (t *Track) Known() bool { return t.newest > 0 }

// Factor returns the expected factor at a time: the newest report decays to the average of the reports, and that to the usual time.
func (t *Track) Factor(now time.Time) float64 {
	if t.newest == 0 {
		return 1
	}
	m := t.average(now)
	return m + (t.newest-m)*math.Exp(-max(0, now.Sub(t.at).Seconds())/newestTime.Seconds())
}

// average returns the average of the reports as of a time.
func (t *Track) average(now time.Time) float64 {
	if t.newest == 0 {
		return 1
	}
	return 1 + (t.mean-1)*math.Exp(-max(0, now.Sub(t.at).Seconds())/forgetTime.Seconds())
}

// Plausible reports whether a report agrees with the time to the first event of its response, in multiples of the usual time. A response that may
// have waited at the upstream can be late for that reason; its report must not be much below the average instead, as an upstream that
// claims to be fast attracts requests until all of them wait.
func (t *Track) Plausible(now time.Time, factor, took float64, mayHaveWaited bool) bool {
	if took <= 0 {
		return true
	}
	if factor > took*slowdown {
		return false
	}
	if mayHaveWaited {
		took = min(took, t.average(now))
	}
	return factor*slowdown >= took
}

// At returns when the newest report was made.
func (t *Track) At() time.Time { return t.at }

// Newest returns the factor of the newest report, or 0 before the first.
func (t *Track) Newest() float64 { return t.newest }

// Shared is a report that one VM passes on to others.
type Shared struct {
	ID     string // of the upstream
	Factor float64
	Age    time.Duration
}
