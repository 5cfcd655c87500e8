package ledger

import "snipetack/internal/state/wire"

func encodeChunk(e *wire.Encoder, c Chunk) {
	e.Uint(1, uint64(c.First))
	e.Uint(2, uint64(c.Lines))
	e.Uint(3, uint64(c.Start))
	e.Uint(4, uint64(c.Raw))
	for _, x := range c.Cuts {
		e.Record(5, func(e *wire.Encoder) {
			e.Uint(1, uint64(x.At))
			e.Uint(2, uint64(x.Length))
		})
	}
	e.Bytes(6, c.Data)
}

func decodeChunk(p *wire.Decoder) Chunk {
	var c Chunk
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.First = int(d.Uint())
		case 2:
			c.Lines = int(d.Uint())
		case 3:
			c.Start = int64(d.Uint())
		case 4:
			c.Raw = int(d.Uint())
		case 5:
			l := decodeIntPair(d)
			c.Cuts = append(c.Cuts, Cut{At: l[0], Length: l[1]})
		case 6:
			c.Data = append([]byte(nil), d.Bytes()...)
		}
	}
	p.Fail(d.Err())
	return c
}

func encodeFile(e *wire.Encoder, f *File) {
	e.Text(1, f.ID)
	e.Text(2, f.Account)
	e.Text(3, f.Name)
	e.Text(4, f.Purpose)
	e.Text(5, f.Key)
	e.Time(6, f.CreatedAt)
	e.Uint(7, uint64(f.Lines))
	e.Uint(8, uint64(f.Bytes))
	e.Bytes(9, f.Digest[:])
	e.Bool(10, f.Sealed)
	e.Uint(11, uint64(f.Declared))
	e.Text(12, f.Model)
	e.Text(13, f.Endpoint)
	e.Uint(14, uint64(f.Tokens))
}

func decodeFile(p *wire.Decoder) File {
	var v File
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		decodeFileField(&v, f, d)
	}
	p.Fail(d.Err())
	return v
}

func decodeFileField(v *File, f int, d *wire.Decoder) {
	switch f {
	case 1:
		v.ID = d.Text()
	case 2:
		v.Account = d.Text()
	case 3:
		v.Name = d.Text()
	case 4:
		v.Purpose = d.Text()
	case 5:
		v.Key = d.Text()
	case 6:
		v.CreatedAt = d.Time()
	case 7:
		v.Lines = int(d.Uint())
	case 8:
		v.Bytes = int64(d.Uint())
	case 9:
		copy(v.Digest[:], d.Bytes())
	case 10:
		v.Sealed = d.Bool()
	case 11:
		v.Declared = int64(d.Uint())
	case 12:
		v.Model = d.Text()
	case 13:
		v.Endpoint = d.Text()
	case 14:
		v.Tokens = int(d.Uint())
	}
}

func encodeJob(e *wire.Encoder, j Job) {
	e.Text(1, j.ID)
	e.Text(2, j.Account)
	e.Text(3, j.Service)
	e.Text(4, j.Model)
	e.Text(5, j.Endpoint)
	e.Text(6, j.File)
	e.Text(7, j.Key)
	e.Bytes(8, j.Digest[:])
	e.Text(9, j.Window)
	for _, p := range j.Metadata {
		e.Record(10, func(e *wire.Encoder) { encodeTextPair(e, p.Name, p.Value) })
	}
	e.Int(11, int64(j.Priority))
	e.Bool(12, j.Repeatable)
	e.Float(13, j.Weight)
	e.Time(14, j.CreatedAt)
	e.Time(15, j.Due)
	e.Time(16, j.CancelledAt)
	e.Time(17, j.EndedAt)
	e.Text(18, string(j.Status))
	e.Uint(19, uint64(j.Items))
	e.Uint(20, uint64(j.Tokens))
	e.Uint(21, uint64(j.Done))
	e.Uint(22, uint64(j.Failed))
	e.Uint(23, uint64(j.Leased))
	e.Uint(24, uint64(j.Output))
	e.Uint(25, uint64(j.Errors))
}

func decodeJob(p *wire.Decoder) Job {
	var j Job
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f <= 13 {
			decodeParameters(&j, f, d)
		} else {
			decodeProgress(&j, f, d)
		}
	}
	p.Fail(d.Err())
	return j
}

// decodeParameters reads one of the parameters that the job was created with.
func decodeParameters(j *Job, f int, d *wire.Decoder) {
	switch f {
	case 1:
		j.ID = d.Text()
	case 2:
		j.Account = d.Text()
	case 3:
		j.Service = d.Text()
	case 4:
		j.Model = d.Text()
	case 5:
		j.Endpoint = d.Text()
	case 6:
		j.File = d.Text()
	case 7:
		j.Key = d.Text()
	case 8:
		copy(j.Digest[:], d.Bytes())
	case 9:
		j.Window = d.Text()
	case 10:
		l := decodeTextPair(d)
		j.Metadata = append(j.Metadata, Pair{Name: l[0], Value: l[1]})
	case 11:
		j.Priority = int(d.Int())
	case 12:
		j.Repeatable = d.Bool()
	case 13:
		j.Weight = d.Float()
	}
}

// decodeProgress reads one of the job's times, its status, or a count of its items, tokens or bytes.
func decodeProgress(j *Job, f int, d *wire.Decoder) {
	switch f {
	case 14:
		j.CreatedAt = d.Time()
	case 15:
		j.Due = d.Time()
	case 16:
		j.CancelledAt = d.Time()
	case 17:
		j.EndedAt = d.Time()
	case 18:
		j.Status = Status(d.Text())
	case 19:
		j.Items = int(d.Uint())
	case 20:
		j.Tokens = int(d.Uint())
	case 21:
		j.Done = int(d.Uint())
	case 22:
		j.Failed = int(d.Uint())
	case 23:
		j.Leased = int(d.Uint())
	case 24:
		j.Output = int64(d.Uint())
	case 25:
		j.Errors = int64(d.Uint())
	}
}

func encodeLease(e *wire.Encoder, l Lease) {
	e.Text(1, l.Upstream)
	e.Text(2, l.VM)
	e.Uint(3, l.Epoch)
	e.Uint(4, l.Renewal)
	e.Uint(5, uint64(l.Held))
}

func decodeLease(p *wire.Decoder) Lease {
	var l Lease
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			l.Upstream = d.Text()
		case 2:
			l.VM = d.Text()
		case 3:
			l.Epoch = d.Uint()
		case 4:
			l.Renewal = d.Uint()
		case 5:
			l.Held = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return l
}
