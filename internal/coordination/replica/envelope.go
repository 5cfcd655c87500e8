package replica

import (
	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/wire"
)

// envelopeFlushBytes is the size above which an envelope is sent before the end of a round. The last message may exceed
// it.
const envelopeFlushBytes = 1 << 20

// hello is sent by a replica that is blank or has no leader, to find the members of a group, and is also the response
// to such a request. A leader sends it unasked, as an announcement, to contacts outside the group.
type hello struct {
	Group        uint32
	ID           uint64 // of the sender
	ResponseTo   uint64 // replica ID of the requester; 0 in a request or an announcement
	HasState     bool   // the sender is not blank: it has taken part in the group or heard of its leader
	Leader       string // VM of the leader; empty if the sender knows none
	Announcement bool   // expects no response
}

// groupMessage is a consensus message together with its group.
type groupMessage struct {
	group   uint32
	message consensus.Message
}

// envelope is the content of one frame between two VMs: messages and hellos of any groups.
type envelope struct {
	from     string
	messages []groupMessage
	hellos   []hello
}

func encodeMessage(e *wire.Encoder, a groupMessage) {
	e.Record(1, func(e *wire.Encoder) {
		e.Uint(1, uint64(a.group))
		e.Bytes(2, consensus.EncodeMessage(a.message))
	})
}

func encodeHello(e *wire.Encoder, h hello) {
	e.Record(2, func(e *wire.Encoder) {
		e.Uint(1, uint64(h.Group))
		e.Uint(2, h.ID)
		e.Uint(3, h.ResponseTo)
		e.Bool(4, h.HasState)
		e.Text(5, h.Leader)
		e.Bool(6, h.Announcement)
	})
}

func decodeEnvelope(b []byte, from string) (envelope, error) {
	v := envelope{from: from}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a, err := decodeGroupMessage(d.Record(), from)
			d.Fail(err)
			v.messages = append(v.messages, a)
		case 2:
			h, err := decodeHello(d.Record())
			d.Fail(err)
			v.hellos = append(v.hellos, h)
		}
	}
	return v, errors.Wrapf(d.Err(), "decoding messages from replica %q", from)
}

func decodeGroupMessage(d *wire.Decoder, from string) (groupMessage, error) {
	var a groupMessage
	var b []byte
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a.group = uint32(d.Uint())
		case 2:
			b = d.Bytes()
		}
	}
	m, err := consensus.DecodeMessage(b, from)
	d.Fail(err)
	a.message = m
	return a, d.Err()
}

func decodeHello(d *wire.Decoder) (hello, error) {
	var h hello
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			h.Group = uint32(d.Uint())
		case 2:
			h.ID = d.Uint()
		case 3:
			h.ResponseTo = d.Uint()
		case 4:
			h.HasState = d.Bool()
		case 5:
			h.Leader = d.Text()
		case 6:
			h.Announcement = d.Bool()
		}
	}
	return h, d.Err()
}
