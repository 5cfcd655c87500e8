package filler

import "time"

// learnRate is the weight of one item in the moving average.
const learnRate = 0.05

// Pace estimates run times from the size of items; the zero value has no estimate. It is not safe for concurrent use.
type Pace struct {
	perToken float64 // moving average in ns; 0 before the first item
	running  float64 // ns a token that items have run for without an end, before the first one is complete
}

// Bound records that an item of a size has run for some time without an end. Before the first item is complete this is the only estimate.
func (p *Pace) Bound(tokens int, ran time.Duration) {
	if tokens > 0 {
		p.running = max(p.running, float64(ran)/float64(tokens))
	}
}

// Learn records the total run time of a completed item of a size in tokens.
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

// Seed sets the estimate to the run time of items per token that an earlier leader has learned, unless there is one already.
func (p *Pace) Seed(perToken time.Duration) {
	if p.perToken == 0 {
		p.perToken = float64(perToken)
	}
}

// Total estimates the run time of an item from its first event to its last; it is 0 without an estimate.
func (p *Pace) Total(tokens int) time.Duration {
	x := p.perToken
	if x == 0 {
		x = p.running
	}
	return time.Duration(x * float64(tokens))
}

// Left estimates the remaining run time of an item that has run for ran; it is 0 without an estimate.
func (p *Pace) Left(tokens int, ran time.Duration) time.Duration {
	return max(0, time.Duration(p.perToken*float64(tokens))-ran)
}
