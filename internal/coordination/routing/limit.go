package routing

import (
	"math"
	"time"
)

// Parameters of the adaptive limit on the requests that one VM has in flight at one upstream.
const (
	limitStart       = 32.0
	limitMin         = 1.0
	limitMax         = 512.0
	limitDecrease    = 0.7                    // factor applied after a refusal or failure
	decreaseInterval = 500 * time.Millisecond // min time between decreases, so that requests failing together count once
)

// adaptiveLimit bounds the requests in flight at an upstream by additive increase and multiplicative decrease: as many
// successes as the limit raise it by about one, and a refusal or failure multiplies it by limitDecrease.
type adaptiveLimit struct {
	value       float64 // requests
	inFlight    int
	decreasedAt time.Time
}

func newLimit() *adaptiveLimit {
	return &adaptiveLimit{value: limitStart}
}

func (l *adaptiveLimit) sent() { l.inFlight++ }

func (l *adaptiveLimit) full() bool { return l.inFlight >= int(l.value) }

// done takes the outcome of a request. A success raises the limit only if at least half of it was in use: successes
// far below a limit don't show that the upstream bears more.
func (l *adaptiveLimit) done(now time.Time, r Report) {
	used := float64(l.inFlight) >= l.value/2
	l.inFlight--
	switch {
	case !r.Failed && !r.Refused && used:
		l.value = math.Min(limitMax, l.value+1/l.value)
	case (r.Failed || r.Refused) && now.Sub(l.decreasedAt) > decreaseInterval:
		l.value = math.Max(limitMin, l.value*limitDecrease)
		l.decreasedAt = now
	}
}
