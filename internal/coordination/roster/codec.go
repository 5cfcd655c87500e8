package roster

import (
	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/throttle"
	"snipetack/internal/coordination/warmup"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/wire"
)

// EncodeReport returns the wire form of a report.
func EncodeReport(r Report) []byte {
	e := wire.NewEncoder()
	encodeVM(e, 1, r.VM)
	e.Int(2, r.Incarnation)
	e.Uint(3, r.Version)
	e.Uint(4, r.DirectoryTag)
	e.Uint(5, r.ListTag)
	encodeFloats(e, 6, r.Shares)
	encodeFloats(e, 7, r.Demand)
	e.Bool(8, r.Leads)
	e.Texts(9, r.Members)
	e.Bool(10, r.RequestsShares)
	e.Uint(11, r.QuarantineRevision)
	for _, c := range r.Crashes {
		encodeCrash(e, 12, c)
	}
	e.Texts(13, r.Matched)
	for _, c := range r.Cleared {
		e.Record(14, func(e *wire.Encoder) {
			e.Text(1, c.Segment)
			e.Duration(2, c.Age)
		})
	}
	encodeLimits(e, 15, r.Limits)
	e.Float(16, r.Even)
	e.Bool(17, r.Unpacks)
	e.Bool(18, r.PatchesLists)
	e.Bool(19, r.Apart)
	encodeCold(e, 21, r.Cold)
	e.Uint(25, r.EvacuationRevision)
	e.Bool(26, r.Evacuates)
	e.Texts(27, r.Awaited)
	e.Texts(28, r.Refuted)
	return e.Encoded()
}

// DecodeReport reads the wire form of a report.
func DecodeReport(b []byte) (Report, error) {
	r := Report{Shares: map[string]float64{}, Demand: map[string]float64{}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.VM = decodeVM(d)
		case 2:
			r.Incarnation = d.Int()
		case 3:
			r.Version = d.Uint()
		case 4:
			r.DirectoryTag = d.Uint()
		case 5:
			r.ListTag = d.Uint()
		case 6:
			decodeFloat(d, r.Shares)
		case 7:
			decodeFloat(d, r.Demand)
		case 8:
			r.Leads = d.Bool()
		case 9:
			r.Members = append(r.Members, d.Text())
		case 10:
			r.RequestsShares = d.Bool()
		case 11:
			r.QuarantineRevision = d.Uint()
		case 12:
			r.Crashes = append(r.Crashes, decodeCrash(d))
		case 13:
			r.Matched = append(r.Matched, d.Text())
		case 14:
			r.Cleared = append(r.Cleared, decodeClearance(d))
		case 15:
			r.Limits = append(r.Limits, decodeLimit(d))
		case 16:
			r.Even = d.Float()
		case 17:
			r.Unpacks = d.Bool()
		case 18:
			r.PatchesLists = d.Bool()
		case 19:
			r.Apart = d.Bool()
		case 21:
			r.Cold = append(r.Cold, decodeCold(d))
		case 25:
			r.EvacuationRevision = d.Uint()
		case 26:
			r.Evacuates = d.Bool()
		case 27:
			r.Awaited = append(r.Awaited, d.Text())
		case 28:
			r.Refuted = append(r.Refuted, d.Text())
		}
	}
	return r, d.Err()
}

// EncodeBulletin returns the wire form of a bulletin.
func EncodeBulletin(b Bulletin) []byte {
	e := wire.NewEncoder()
	e.Text(1, b.Leader)
	e.Bool(2, b.Leads)
	e.Uint(3, b.Version)
	e.Bytes(4, b.Document)
	e.Uint(5, b.DirectoryTag)
	for _, v := range b.VMs {
		encodeVM(e, 6, v)
	}
	e.Uint(7, b.ListTag)
	for _, u := range b.Upstreams {
		encodeUpstream(e, 8, u)
	}
	e.Duration(9, b.ListAge)
	e.Texts(10, b.InitialMembers)
	e.Texts(11, b.Leaving)
	encodeFloats(e, 12, b.Shares)
	e.Text(13, b.BatchLeader)
	e.Texts(14, b.BatchMembers)
	e.Texts(15, b.Controls)
	e.Int(16, b.Epoch)
	e.Uint(17, b.QuarantineRevision)
	plan.EncodeQuarantines(e, 18, b.Quarantines)
	e.Texts(19, b.Suspects)
	encodeLimits(e, 20, b.Limits)
	e.Float(21, b.Even)
	e.Uint(22, uint64(max(0, b.Fleet)))
	e.Uint(23, uint64(max(0, b.Entries)))
	e.Bool(24, b.Mirrors)
	e.Duration(25, b.Age)
	e.Bytes(26, b.Packed)
	e.Uint(27, b.ListBase)
	e.Texts(28, b.Removed)
	encodeCold(e, 33, b.Cold)
	e.Uint(35, b.EvacuationRevision)
	plan.EncodeEvacuations(e, 36, b.Evacuations)
	e.Bool(37, b.Evacuates)
	return e.Encoded()
}

