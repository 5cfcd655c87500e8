package batchrun

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"snipetack/internal/coordination/pace"
	"snipetack/internal/transport/relay"
)

// Bounds of what a Hub sends of paces to one VM: 4 KB a second.
const (
	paceInterval = 50 * time.Millisecond // between messages
	paceSamples  = 32                    // in a message, the newest ones
	paceExpiry   = 2 * time.Second       // an older report is not passed on
)

// Paces keeps the newest reports of the upstreams' paces that other VMs or the items here have received, and which VM has been sent them. The zero value is
// empty; it is safe for concurrent use.
type Paces struct {
	mu    sync.Mutex
	heard map[uint32]heardPace
	last  uint64 // number of the last report
	sent  map[string]sentPaces
}

// heardPace is the newest report of an upstream.
type heardPace struct {
	factor float64
	at     time.Time
	from   string // VM that has sent it; "" is this one
	number uint64
}

// sentPaces is what a VM has been sent.
type sentPaces struct {
	number uint64 // of the last report
	at     time.Time
}

// Add adopts the reports that are newer than those known, from a VM or, with from "", from an item that runs here.
func (p *Paces) Add(now time.Time, from string, l []pace.Sample) {
	if len(l) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == nil {
		p.heard, p.sent = map[uint32]heardPace{}, map[string]sentPaces{}
	}
	for _, s := range l {
		at := now.Add(-s.Age)
		if h, ok := p.heard[s.Upstream]; ok && !at.After(h.at) {
			continue
		}
		p.last++
		p.heard[s.Upstream] = heardPace{factor: s.Factor, at: at, from: from, number: p.last}
	}
}

// Due returns the reports that a VM has not been sent, the newest first, or none within paceInterval of the ones before.
func (p *Paces) Due(now time.Time, to string) []pace.Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.sent[to]
	if t.number == p.last || now.Sub(t.at) < paceInterval {
		return nil
	}
	var l []pace.Sample
	for id, h := range p.heard {
		age := now.Sub(h.at)
		if age > paceExpiry {
			delete(p.heard, id)
			continue
		}
		if h.number > t.number && h.from != to {
			l = append(l, pace.Sample{Upstream: id, Factor: h.factor, Age: age})
		}
	}
	slices.SortFunc(l, func(a, b pace.Sample) int { return cmp.Compare(a.Age, b.Age) })
	for vm, x := range p.sent {
		if now.Sub(x.at) > reportExpiry && x.number != p.last {
			delete(p.sent, vm)
		}
	}
	p.sent[to] = sentPaces{number: p.last, at: now}
	return l[:min(len(l), paceSamples)]
}

// reported passes on the pace that an upstream reports with the response to an item.
func (r *Runner) reported(upstream string, a *relay.Response) {
	if a.Load == nil || !a.Signed || !a.Load.Valid() || a.Load.Factor == 0 {
		return
	}
	r.hub.Paces.Add(time.Now(), "", []pace.Sample{pace.SampleOf(pace.Shared{ID: upstream, Factor: a.Load.Factor})})
}
