package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"snipetack/internal/state/plan"
)

// Policy on single requests.
const (
	minRequestCrashes = 3 // at which one request was in flight without progress
	minSuspicion      = 2 // crashes from which on the VMs are asked for sound responses

	maxSuspectedRequests = 16 // in Suspects, which each bulletin to each VM carries
)

// requests returns a quarantine for each request that crashes upstreams and is not in quarantine. Requests that were at the same crashes
// can't be told apart, and all of them are quarantined: a sound one that is held back costs its caller, a bad one that is not costs
// upstreams. For the same reason one whose response had begun is no better suspect than the others.
func (d *Detector) requests(h *hold, inForce []plan.Quarantine) []plan.Quarantine {
	crashes := d.requestCrashes()
	for _, q := range inForce {
		delete(crashes, q.Fingerprint())
	}
	shares := d.requestShares()
	var out []plan.Quarantine
	for _, f := range slices.Sorted(maps.Keys(crashes)) {
		s, c := shares[f], crashes[f]
		if float64(c.n) >= minRequestCrashes*(1+shareFactor*s)+chanceFactor*d.chance(s) && !h.holds(f, c.first, c.last) {
			out = append(out, plan.Quarantine{Segments: []string{f}})
		}
	}
	return out
}

// suspectedRequests returns the fingerprints of the requests with most crashes, up to maxSuspectedRequests.
func (d *Detector) suspectedRequests() []string {
	crashes := d.requestCrashes()
	maps.DeleteFunc(crashes, func(_ string, c requestCrashes) bool { return c.n < minSuspicion })
	l := slices.SortedFunc(maps.Keys(crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(crashes[b].n, crashes[a].n), strings.Compare(a, b))
	})
	return l[:min(len(l), maxSuspectedRequests)]
}

// requestCrashes are the crashes at which one request was in flight.
type requestCrashes struct {
	n           int
	first, last time.Time
}

// requestCrashes returns the crashes of each request, by fingerprint. Those before its last sound response do not count.
func (d *Detector) requestCrashes() map[string]requestCrashes {
	m := map[string]requestCrashes{}
	for _, e := range d.ends {
		for f := range e.requests() {
			if !e.at.After(d.cleared[f]) {
				continue
			}
			c := m[f]
			c.n++
			if c.first.IsZero() || e.at.Before(c.first) {
				c.first = e.at
			}
			if e.at.After(c.last) {
				c.last = e.at
			}
			m[f] = c
		}
	}
	return m
}

// requests returns the fingerprints of the suspects of an end. Batch items have none: they run on any upstream, whatever ends it.
func (e *end) requests() map[string]bool {
	m := map[string]bool{}
	for _, c := range e.reports {
		for _, x := range c.Suspects {
			if x.Fingerprint != "" {
				m[x.Fingerprint] = true
			}
		}
	}
	return m
}

// requestShares returns the share of each suspected request among the sound ones, as the VM that has seen most of it saw it.
func (d *Detector) requestShares() map[string]float64 {
	shares := map[string]float64{}
	for _, e := range d.ends {
		for _, c := range e.reports {
			for _, s := range c.Sound {
				if strings.HasPrefix(s.Segment, plan.FingerprintPrefix) {
					shares[s.Segment] = max(shares[s.Segment], min(1, float64(s.Count)/float64(max(1, c.ObservedRequests))))
				}
			}
		}
	}
	return shares
}

// chance returns at how many of the crashes a request of this share of the sound ones would be by chance.
func (d *Detector) chance(share float64) float64 {
	if share == 0 {
		return 0
	}
	n := 0.0
	for _, e := range d.ends {
		n += 1 - math.Pow(1-share, float64(len(e.requests())))
	}
	return n
}
