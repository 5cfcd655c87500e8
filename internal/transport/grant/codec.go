package grant

import (
	"github.com/pkg/errors"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/state/wire"
)

// EncodeRequest returns the wire form of a token request.
func EncodeRequest(a quota.TokenRequest) []byte {
	e := wire.NewEncoder()
	e.Uint(1, a.Term)
	for _, w := range a.Demands {
		e.Record(2, func(e *wire.Encoder) {
			encodeKey(e, w.Key)
			e.Uint(3, uint64(w.Need))
			e.Uint(4, uint64(w.Reserve))
		})
	}
	for _, r := range a.Returns {
		e.Record(3, func(e *wire.Encoder) {
			encodeKey(e, r.Key)
			e.Uint(3, uint64(r.Tokens))
		})
	}
	for _, s := range a.Settled {
		e.Record(4, func(e *wire.Encoder) {
			encodeKey(e, s.Key)
			e.Uint(3, s.GrantID)
			e.Uint(4, uint64(s.Unspent))
		})
	}
	return e.Encoded()
}

// DecodeRequest reads the wire form of a token request.
func DecodeRequest(b []byte) (quota.TokenRequest, error) {
	var a quota.TokenRequest
	d := wire.NewDecoder(b)
	for n, ok := d.Next(); ok; n, ok = d.Next() {
		switch n {
		case 1:
			a.Term = d.Uint()
		case 2:
			k, x, y := decodeEntry(d)
			a.Demands = append(a.Demands, quota.Demand{Key: k, Need: int(x), Reserve: int(y)})
		case 3:
			k, x, _ := decodeEntry(d)
			a.Returns = append(a.Returns, quota.Return{Key: k, Tokens: int(x)})
		case 4:
			k, x, y := decodeEntry(d)
			a.Settled = append(a.Settled, quota.Settlement{Key: k, GrantID: x, Unspent: int(y)})
		}
	}
	return a, errors.Wrap(d.Err(), "decoding a token request")
}

// EncodeResponse returns the wire form of a token response.
func EncodeResponse(a quota.TokenResponse) []byte {
	e := wire.NewEncoder()
	e.Uint(1, a.Term)
	for _, g := range a.Grants {
		e.Record(2, func(e *wire.Encoder) {
			e.Uint(1, uint64(g.Tokens))
			e.Uint(2, g.ID)
			e.Duration(3, g.Validity)
			e.Duration(4, g.Wait)
		})
	}
	return e.Encoded()
}

// DecodeResponse reads the wire form of a token response.
func DecodeResponse(b []byte) (quota.TokenResponse, error) {
	var a quota.TokenResponse
	d := wire.NewDecoder(b)
	for n, ok := d.Next(); ok; n, ok = d.Next() {
		switch n {
		case 1:
			a.Term = d.Uint()
		case 2:
			r := d.Record()
			a.Grants = append(a.Grants, decodeGrant(r))
			d.Fail(r.Err())
		}
	}
	return a, errors.Wrap(d.Err(), "decoding a token response")
}

func encodeKey(e *wire.Encoder, k quota.Key) {
	e.Text(1, k.Account)
	e.Uint(2, uint64(k.Class))
}

// decodeEntry reads a demand, return or settlement: a key and the two numbers that follow it.
func decodeEntry(p *wire.Decoder) (k quota.Key, x, y uint64) {
	d := p.Record()
	for n, ok := d.Next(); ok; n, ok = d.Next() {
		switch n {
		case 1:
			k.Account = d.Text()
		case 2:
			k.Class = quota.Class(d.Uint())
		case 3:
			x = d.Uint()
		case 4:
			y = d.Uint()
		}
	}
	p.Fail(d.Err())
	return k, x, y
}

func decodeGrant(d *wire.Decoder) quota.Grant {
	var g quota.Grant
	for n, ok := d.Next(); ok; n, ok = d.Next() {
		switch n {
		case 1:
			g.Tokens = int(d.Uint())
		case 2:
			g.ID = d.Uint()
		case 3:
			g.Validity = d.Duration()
		case 4:
			g.Wait = d.Duration()
		}
	}
	return g
}
