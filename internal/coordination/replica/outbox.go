package replica

import (
	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/wire"
)

// SendProvider sends a frame to the replica of a VM. Send must not block, and frames may be lost.
type SendProvider interface {
	Send(vm string, frame []byte)
}

// outbox collects the messages of all groups to a VM into one frame.
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

// flush sends the collected envelopes, in the order in which their VMs were first used.
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

// flushIfFull sends the envelope to a VM if it is larger than envelopeFlushBytes.
func (o *outbox) flushIfFull(vm string) {
	if e := o.envelopes[vm]; len(e.Encoded()) > envelopeFlushBytes {
		o.send.Send(vm, e.Encoded())
		delete(o.envelopes, vm)
	}
}
