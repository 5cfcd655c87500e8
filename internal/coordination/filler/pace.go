package filler

import "time"

// learnRate is the weight of one item in the moving average.
const learnRate = 0.05

// Pace estimates run times from the size of items; the zero value has no estimate. It is not safe for concurrent use.
type Pace struct {
	perToken float64 // moving average in ns; 0 before the first item
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

// Left estimates the remaining run time of an item that has run for ran; it is 0 without an estimate.
func (p *Pace) Left(tokens int, ran time.Duration) time.Duration {
	return max(0, time.Duration(p.perToken*float64(tokens))-ran)
}
