package feed

import (
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/wire"
)

// Event is a message from a keeper to a follower; exactly one field is set.
type Event struct {
	Configuration *catalog.Configuration // the complete configuration, for a follower that is new or too far behind
	Applied       *catalog.Applied       // the next change
	Stamp         *Stamp
}

// Stamp states that Revision contained everything that was committed Age before the stamp was sent.
type Stamp struct {
	Poll     uint64 // number of the follower's poll that the stamp responds to
	Revision uint64
	Age      time.Duration // by the keeper's clock, up to the time of sending
}

// Poll requests a stamp from a keeper and states which revision the follower has.
type Poll struct {
	Number   uint64 // counts the polls of a stream, from 1
	Revision uint64 // of the follower's copy
	Follow   bool   // set in the first poll of a stream
}

// EncodeEvent returns the wire form of an event.
func EncodeEvent(v Event) []byte {
	e := wire.NewEncoder()
	switch {
	case v.Configuration != nil:
		e.Bytes(1, catalog.EncodeConfiguration(v.Configuration))
	case v.Applied != nil:
		e.Bytes(2, catalog.EncodeApplied(*v.Applied))
	case v.Stamp != nil:
		e.Record(3, func(e *wire.Encoder) {
			e.Uint(1, v.Stamp.Poll)
			e.Uint(2, v.Stamp.Revision)
			e.Duration(3, v.Stamp.Age)
		})
	}
	return e.Encoded()
}

// DecodeEvent reads the wire form of an event.
func DecodeEvent(b []byte) (Event, error) {
	var v Event
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c, err := catalog.DecodeConfiguration(d.Bytes())
			d.Fail(err)
			v.Configuration = c
		case 2:
			a, err := catalog.DecodeApplied(d.Bytes())
			d.Fail(err)
			v.Applied = &a
		case 3:
			v.Stamp = decodeStamp(d.Record())
		}
	}
	return v, errors.Wrap(d.Err(), "decoding an event")
}

// EncodePoll returns the wire form of a poll.
func EncodePoll(p Poll) []byte {
	e := wire.NewEncoder()
	e.Uint(1, p.Number)
	e.Uint(2, p.Revision)
	e.Bool(3, p.Follow)
	return e.Encoded()
}

// DecodePoll reads the wire form of a poll.
func DecodePoll(b []byte) (Poll, error) {
	var p Poll
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			p.Number = d.Uint()
		case 2:
			p.Revision = d.Uint()
		case 3:
			p.Follow = d.Bool()
		}
	}
	return p, errors.Wrap(d.Err(), "decoding a poll")
}

func decodeStamp(d *wire.Decoder) *Stamp {
	s := &Stamp{}
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.Poll = d.Uint()
		case 2:
			s.Revision = d.Uint()
		case 3:
			s.Age = d.Duration()
		}
	}
	return s
}
