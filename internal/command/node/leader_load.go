package node

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// Timing of the log lines on a leader's load.
const (
	earlyLoadInterval = time.Second      // between lines in the first earlyLoadTime after the election, when all VMs report at once
	earlyLoadTime     = 5 * time.Second  //
	loadLineInterval  = 10 * time.Second // between later lines
)

// loadKind is what a control VM spends time on.
type loadKind int

const (
	loadConsensus loadKind = iota
	loadReport
	loadQuota
	loadLimit
	loadKinds // their number
)

// leaderLoad measures what reaches a control VM and logs it while the VM leads. measure is safe for concurrent use.
type leaderLoad struct {
	log   *slog.Logger
	kinds [loadKinds]struct{ messages, bytes, time atomic.Int64 }

	ledSince   time.Time     // zero while another VM leads
	loggedAt   time.Time     // when the last line was written
	observedAt time.Time     // when observe was called last
	longestGap time.Duration // between calls of observe since the last line: the longest time for which the VM was held up
}

func newLeaderLoad(l *slog.Logger) *leaderLoad { return &leaderLoad{log: l} }

// measure counts a message of a size whose processing began at a time.
func (l *leaderLoad) measure(k loadKind, began time.Time, size int) {
	x := &l.kinds[k]
	x.messages.Add(1)
	x.bytes.Add(int64(size))
	x.time.Add(int64(time.Since(began)))
}

// observe is called every leadInterval and logs the load when it is due.
func (l *leaderLoad) observe(now time.Time, leads bool) {
	if !l.observedAt.IsZero() {
		l.longestGap = max(l.longestGap, now.Sub(l.observedAt))
	}
	l.observedAt = now
	if !leads {
		if !l.ledSince.IsZero() {
			l.write(now, "lost")
		}
		l.ledSince = time.Time{}
		return
	}
	if l.ledSince.IsZero() {
		l.ledSince, l.loggedAt = now, now
		l.take()
		l.longestGap = 0
		return
	}
	interval := loadLineInterval
	if now.Sub(l.ledSince) <= earlyLoadTime {
		interval = earlyLoadInterval
	}
	if now.Sub(l.loggedAt) >= interval {
		l.write(now, "leading")
	}
}

// write logs the load since the last line.
func (l *leaderLoad) write(now time.Time, state string) {
	d := now.Sub(l.loggedAt)
	x := l.take()
	l.log.Info("leader load", "state", state, "led", now.Sub(l.ledSince), "span", d, "longest_gap", l.longestGap,
		"consensus", x[loadConsensus].messages, "consensus_bytes", x[loadConsensus].bytes, "consensus_time", x[loadConsensus].time,
		"reports", x[loadReport].messages, "report_bytes", x[loadReport].bytes, "report_time", x[loadReport].time,
		"quota_calls", x[loadQuota].messages, "quota_time", x[loadQuota].time,
		"limit_calls", x[loadLimit].messages, "limit_time", x[loadLimit].time)
	l.loggedAt, l.longestGap = now, 0
}

// loadSample is the load of one kind between two log lines.
type loadSample struct {
	messages, bytes int64
	time            time.Duration
}

// take returns the load since the last call.
func (l *leaderLoad) take() [loadKinds]loadSample {
	var s [loadKinds]loadSample
	for k := range l.kinds {
		x := &l.kinds[k]
		s[k] = loadSample{messages: x.messages.Swap(0), bytes: x.bytes.Swap(0), time: time.Duration(x.time.Swap(0))}
	}
	return s
}
