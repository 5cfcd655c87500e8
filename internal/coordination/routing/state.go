package routing

import "time"

// Times and bounds for avoiding upstreams that fail or refuse, and for trusting reports.
//
// Ejections and refusals double their base with each repetition, up to their max.
const (
	failuresToEject = 3 // in a row; one is enough after an ejection, until a success
	ejectionBase    = 2 * time.Second
	ejectionMax     = 60 * time.Second
	refusalBase     = 250 * time.Millisecond
	refusalMax      = 30 * time.Second
	closingExpiry   = 10 * time.Second // time to live of an announced close, which a later load report can clear
	slowStart       = 10 * time.Second // time until a new or re-admitted upstream gets its full share of requests
	reportExpiry    = 5 * time.Second  // older load reports are ignored
	othersExpiry    = 2 * time.Second  // older figures of what another VM has in flight are ignored
)

// state is what one VM knows about an upstream.
type state struct {
	inFlight     int
	slowStartAt  time.Time // when the slow start begins: first seen, or end of the last ejection
	failures     int       // in a row
	ejections    int       // since the last success outside an ejection
	ejectedUntil time.Time
	refusals     int // in a row
	refusedAt    time.Time
	refusedUntil time.Time
	hasKeptAlive bool // has once succeeded without closing the connection; only then does Closing announce a shutdown
	closingAt    time.Time
	leaving      bool // its last load report said that it is shutting down
	unreachable  bool // its last load report could not be fetched
	load         Load
	loadAt       time.Time                   // the moment that the load report describes
	sentSince    []time.Time                 // when attempts were sent after loadAt, oldest first
	others       map[string]reportedInFlight // by VM
	prefixes     *prefixCache
	tokenTime    float64 // seconds per token, as a moving average
	limit        *adaptiveLimit
}

// reportedInFlight is what another VM reported to have in flight at an upstream.
type reportedInFlight struct {
	n  int
	at time.Time
}

func newState(now time.Time) *state {
	return &state{slowStartAt: now, others: map[string]reportedInFlight{}, prefixes: newPrefixCache(), limit: newLimit()}
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

func (s *state) refusing(now time.Time) bool { return now.Before(s.refusedUntil) }

func (s *state) closing(now time.Time) bool {
	return !s.closingAt.IsZero() && now.Before(s.closingAt.Add(closingExpiry))
}

// done takes the outcome of an attempt that sent counted.
func (s *state) done(now time.Time, r Report) {
	s.inFlight--
	s.limit.done(now, r)
	switch {
	case r.Refused:
		s.refuse(now)
	case r.Failed:
		s.fail(now)
	default:
		s.succeed(now, r)
	}
	if r.Closing && s.hasKeptAlive {
		s.closingAt = now
	}
	s.hasKeptAlive = s.hasKeptAlive || !r.Closing && !r.Failed && !r.Refused
}

// refuse avoids the upstream for a time that doubles with each refusal in a row.
func (s *state) refuse(now time.Time) {
	s.refusedAt = now
	s.refusedUntil = now.Add(min(refusalBase<<min(s.refusals, 10), refusalMax))
	s.refusals++
}

// fail ejects the upstream after failuresToEject failures in a row, or after one if it was ejected before and has not
// succeeded since.
func (s *state) fail(now time.Time) {
	s.failures++
	if s.failures < failuresToEject && s.ejections == 0 {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(min(ejectionBase<<min(s.ejections, 10), ejectionMax))
	s.slowStartAt = s.ejectedUntil
	s.ejections++
}

func (s *state) succeed(now time.Time, r Report) {
	s.failures = 0
	s.refusals = 0
	if s.ejections > 0 && !s.ejected(now) {
		s.ejections = 0
	}
	if r.Tokens > 0 {
		t := (r.Took - r.First).Seconds() / float64(r.Tokens)
		if s.tokenTime == 0 {
			s.tokenTime = t
		}
		s.tokenTime += (t - s.tokenTime) / 8
	}
}

// report takes a load report unless a newer one was taken before. One that is newer than an announced close and doesn't
// say that the upstream is leaving clears the close.
func (s *state) report(now time.Time, l Load) {
	at := now.Add(-l.Age)
	if at.Before(s.loadAt) {
		return
	}
	s.load = l
	s.loadAt = at
	s.leaving = l.Leaving
	s.unreachable = false
	if !l.Leaving && at.After(s.closingAt) {
		s.closingAt = time.Time{}
	}
	i := 0
	for i < len(s.sentSince) && !s.sentSince[i].After(at) {
		i++
	}
	s.sentSince = s.sentSince[i:]
}

// sent counts an attempt as in flight.
func (s *state) sent(now time.Time) {
	s.inFlight++
	s.limit.sent()
	if n := len(s.sentSince); n > 0 && now.Sub(s.sentSince[0]) > reportExpiry {
		s.sentSince = s.sentSince[1:]
	}
	s.sentSince = append(s.sentSince, now)
}

// share returns the fraction of its full share that the upstream may get during slow start, from 0.1 to 1.
func (s *state) share(now time.Time) float64 {
	const minShare = 0.1
	d := now.Sub(s.slowStartAt)
	if d >= slowStart {
		return 1
	}
	return max(minShare, d.Seconds()/slowStart.Seconds())
}

// othersInFlight returns what the other VMs have in flight at the upstream, by their reports that are recent enough.
func (s *state) othersInFlight(now time.Time) int {
	n := 0
	for _, o := range s.others {
		if now.Sub(o.at) <= othersExpiry {
			n += o.n
		}
	}
	return n
}
