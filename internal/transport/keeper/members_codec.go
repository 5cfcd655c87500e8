package keeper

import (
	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/state/wire"
)

func encodeAction(a Action, vm string) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(a))
	e.Text(2, vm)
	return e.Encoded()
}

func decodeAction(b []byte) (Action, string, error) {
	var a Action
	var vm string
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a = Action(d.Uint())
		case 2:
			vm = d.Text()
		}
	}
	return a, vm, errors.Wrap(d.Err(), "decoding an operator's request to a keeper")
}

func encodeReport(r Report) []byte {
	e := wire.NewEncoder()
	e.Uint(1, r.ID)
	e.Uint(2, uint64(r.Changed))
	for _, s := range r.Groups {
		e.Record(3, func(e *wire.Encoder) { encodeStatus(e, s) })
	}
	return e.Encoded()
}

func decodeReport(b []byte) (Report, error) {
	var r Report
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.ID = d.Uint()
		case 2:
			r.Changed = int(d.Uint())
		case 3:
			s, err := decodeStatus(d.Record())
			d.Fail(err)
			r.Groups = append(r.Groups, s)
		}
	}
	return r, errors.Wrap(d.Err(), "decoding a keeper's report")
}

func encodeStatus(e *wire.Encoder, s replica.Status) {
	e.Uint(1, uint64(s.Group))
	e.Text(2, s.Leader.VM)
	e.Uint(3, s.Leader.ID)
	e.Uint(4, s.Term)
	e.Bool(5, s.Leads)
	e.Uint(6, s.Last)
	e.Uint(7, s.Commit)
	e.Uint(8, s.Applied)
	e.Uint(9, s.Snapshot)
	e.Bytes(10, consensus.EncodeConfiguration(s.Configuration))
}

func decodeStatus(d *wire.Decoder) (replica.Status, error) {
	var s replica.Status
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.Group = uint32(d.Uint())
		case 2:
			s.Leader.VM = d.Text()
		case 3:
			s.Leader.ID = d.Uint()
		case 4:
			s.Term = d.Uint()
		case 5:
			s.Leads = d.Bool()
		case 6:
			s.Last = d.Uint()
		case 7:
			s.Commit = d.Uint()
		case 8:
			s.Applied = d.Uint()
		case 9:
			s.Snapshot = d.Uint()
		case 10:
			c, err := consensus.DecodeConfiguration(d.Bytes())
			d.Fail(err)
			s.Configuration = c
		}
	}
	return s, d.Err()
}
