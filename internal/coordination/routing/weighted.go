package routing

import "math/rand/v2"

// Weights of the terms of the cost; an upstream whose slots are all in use by this VM costs 1.
const (
	othersWeight = 0.5  // of another VM's request: the figures are old, and all VMs react to the same ones
	blockWeight  = 0.01 // of a block of the prompt that is not cached and must be prefilled
)

// Weighted picks the candidate with the lowest estimated cost, which stands for the wait for a slot and the prefill of
// the prompt blocks that are not cached.
type Weighted struct{}

var _ Policy = Weighted{}

// Pick returns the candidate with the lowest cost.
func (p Weighted) Pick(l []Candidate, r *rand.Rand) (int, string) {
	i := lowestCost(l, r, p.cost)
	if l[i].CachedBlocks > 0 {
		return i, "least_load_and_cached_prefix"
	}
	return i, "least_load"
}

// cost grows with the square of the load: latency rises long before all slots are in use, since all running requests of
// an engine share the steps in which it generates tokens.
func (Weighted) cost(c Candidate) float64 {
	l := (float64(c.InFlight) + othersWeight*float64(c.OthersInFlight)) / float64(c.Slots) / c.Share
	return l*l + blockWeight*float64(c.Blocks-c.CachedBlocks)
}
