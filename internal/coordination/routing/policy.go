package routing

import (
	"math/rand/v2"
)

// Candidate is a usable upstream as a policy sees it.
type Candidate struct {
	Name            string
	SameDataCentre  bool    // in the data centre of the choosing VM
	InFlight        int     // requests of the choosing VM
	OthersInFlight  int     // requests of the other VMs, by their last reports
	Reported        float64 // running and waiting requests by the last load report, fading to 0 as it ages; used by no policy of this package
	SentSinceReport int     // requests sent by the choosing VM since the moment that the load report describes; used by no policy of this package
	Slots           int     // 1 if the upstream states none
	CachedBlocks    int     // leading blocks of the prompt that the upstream has probably cached
	Blocks          int     // blocks of the prompt
	Share           float64 // fraction of its full share of requests; below 1 during slow start
}

// Policy picks one of the candidates, of which there is at least one, and names its reason for the log.
type Policy interface {
	Pick(l []Candidate, r *rand.Rand) (index int, reason string)
}

// Random picks candidates uniformly at random.
type Random struct{}

var _ Policy = Random{}

// Pick returns a random candidate.
func (Random) Pick(l []Candidate, r *rand.Rand) (int, string) {
	return r.IntN(len(l)), "random"
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct {
	next int
}

var _ Policy = (*RoundRobin)(nil)

// Pick returns the next candidate.
func (p *RoundRobin) Pick(l []Candidate, _ *rand.Rand) (int, string) {
	p.next++
	return p.next % len(l), "round_robin"
}

// LeastInFlight picks the candidate with the fewest requests in flight from this VM.
type LeastInFlight struct{}

var _ Policy = LeastInFlight{}

// Pick returns the candidate with the fewest requests in flight; ties are broken at random.
func (LeastInFlight) Pick(l []Candidate, r *rand.Rand) (int, string) {
	return lowestCost(l, r, func(c Candidate) float64 { return float64(c.InFlight) }), "least_in_flight"
}

// lowestCost returns the index of the candidate with the lowest cost; ties are broken at random.
func lowestCost(l []Candidate, r *rand.Rand, cost func(Candidate) float64) int {
	best, n := 0, 0
	var lowest float64
	for i, c := range l {
		switch v := cost(c); {
		case i == 0 || v < lowest:
			best, lowest, n = i, v, 1
		case v == lowest:
			n++
			if r.IntN(n) == 0 {
				best = i
			}
		}
	}
	return best
}