// DecodeBulletin reads the wire form of a bulletin.
func DecodeBulletin(x []byte) (Bulletin, error) {
	b := Bulletin{Shares: map[string]float64{}}
	d := wire.NewDecoder(x)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			b.Leader = d.Text()
		case 2:
			b.Leads = d.Bool()
		case 3:
			b.Version = d.Uint()
		case 4:
			b.Document = d.Bytes()
		case 5:
			b.DirectoryTag = d.Uint()
		case 6:
			b.VMs = append(b.VMs, decodeVM(d))
		case 10:
			b.InitialMembers = append(b.InitialMembers, d.Text())
		case 11:
			b.Leaving = append(b.Leaving, d.Text())
		case 12:
			decodeFloat(d, b.Shares)
		case 13:
			b.BatchLeader = d.Text()
		case 14:
			b.BatchMembers = append(b.BatchMembers, d.Text())
		case 15:
			b.Controls = append(b.Controls, d.Text())
		case 16:
			b.Epoch = d.Int()
		case 17:
			b.QuarantineRevision = d.Uint()
		case 18:
			b.Quarantines = append(b.Quarantines, plan.DecodeQuarantine(d))
		case 19:
			b.Suspects = append(b.Suspects, d.Text())
		case 20:
			b.Limits = append(b.Limits, decodeLimit(d))
		case 21:
			b.Even = d.Float()
		case 22:
			b.Fleet = int(d.Uint())
		case 23:
			b.Entries = int(d.Uint())
		case 24:
			b.Mirrors = d.Bool()
		case 25:
			b.Age = d.Duration()
		case 26:
			b.Packed = d.Bytes()
		default:
			decodeList(&b, f, d)
			decodePlacement(&b, f, d)
		}
	}
	return b, d.Err()
}

// decodePlacement decodes the fields of a bulletin that say where requests may go.
func decodePlacement(b *Bulletin, field int, d *wire.Decoder) {
	switch field {
	case 33:
		b.Cold = append(b.Cold, decodeCold(d))
	case 35:
		b.EvacuationRevision = d.Uint()
	case 36:
		b.Evacuations = append(b.Evacuations, plan.DecodeEvacuation(d))
	case 37:
		b.Evacuates = d.Bool()
	}
}

// decodeList reads a field of a bulletin that belongs to the list of upstreams.
func decodeList(b *Bulletin, field int, d *wire.Decoder) {
	switch field {
	case 7:
		b.ListTag = d.Uint()
	case 8:
		b.Upstreams = append(b.Upstreams, decodeUpstream(d))
	case 9:
		b.ListAge = d.Duration()
	case 27:
		b.ListBase = d.Uint()
	case 28:
		b.Removed = append(b.Removed, d.Text())
	}
}

func encodeVM(e *wire.Encoder, field int, v VM) {
	e.Record(field, func(e *wire.Encoder) {
		e.Text(1, v.Name)
		e.Text(2, v.Address)
		e.Text(3, string(v.Class))
		e.Text(4, v.Zone)
	})
}

func decodeVM(p *wire.Decoder) VM {
	var v VM
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			v.Address = d.Text()
		case 3:
			v.Class = Class(d.Text())
		case 4:
			v.Zone = d.Text()
		}
	}
	p.Fail(d.Err())
	return v
}

func encodeUpstream(e *wire.Encoder, field int, u Upstream) {
	e.Record(field, func(e *wire.Encoder) {
		e.Text(1, u.ID)
		e.Text(2, u.Service)
		e.Text(3, u.Address)
		e.Text(4, u.Zone)
		e.Uint(5, uint64(max(0, u.Slots)))
		e.Bool(6, u.Draining)
		e.Duration(7, u.Cold)
		e.Int(8, u.Born)
		e.Text(9, u.Version)
	})
}

