package batch

import "time"

// Settings are the timing and bounds of a VM's batch scheduling.
type Settings struct {
	LeaseTime         time.Duration // a holder stops this long after it sent its last confirmed report
	Grace             time.Duration // added to LeaseTime by a contender, for clocks that run at different rates
	Stagger           time.Duration // added by a contender for each VM that ranks before it
	Poll              time.Duration // between reads of open jobs and leases
	IdlePoll          time.Duration // the same while no job is open
	MaxReportInterval time.Duration // between reports, which renew the lease; also between load messages
	MinReportInterval time.Duration // between reports, while results are collected
	MaxAttempts       int           // failures of its own after which an item ends as failed
	MaxBreaks         int           // broken upstreams after which an item runs alone
	BackoffMin        time.Duration // before the retry of an item that failed once
	BackoffMax        time.Duration // max delay before a retry
	AtRiskShare       float64       // part of claimed items that goes first to jobs at risk of missing their due time
	DueMargin         float64       // a job is at risk when its work takes more than this part of the time left
	GapTarget         float64       // max factor by which batch may lengthen an engine step while online requests run
	StepGrowth        float64       // by which each further sequence lengthens an engine step, relative to a step with one
	StartPause        time.Duration // between starts while online requests run
	Reserve           float64       // part of the slots kept free for arrivals until QuietPeriod after the last online request
	QuietPeriod       time.Duration // see Reserve; also, ready items are released after this long without a slot
}

// DefaultSettings returns the settings of a fleet that configures none.
func DefaultSettings() Settings {
	return Settings{
		LeaseTime:         1600 * time.Millisecond,
		Grace:             100 * time.Millisecond,
		Stagger:           400 * time.Millisecond,
		Poll:              300 * time.Millisecond,
		IdlePoll:          time.Second,
		MaxReportInterval: 400 * time.Millisecond,
		MinReportInterval: 50 * time.Millisecond,
		MaxAttempts:       4,
		MaxBreaks:         2,
		BackoffMin:        500 * time.Millisecond,
		BackoffMax:        30 * time.Second,
		AtRiskShare:       0.8,
		DueMargin:         0.7,
		GapTarget:         1.10,
		StepGrowth:        0.05,
		StartPause:        100 * time.Millisecond,
		Reserve:           0,
		QuietPeriod:       2 * time.Second,
	}
}

// ThroughputSettings returns the settings of a fleet that puts batch throughput above short gaps between online
// tokens: batch fills every idle slot, and each online request still preempts it.
func ThroughputSettings() Settings {
	s := DefaultSettings()
	s.GapTarget = unlimitedGap
	s.StartPause = 0
	return s
}

// unlimitedGap is a gap target that no number of slots reaches.
const unlimitedGap = 1000
