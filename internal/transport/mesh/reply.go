package mesh

import (
	"github.com/pkg/errors"

	"snipetack/internal/state/result"
	"snipetack/internal/state/wire"
)

// encodeReply returns the wire form of a call's response, or of its failure when err is not nil.
func encodeReply(response []byte, err error) []byte {
	e := wire.NewEncoder()
	if err == nil {
		e.Bytes(1, response)
		return e.Encoded()
	}
	f := result.Of(err)
	e.Record(2, func(e *wire.Encoder) {
		e.Uint(1, uint64(f.Code))
		e.Text(2, string(f.Ran))
		e.Text(3, f.Detail)
		e.Duration(4, f.RetryAfter)
	})
	return e.Encoded()
}

// decodeReply returns a call's response, or its failure as the error, a *result.Failure.
func decodeReply(b []byte) ([]byte, error) {
	var a []byte
	var f *result.Failure
	d := wire.NewDecoder(b)
	for n, ok := d.Next(); ok; n, ok = d.Next() {
		switch n {
		case 1:
			a = d.Bytes()
		case 2:
			f = decodeFailure(d.Record())
		}
	}
	if err := d.Err(); err != nil {
		return nil, errors.Wrap(err, "decoding an answer")
	}
	if f != nil {
		return nil, f
	}
	return a, nil
}

func decodeFailure(d *wire.Decoder) *result.Failure {
	f := &result.Failure{}
	for n, ok := d.Next(); ok; n, ok = d.Next() {
		switch n {
		case 1:
			f.Code = result.Code(d.Uint())
		case 2:
			f.Ran = result.Ran(d.Text())
		case 3:
			f.Detail = d.Text()
		case 4:
			f.RetryAfter = d.Duration()
		}
	}
	return f
}