func decodeUpstream(p *wire.Decoder) Upstream {
	var u Upstream
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			u.ID = d.Text()
		case 2:
			u.Service = d.Text()
		case 3:
			u.Address = d.Text()
		case 4:
			u.Zone = d.Text()
		case 5:
			u.Slots = int(d.Uint())
		case 6:
			u.Draining = d.Bool()
		case 7:
			u.Cold = d.Duration()
		case 8:
			u.Born = d.Int()
		case 9:
			u.Version = d.Text()
		}
	}
	p.Fail(d.Err())
	return u
}

func encodeCrash(e *wire.Encoder, field int, c quarantine.Crash) {
	e.Record(field, func(e *wire.Encoder) {
		e.Text(1, c.Upstream)
		e.Duration(2, c.Age)
		e.Uint(3, uint64(max(0, c.Observed)))
		for _, s := range c.Sound {
			e.Record(4, func(e *wire.Encoder) {
				e.Text(1, s.Segment)
				e.Uint(2, uint64(max(0, s.Count)))
			})
		}
		for _, s := range c.Suspects {
			e.Record(5, func(e *wire.Encoder) {
				e.Bool(1, s.Begun)
				e.Texts(2, s.Segments)
				e.Text(3, s.Fingerprint)
			})
		}
		e.Uint(6, uint64(max(0, c.ObservedRequests)))
	})
}

func decodeCrash(p *wire.Decoder) quarantine.Crash {
	var c quarantine.Crash
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Upstream = d.Text()
		case 2:
			c.Age = d.Duration()
		case 3:
			c.Observed = int(d.Uint())
		case 4:
			c.Sound = append(c.Sound, decodeSegmentCount(d))
		case 5:
			c.Suspects = append(c.Suspects, decodeSuspect(d))
		case 6:
			c.ObservedRequests = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return c
}

func decodeSegmentCount(p *wire.Decoder) quarantine.SegmentCount {
	var s quarantine.SegmentCount
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.Segment = d.Text()
		case 2:
			s.Count = int(d.Uint())
		}
	}
	p.Fail(d.Err())
	return s
}

func decodeClearance(p *wire.Decoder) quarantine.Clearance {
	var c quarantine.Clearance
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Segment = d.Text()
		case 2:
			c.Age = d.Duration()
		}
	}
	p.Fail(d.Err())
	return c
}

func decodeSuspect(p *wire.Decoder) quarantine.Suspect {
	var s quarantine.Suspect
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.Begun = d.Bool()
		case 2:
			s.Segments = append(s.Segments, d.Text())
		case 3:
			s.Fingerprint = d.Text()
		}
	}
	p.Fail(d.Err())
	return s
}

func encodeLimits(e *wire.Encoder, field int, l []throttle.Limit) {
	for _, x := range l {
		e.Record(field, func(e *wire.Encoder) {
			e.Text(1, x.Upstream)
			e.Float(2, x.Rate)
			e.Duration(3, x.Age)
		})
	}
}

func decodeLimit(p *wire.Decoder) throttle.Limit {
	var l throttle.Limit
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			l.Upstream = d.Text()
		case 2:
			l.Rate = d.Float()
		case 3:
			l.Age = d.Duration()
		}
	}
	p.Fail(d.Err())
	return l
}

func encodeCold(e *wire.Encoder, field int, l []warmup.Word) {
	for _, x := range l {
		e.Record(field, func(e *wire.Encoder) {
			e.Text(1, x.Upstream)
			e.Duration(2, x.Age)
			e.Duration(3, x.Left)
			e.Bool(4, x.Event)
		})
	}
}

func decodeCold(p *wire.Decoder) warmup.Word {
	var w warmup.Word
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			w.Upstream = d.Text()
		case 2:
			w.Age = d.Duration()
		case 3:
			w.Left = d.Duration()
		case 4:
			w.Event = d.Bool()
		}
	}
	p.Fail(d.Err())
	return w
}

func encodeFloats(e *wire.Encoder, field int, m map[string]float64) {
	for k, v := range m {
		e.Record(field, func(e *wire.Encoder) {
			e.Text(1, k)
			e.Float(2, v)
		})
	}
}

func decodeFloat(p *wire.Decoder, to map[string]float64) {
	k, v := "", 0.0
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			k = d.Text()
		case 2:
			v = d.Float()
		}
	}
	p.Fail(d.Err())
	to[k] = v
}
