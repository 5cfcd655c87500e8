package ledger

import "snipetack/internal/state/wire"

func encodeReport(e *wire.Encoder, r *Report) {
	e.Text(1, r.Upstream)
	e.Uint(2, r.Epoch)
	e.Uint(3, r.Sequence)
	for _, b := range r.Bundles {
		e.Record(4, func(e *wire.Encoder) { encodeBundle(e, b) })
	}
	for _, x := range r.Retries {
		e.Record(5, func(e *wire.Encoder) {
			encodeRef(e, 1, x.Ref)
			e.Time(2, x.NotBefore)
		})
	}
	for _, x := range r.Released {
		encodeRef(e, 6, x)
	}
	for _, x := range r.Broken {
		encodeRef(e, 7, x)
	}
	for _, c := range r.Claims {
		e.Record(8, func(e *wire.Encoder) {
			e.Text(1, c.Job)
			e.Uint(2, uint64(c.Items))
		})
	}
}

func decodeReport(p *wire.Decoder) *Report {
	var r Report
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.Upstream = d.Text()
		case 2:
			r.Epoch = d.Uint()
		case 3:
			r.Sequence = d.Uint()
		case 4:
			r.Bundles = append(r.Bundles, decodeBundle(d))
		case 5:
			r.Retries = append(r.Retries, decodeRetry(d))
		case 6:
			r.Released = append(r.Released, decodeRef(d))
		case 7:
			r.Broken = append(r.Broken, decodeRef(d))
		case 8:
			r.Claims = append(r.Claims, decodeClaim(d))
		}
	}
	p.Fail(d.Err())
	return &r
}

func encodeBundle(e *wire.Encoder, b Bundle) {
	e.Text(1, b.Job)
	e.Bool(2, b.Failed)
	for i, n := range b.Items {
		e.Record(3, func(e *wire.Encoder) {
			e.Uint(1, uint64(n))
			e.Uint(2, uint64(b.Lengths[i]))
		})
	}
	e.Bytes(4, b.Data)
}

func decodeBundle(p *wire.Decoder) Bundle {
	var b Bundle
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			b.Job = d.Text()
		case 2:
			b.Failed = d.Bool()
		case 3:
			l := decodeIntPair(d)
			b.Items = append(b.Items, l[0])
			b.Lengths = append(b.Lengths, l[1])
		case 4:
			b.Data = append([]byte(nil), d.Bytes()...)
		}
	}
	p.Fail(d.Err())
	return b
}

func decodeRetry(p *wire.Decoder) Retry {
	var r Retry
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.Ref = decodeRef(d)
		case 2:
			r.NotBefore = d.Time()
		}
	}
	p.Fail(d.Err())
	return r
}

func decodeClaim(p *wire.Decoder) Claim {
	var c Claim
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Job = d.Text()
		case 2:
			c.Items = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return c
}

// decodeIntPair reads a record of two integers.
func decodeIntPair(p *wire.Decoder) [2]int {
	var l [2]int
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f == 1 || f == 2 {
			l[f-1] = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return l
}
