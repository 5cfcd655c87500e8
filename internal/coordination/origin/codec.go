package origin

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// Begun is one stream with its origin.
type Begun struct {
	Key    Key
	Origin Origin
}

// keyBytes is the size of an encoded Key.
const keyBytes = 8

// EncodeBegun encodes streams, grouped by their origins.
func EncodeBegun(l []Begun) []byte {
	keys := map[Origin][]byte{}
	for _, b := range l {
		keys[b.Origin] = binary.BigEndian.AppendUint64(keys[b.Origin], uint64(b.Key))
	}
	e := wire.NewEncoder()
	for o, k := range keys {
		e.Record(1, func(e *wire.Encoder) {
			encodeOrigin(e, o)
			e.Bytes(3, k)
		})
	}
	return e.Encoded()
}

// DecodeBegun decodes what EncodeBegun returns.
func DecodeBegun(b []byte) ([]Begun, error) {
	var l []Begun
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		var o Origin
		var keys []byte
		r := d.Record()
		for f, ok := r.Next(); ok; f, ok = r.Next() {
			if f == 3 {
				keys = r.Bytes()
				continue
			}
			decodeOrigin(r, f, &o)
		}
		d.Fail(r.Err())
		for ; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			l = append(l, Begun{Key: Key(binary.BigEndian.Uint64(keys)), Origin: o})
		}
	}
	return l, errors.Wrap(d.Err(), "decoding origins of streams")
}

// EncodeVersions encodes the versions of services.
func EncodeVersions(l []Origin) []byte {
	e := wire.NewEncoder()
	for _, o := range l {
		e.Record(1, func(e *wire.Encoder) { encodeOrigin(e, o) })
	}
	return e.Encoded()
}

// DecodeVersions decodes what EncodeVersions returns.
func DecodeVersions(b []byte) ([]Origin, error) {
	var l []Origin
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		var o Origin
		r := d.Record()
		for f, ok := r.Next(); ok; f, ok = r.Next() {
			decodeOrigin(r, f, &o)
		}
		d.Fail(r.Err())
		l = append(l, o)
	}
	return l, errors.Wrap(d.Err(), "decoding the versions of services")
}

// Question asks a holder for the origin of a stream.
type Question struct {
	Key     Key
	Service string // to which the request goes where nobody knows the origin
}

// EncodeQuestion encodes a Question.
func EncodeQuestion(q Question) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(q.Key))
	e.Text(2, q.Service)
	return e.Encoded()
}

// DecodeQuestion decodes a Question.
func DecodeQuestion(b []byte) (Question, error) {
	var q Question
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			q.Key = Key(d.Uint())
		case 2:
			q.Service = d.Text()
		}
	}
	return q, errors.Wrap(d.Err(), "decoding a question for an origin")
}

// Answer is a holder's response to a Question.
type Answer struct {
	Known  bool // Origin is where the stream began
	Sole   bool // Origin has the only version of the service that was listed within Memory
	Origin Origin

	Several bool // several versions were listed, whatever other VMs know
}

// EncodeAnswer encodes an Answer.
func EncodeAnswer(a Answer) []byte {
	e := wire.NewEncoder()
	encodeOrigin(e, a.Origin)
	e.Bool(3, a.Known)
	e.Bool(4, a.Sole)
	e.Bool(5, a.Several)
	return e.Encoded()
}

// DecodeAnswer decodes an Answer.
func DecodeAnswer(b []byte) (Answer, error) {
	var a Answer
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 3:
			a.Known = d.Bool()
		case 4:
			a.Sole = d.Bool()
		case 5:
			a.Several = d.Bool()
		default:
			decodeOrigin(d, f, &a.Origin)
		}
	}
	return a, errors.Wrap(d.Err(), "decoding an answer on an origin")
}

func encodeOrigin(e *wire.Encoder, o Origin) {
	e.Text(1, o.Service)
	e.Text(2, o.Version)
}

func decodeOrigin(d *wire.Decoder, field int, o *Origin) {
	switch field {
	case 1:
		o.Service = d.Text()
	case 2:
		o.Version = d.Text()
	}
}
