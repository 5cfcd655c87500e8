package ledger

import (
	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// EncodeQuery returns the wire form of a query.
func EncodeQuery(q Query) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(q.Subject))
	e.Text(2, q.Account)
	e.Text(3, q.ID)
	e.Text(4, q.After)
	e.Uint(5, uint64(q.Limit))
	e.Uint(6, uint64(q.Offset))
	return e.Encoded()
}

// DecodeQuery reads the wire form of a query.
func DecodeQuery(b []byte) (Query, error) {
	var q Query
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			q.Subject = Subject(d.Uint())
		case 2:
			q.Account = d.Text()
		case 3:
			q.ID = d.Text()
		case 4:
			q.After = d.Text()
		case 5:
			q.Limit = int(d.Uint())
		case 6:
			q.Offset = int64(d.Uint())
		}
	}
	return q, errors.Wrap(d.Err(), "decoding a batch query")
}

// EncodeResponse returns the wire form of a response.
func EncodeResponse(a Response) []byte {
	e := wire.NewEncoder()
	for _, j := range a.Jobs {
		e.Record(1, func(e *wire.Encoder) { encodeJob(e, j) })
	}
	for _, f := range a.Files {
		e.Record(2, func(e *wire.Encoder) { encodeFile(e, &f) })
	}
	for _, c := range a.Chunks {
		e.Record(3, func(e *wire.Encoder) { encodeChunk(e, c) })
	}
	for _, l := range a.Leases {
		e.Record(4, func(e *wire.Encoder) { encodeLease(e, l) })
	}
	e.Bool(5, a.More)
	return e.Encoded()
}

// DecodeResponse reads the wire form of a response.
func DecodeResponse(b []byte) (Response, error) {
	var a Response
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a.Jobs = append(a.Jobs, decodeJob(d))
		case 2:
			a.Files = append(a.Files, decodeFile(d))
		case 3:
			a.Chunks = append(a.Chunks, decodeChunk(d))
		case 4:
			a.Leases = append(a.Leases, decodeLease(d))
		case 5:
			a.More = d.Bool()
		}
	}
	return a, errors.Wrap(d.Err(), "decoding the response to a batch query")
}
