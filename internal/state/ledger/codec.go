package ledger

import (
	"github.com/pkg/errors"

	"snipetack/internal/state/result"
	"snipetack/internal/state/wire"
)

// EncodeCommand returns the wire form of a command.
func EncodeCommand(c Command) []byte {
	e := wire.NewEncoder()
	e.Time(1, c.At)
	switch {
	case c.Open != nil:
		e.Record(2, func(e *wire.Encoder) { encodeFile(e, c.Open) })
	case c.Append != nil:
		e.Record(3, func(e *wire.Encoder) {
			e.Text(1, c.Append.File)
			e.Uint(2, uint64(c.Append.Number))
			e.Record(3, func(e *wire.Encoder) { encodeChunk(e, c.Append.Chunk) })
		})
	case c.Seal != nil:
		e.Record(4, func(e *wire.Encoder) { encodeSeal(e, c.Seal) })
	case c.Drop != nil:
		e.Record(5, func(e *wire.Encoder) { encodeTextPair(e, c.Drop.File, c.Drop.Account) })
	case c.Create != nil:
		e.Record(6, func(e *wire.Encoder) {
			e.Record(1, func(e *wire.Encoder) { encodeJob(e, c.Create.Job) })
			e.Duration(2, c.Create.Resend)
		})
	case c.Cancel != nil:
		e.Record(7, func(e *wire.Encoder) { encodeTextPair(e, c.Cancel.Job, c.Cancel.Account) })
	case c.Take != nil:
		e.Record(8, func(e *wire.Encoder) {
			e.Text(1, c.Take.Upstream)
			e.Text(2, c.Take.VM)
			e.Uint(3, c.Take.Epoch)
			e.Uint(4, c.Take.Renewal)
		})
	case c.Release != nil:
		e.Record(9, func(e *wire.Encoder) {
			e.Text(1, c.Release.Upstream)
			e.Uint(2, c.Release.Epoch)
		})
	case c.Report != nil:
		e.Record(10, func(e *wire.Encoder) { encodeReport(e, c.Report) })
	}
	e.Bool(11, c.Prune)
	return e.Encoded()
}

// DecodeCommand reads the wire form of a command.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.At = d.Time()
		case 2:
			v := decodeFile(d)
			c.Open = &v
		case 3:
			c.Append = decodeAppend(d)
		case 4:
			c.Seal = decodeSeal(d)
		case 5:
			l := decodeTextPair(d)
			c.Drop = &Drop{File: l[0], Account: l[1]}
		case 6:
			c.Create = decodeCreate(d)
		case 7:
			l := decodeTextPair(d)
			c.Cancel = &Cancel{Job: l[0], Account: l[1]}
		case 8:
			c.Take = decodeTake(d)
		case 9:
			c.Release = decodeRelease(d)
		case 10:
			c.Report = decodeReport(d)
		case 11:
			c.Prune = d.Bool()
		}
	}
	return c, errors.Wrap(d.Err(), "decoding a batch command")
}

// EncodeOutcome returns the wire form of an outcome.
func EncodeOutcome(o Outcome) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(o.Code))
	e.Text(2, o.Detail)
	if o.Job != nil {
		e.Record(3, func(e *wire.Encoder) { encodeJob(e, *o.Job) })
	}
	if o.File != nil {
		e.Record(4, func(e *wire.Encoder) { encodeFile(e, o.File) })
	}
	e.Uint(5, o.Epoch)
	for _, g := range o.Grants {
		e.Record(6, func(e *wire.Encoder) {
			encodeRef(e, 1, g.Ref)
			e.Uint(2, uint64(g.Attempts))
			e.Uint(3, uint64(g.Suspicion))
		})
	}
	for _, r := range o.Revoked {
		encodeRef(e, 7, r)
	}
	e.Bool(8, o.Stale)
	return e.Encoded()
}

// DecodeOutcome reads the wire form of an outcome.
func DecodeOutcome(b []byte) (Outcome, error) {
	var o Outcome
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			o.Code = result.Code(d.Uint())
		case 2:
			o.Detail = d.Text()
		case 3:
			v := decodeJob(d)
			o.Job = &v
		case 4:
			v := decodeFile(d)
			o.File = &v
		case 5:
			o.Epoch = d.Uint()
		case 6:
			o.Grants = append(o.Grants, decodeGrant(d))
		case 7:
			o.Revoked = append(o.Revoked, decodeRef(d))
		case 8:
			o.Stale = d.Bool()
		}
	}
	return o, errors.Wrap(d.Err(), "decoding the outcome of a batch command")
}

func encodeTextPair(e *wire.Encoder, a, b string) {
	e.Text(1, a)
	e.Text(2, b)
}

func decodeTextPair(p *wire.Decoder) [2]string {
	var l [2]string
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f == 1 || f == 2 {
			l[f-1] = d.Text()
		}
	}
	p.Fail(d.Err())
	return l
}

func decodeAppend(p *wire.Decoder) *Append {
	var a Append
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a.File = d.Text()
		case 2:
			a.Number = int(d.Uint())
		case 3:
			a.Chunk = decodeChunk(d)
		}
	}
	p.Fail(d.Err())
	return &a
}

func encodeSeal(e *wire.Encoder, s *Seal) {
	e.Text(1, s.File)
	e.Bytes(2, s.Digest[:])
	e.Text(3, s.Model)
	e.Text(4, s.Endpoint)
	e.Uint(5, uint64(s.Tokens))
}

func decodeSeal(p *wire.Decoder) *Seal {
	var s Seal
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.File = d.Text()
		case 2:
			copy(s.Digest[:], d.Bytes())
		case 3:
			s.Model = d.Text()
		case 4:
			s.Endpoint = d.Text()
		case 5:
			s.Tokens = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return &s
}

func decodeCreate(p *wire.Decoder) *Create {
	var c Create
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Job = decodeJob(d)
		case 2:
			c.Resend = d.Duration()
		}
	}
	p.Fail(d.Err())
	return &c
}

func decodeTake(p *wire.Decoder) *Take {
	var t Take
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			t.Upstream = d.Text()
		case 2:
			t.VM = d.Text()
		case 3:
			t.Epoch = d.Uint()
		case 4:
			t.Renewal = d.Uint()
		}
	}
	p.Fail(d.Err())
	return &t
}

func decodeRelease(p *wire.Decoder) *Release {
	var r Release
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.Upstream = d.Text()
		case 2:
			r.Epoch = d.Uint()
		}
	}
	p.Fail(d.Err())
	return &r
}

func decodeGrant(p *wire.Decoder) Grant {
	var g Grant
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			g.Ref = decodeRef(d)
		case 2:
			g.Attempts = int(d.Uint())
		case 3:
			g.Suspicion = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return g
}

func encodeRef(e *wire.Encoder, field int, r Ref) {
	e.Record(field, func(e *wire.Encoder) {
		e.Text(1, r.Job)
		e.Uint(2, uint64(r.Item))
	})
}

func decodeRef(p *wire.Decoder) Ref {
	var r Ref
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.Job = d.Text()
		case 2:
			r.Item = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return r
}
