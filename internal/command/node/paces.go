package node

import (
	"time"

	"snipetack/internal/coordination/pace"
	"snipetack/internal/transport/link"
)

// paces adopts the paces of upstreams that other VMs have received.
func (e *entry) paces(from string, b []byte) {
	l, ok := pace.Decode(b)
	if !ok {
		e.n.Log.Warn("paces of upstreams dropped; the next ones replace them", "peer", from)
		return
	}
	ids, _ := e.n.member.upstreamIDs()
	e.pool.SetPaces(time.Now(), pace.Resolve(l, ids))
}

// receivePaces adopts the paces that the leading batch VM has from other data centres, to pass them on to the entry VMs here.
func (b *batch) receivePaces(from string, x []byte) {
	l, ok := pace.Decode(x)
	if !ok {
		b.n.Log.Warn("paces of upstreams dropped; the next ones replace them", "peer", from)
		return
	}
	b.hub.Paces.Add(time.Now(), from, l)
}

// sendPaces sends each VM that reports here the paces that it does not have.
func (b *batch) sendPaces() {
	now := time.Now()
	for _, vm := range b.hub.Reporting() {
		if l := b.hub.Paces.Due(now, vm); len(l) > 0 {
			b.n.link.Send(vm, link.Paces, pace.Encode(l))
		}
	}
}
