package replica

import (
	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/wire"
)

// SendProvider sends a frame to the replica of a VM; it must not block, and frames may be lost.
type SendProvider interface {
	Send(vm string, frame []byte)
}

// outbox collects messages so that those of all groups to a VM travel together.
type outbox struct {
	send      SendProvider
	envelopes map[string]*wire.Encoder
	vms       []string
}

func newOutbox(s SendProvider) *outbox {
	return &outbox{send: s, envelopes: map[string]*wire.Encoder{}}
}

func (o *outbox) message(group uint32, m consensus.Message) {
	encodeMessage(o.encoder(m.To.VM), groupMessage{group: group, message: m})
	o.flushIfFull(m.To.VM)
}

func (o *outbox) hello(vm string, h hello) {
	encodeHello(o.encoder(vm), h)
}

func (o *outbox) flush() {
	for _, v := range o.vms {
		if e := o.envelopes[v]; e != nil {
			o.send.Send(v, e.Encoded())
		}
		delete(o.envelopes, v)
	}
	o.vms = o.vms[:0]
}

func (o *outbox) encoder(vm string) *wire.Encoder {
	e := o.envelopes[vm]
	if e == nil {
		e = wire.NewEncoder()
		o.envelopes[vm] = e
		o.vms = append(o.vms, vm)
	}
	return e
}

func (o *outbox) flushIfFull(vm string) {
	if e := o.envelopes[vm]; len(e.Encoded()) > envelopeFlushBytes {
		o.send.Send(vm, e.Encoded())
		delete(o.envelopes, vm)
	}
}
