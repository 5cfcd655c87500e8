package quota

import (
	"time"

	"snipetack/internal/state/catalog"
)

// Class separates the limits of online requests from those of batch items.
type Class uint8

// The classes of work.
const (
	Online Class = iota
	Batch
)

// Key identifies one bucket.
type Key struct {
	Account string
	Class   Class
}

// Limit bounds what is admitted in any window of w seconds to Rate·w + Burst. The zero Limit admits nothing.
type Limit struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens allowed in addition to the rate
}

// LimitOf returns an account's limit for a class, or false when the class is unlimited.
func LimitOf(a catalog.Account, c Class) (Limit, bool) {
	if c == Online {
		return Limit{Rate: a.Rate, Burst: float64(a.Burst)}, true
	}
	if a.BatchRate == 0 {
		return Limit{}, false
	}
	return Limit{Rate: a.BatchRate, Burst: max(1, float64(a.BatchBurst))}, true
}

// Limits returns the limits of all accounts of a configuration.
func Limits(c *catalog.Configuration) map[Key]Limit {
	m := make(map[Key]Limit, len(c.Accounts))
	for n, a := range c.Accounts {
		for _, s := range []Class{Online, Batch} {
			if l, ok := LimitOf(a, s); ok {
				m[Key{Account: n, Class: s}] = l
			}
		}
	}
	return m
}

// Bounds of clocks and grants.
const (
	// MaxDrift is the max relative error of a clock's rate; the kernel slews a clock by at most this much.
	MaxDrift = 500e-6
	// MaxValidity is the max time from sending a token request to spending a token that it brought.
	MaxValidity = 250 * time.Millisecond
	// minValidity is the min time in which a grant can be expected to arrive and be spent.
	minValidity = 25 * time.Millisecond
	// trackedValidity is the time in which the tokens of a tracked grant are spent or expire.
	trackedValidity = MaxValidity
)

// scheme is how the owner accounts for the tokens of one bucket.
type scheme struct {
	tracked  bool          // outstanding grants occupy space in the bucket until they are settled or expire
	validity time.Duration // from sending the token request to spending the token, by the holder's clock
	cap      float64       // max tokens in the bucket, outstanding tracked grants included
}

// schemeOf returns the scheme for a limit.
//
// A holder may spend tokens up to one validity after they were granted, together with those of a full bucket. The
// validity is chosen so that at most half of the burst beyond one token accrues during it. If that is at least
// minValidity, the bucket is smaller than the burst by what accrues during the validity, and a token counts as spent when
// it is granted. Otherwise grants are tracked.
func schemeOf(l Limit) scheme {
	v := MaxValidity
	if l.Rate > 0 {
		v = min(v, seconds((l.Burst-1)/(2*l.Rate)))
	}
	if v < minValidity {
		return scheme{tracked: true, validity: trackedValidity, cap: l.Burst}
	}
	return scheme{validity: v, cap: l.Burst - l.Rate*withDrift(v).Seconds()}
}

// withDrift returns how long d on one VM's clock may last on another's. The rates of two clocks differ by little more
// than 2*MaxDrift, so 3*MaxDrift covers it.
func withDrift(d time.Duration) time.Duration {
	return d + seconds(d.Seconds()*3*MaxDrift)
}

// seconds returns a duration of s seconds.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
