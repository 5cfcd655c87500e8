package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Timing of Probes.
const (
	firstProbe  = 10 * time.Second // from the first request that a quarantine holds back; the crashes are over and their upstreams are back
	probeFactor = 4                // of the pauses between probes that crash their upstreams: few reach one within minutes
	maxProbe    = Retention
)

// Probes lets single batch items run although a quarantine holds them back: an accepted item is owed, and while nothing with its segments is
// sent, no sound response can show that the quarantine is wrong. It is not safe for concurrent use.
//
// K identifies an item.
type Probes[K comparable] struct {
	states map[string]*probing // by key of the quarantine
	chosen map[string]K        // item of each quarantine in this scheduling pass
}

// probing is when a quarantine is probed next.
type probing struct {
	next  time.Time
	pause time.Duration
}

// NewProbes returns Probes that have seen no quarantine.
func NewProbes[K comparable]() *Probes[K] {
	return &Probes[K]{states: map[string]*probing{}, chosen: map[string]K{}}
}

// BeginPass starts a scheduling pass in which each quarantine may get one probe. Quarantines that are not in force any more are forgotten.
func (p *Probes[K]) BeginPass(inForce []string) {
	clear(p.chosen)
	maps.DeleteFunc(p.states, func(k string, _ *probing) bool { return !slices.Contains(inForce, k) })
}

// Choose reports whether an item that these quarantines hold back may run as their probe if it is started in this pass.
func (p *Probes[K]) Choose(now time.Time, quarantines []string, item K) bool {
	ok := true
	for _, k := range quarantines {
		if p.states[k] == nil {
			p.states[k] = &probing{next: now.Add(firstProbe), pause: firstProbe}
		}
		other, chosen := p.chosen[k]
		ok = ok && !now.Before(p.states[k].next) && (!chosen || other == item)
	}
	if ok {
		for _, k := range quarantines {
			p.chosen[k] = item
		}
	}
	return ok
}

// Start reports whether an item that these quarantines hold back was chosen as their probe in this pass. If so, it starts now, and the next
// one comes after a pause.
func (p *Probes[K]) Start(now time.Time, quarantines []string, item K) bool {
	for _, k := range quarantines {
		if x, ok := p.chosen[k]; !ok || x != item || p.states[k] == nil {
			return false
		}
	}
	for _, k := range quarantines {
		p.states[k].next = now.Add(p.states[k].pause)
	}
	return true
}

// Broke records that the upstream of a probe has ended its response: the next probes come later.
func (p *Probes[K]) Broke(now time.Time, quarantines []string) {
	for _, k := range quarantines {
		if x := p.states[k]; x != nil {
			x.pause = min(maxProbe, probeFactor*x.pause)
			x.next = now.Add(x.pause)
		}
	}
}
