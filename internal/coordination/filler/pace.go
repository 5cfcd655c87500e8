package filler

import "time"

// learnRate is the weight of one item on what is known.
const learnRate = 0.05

// Pace learns how long items run for their size; it is not safe for concurrent use.
type Pace struct {
	perToken float64 // ns
}

// Learn takes the run time of a whole item.
func (p *Pace) Learn(tokens int, ran time.Duration) {
	if tokens <= 0 || ran <= 0 {
		return
	}
	x := float64(ran) / float64(tokens)
	if p.perToken == 0 {
		p.perToken = x
	}
	p.perToken += learnRate * (x - p.perToken)
}

// Left returns how long an item has still to run; 0 when nothing is known.
func (p *Pace) Left(tokens int, ran time.Duration) time.Duration {
	return max(0, time.Duration(p.perToken*float64(tokens))-ran)
}
