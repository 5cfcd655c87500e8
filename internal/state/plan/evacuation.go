package plan

import (
	"slices"

	"snipetack/internal/state/wire"
)

// maxEvacuations bounds the evacuations of a State; beyond, one that ended is forgotten, the one that ended first.
const maxEvacuations = 64

// superseded is the result of an order whose Base is not current.
const superseded = "the order was superseded"

// Superseded reports whether the result of a command says that its order changed nothing, as the evacuation has changed since the order was made.
func Superseded(result []byte) bool { return string(result) == superseded }

// Evacuation is whether a data centre is evacuated: nothing is sent to its upstreams until it has ended.
type Evacuation struct {
	Zone     string
	Ended    bool
	Revision uint64 // State.EvacuationRevision when it last changed
}

// EvacuationOrder starts or ends the evacuation of a data centre.
type EvacuationOrder struct {
	Zone string
	End  bool
	// Base is the Evacuation.Revision that the order was made at, 0 where there was none. An order that arrives late, after its repetition
	// was acknowledged and a newer order too, must not change anything.
	Base uint64
	// At is when the order was given, in Unix ms. Revisions are at least this high, so that those of a group that has lost its state, to a build
	// that does not keep it, are above the ones that VMs still have.
	At uint64
}

// Evacuation returns the evacuation of a data centre; it is false when there was none.
func (s State) Evacuation(zone string) (Evacuation, bool) {
	i := slices.IndexFunc(s.Evacuations, func(e Evacuation) bool { return e.Zone == zone })
	if i < 0 {
		return Evacuation{}, false
	}
	return s.Evacuations[i], true
}

// evacuate executes an order and reports whether its Base is current. An end where there was no evacuation changes nothing.
func (s *State) evacuate(o EvacuationOrder) bool {
	e, ok := s.Evacuation(o.Zone)
	if o.Base != e.Revision {
		return false
	}
	if o.End == (!ok || e.Ended) {
		return true
	}
	l := slices.DeleteFunc(slices.Clone(s.Evacuations), func(e Evacuation) bool { return e.Zone == o.Zone })
	s.EvacuationRevision = max(s.EvacuationRevision+1, o.At)
	l = append(l, Evacuation{Zone: o.Zone, Ended: o.End, Revision: s.EvacuationRevision})
	if len(l) > maxEvacuations {
		if i := slices.IndexFunc(l, func(e Evacuation) bool { return e.Ended }); i >= 0 {
			l = slices.Delete(l, i, i+1)
		}
	}
	s.Evacuations = l
	return true
}

// EncodeEvacuations writes each evacuation as a field.
func EncodeEvacuations(e *wire.Encoder, field int, l []Evacuation) {
	for _, x := range l {
		e.Record(field, func(e *wire.Encoder) {
			e.Text(1, x.Zone)
			e.Bool(2, x.Ended)
			e.Uint(3, x.Revision)
		})
	}
}

// DecodeEvacuation reads the current field, which EncodeEvacuations wrote.
func DecodeEvacuation(p *wire.Decoder) Evacuation {
	var x Evacuation
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			x.Zone = d.Text()
		case 2:
			x.Ended = d.Bool()
		case 3:
			x.Revision = d.Uint()
		}
	}
	p.Fail(d.Err())
	return x
}

func encodeOrder(e *wire.Encoder, field int, o EvacuationOrder) {
	if o.Zone == "" {
		return
	}
	e.Record(field, func(e *wire.Encoder) {
		e.Text(1, o.Zone)
		e.Bool(2, o.End)
		e.Uint(3, o.Base)
		e.Uint(4, o.At)
	})
}

func decodeOrder(p *wire.Decoder) EvacuationOrder {
	var o EvacuationOrder
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			o.Zone = d.Text()
		case 2:
			o.End = d.Bool()
		case 3:
			o.Base = d.Uint()
		case 4:
			o.At = d.Uint()
		}
	}
	p.Fail(d.Err())
	return o
}
