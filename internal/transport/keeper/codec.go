package keeper

import (
	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// request is a command for a group, or a read barrier without a command.
type request struct {
	Group     uint32
	Command   []byte
	Forwarded bool // by another keeper to the leader it knows; not forwarded again
}

func encodeRequest(r request) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(r.Group))
	e.Bytes(2, r.Command)
	e.Bool(3, r.Forwarded)
	return e.Encoded()
}

func decodeRequest(b []byte) (request, error) {
	var r request
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.Group = uint32(d.Uint())
		case 2:
			r.Command = d.Bytes()
		case 3:
			r.Forwarded = d.Bool()
		}
	}
	return r, errors.Wrap(d.Err(), "decoding a request to a keeper")
}
