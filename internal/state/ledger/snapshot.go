package ledger

import (
	"maps"
	"slices"

	"snipetack/internal/state/wire"
)

func encodeMachine(m *Machine) []byte {
	e := wire.NewEncoder()
	for _, id := range slices.Sorted(maps.Keys(m.files)) {
		e.Record(1, func(e *wire.Encoder) { encodeFileContent(e, m.files[id]) })
	}
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		e.Record(2, func(e *wire.Encoder) { encodeJobState(e, m.jobs[id]) })
	}
	for _, id := range slices.Sorted(maps.Keys(m.leases)) {
		e.Record(3, func(e *wire.Encoder) { encodeLeaseState(e, m.leases[id]) })
	}
	return e.Encoded()
}

func decodeMachine(b []byte, l Limits) (*Machine, error) {
	m := New(l)
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v := decodeFileContent(d)
			m.files[v.ID] = &v
			m.stored += v.stored
		case 2:
			w := decodeJobState(d)
			m.jobs[w.ID] = w
			m.stored += w.output.stored + w.errors.stored
		case 3:
			h := decodeLeaseState(d)
			m.leases[h.Upstream] = h
		}
	}
	return m, d.Err()
}

func encodeFileContent(e *wire.Encoder, f *File) {
	e.Record(1, func(e *wire.Encoder) { encodeFile(e, f) })
	for _, c := range f.chunks {
		e.Record(2, func(e *wire.Encoder) { encodeChunk(e, c) })
	}
}

func decodeFileContent(p *wire.Decoder) File {
	var v File
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v = decodeFile(d)
		case 2:
			c := decodeChunk(d)
			v.chunks = append(v.chunks, c)
			v.stored += int64(len(c.Data))
		}
	}
	p.Fail(d.Err())
	return v
}

func encodeJobState(e *wire.Encoder, w *jobState) {
	e.Record(1, func(e *wire.Encoder) { encodeJob(e, w.Job) })
	s := make([]byte, len(w.states))
	for i, v := range w.states {
		s[i] = byte(v)
	}
	e.Bytes(2, s)
	e.Uint(3, uint64(w.next))
	for _, r := range w.returned {
		e.Record(4, func(e *wire.Encoder) {
			e.Uint(1, uint64(r.item))
			e.Time(2, r.notBefore)
		})
	}
	encodeCounts(e, 5, w.attempts)
	encodeCounts(e, 6, w.suspicion)
	e.Record(7, func(e *wire.Encoder) { encodeFileContent(e, &w.output) })
	e.Record(8, func(e *wire.Encoder) { encodeFileContent(e, &w.errors) })
}

func decodeJobState(p *wire.Decoder) *jobState {
	w := newJobState(Job{})
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			w.Job = decodeJob(d)
		case 2:
			for _, v := range d.Bytes() {
				w.states = append(w.states, itemState(v))
			}
		case 3:
			w.next = int(d.Uint())
		case 4:
			w.returned = append(w.returned, decodeReturnedItem(d))
		case 5:
			l := decodeIntPair(d)
			w.attempts[l[0]] = l[1]
		case 6:
			l := decodeIntPair(d)
			w.suspicion[l[0]] = l[1]
		case 7:
			w.output = decodeFileContent(d)
		case 8:
			w.errors = decodeFileContent(d)
		}
	}
	p.Fail(d.Err())
	return w
}

func decodeReturnedItem(p *wire.Decoder) returnedItem {
	var r returnedItem
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.item = int(d.Uint())
		case 2:
			r.notBefore = d.Time()
		}
	}
	p.Fail(d.Err())
	return r
}

func encodeCounts(e *wire.Encoder, field int, m map[int]int) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		e.Record(field, func(e *wire.Encoder) {
			e.Uint(1, uint64(k))
			e.Uint(2, uint64(m[k]))
		})
	}
}

func encodeLeaseState(e *wire.Encoder, h *leaseState) {
	e.Record(1, func(e *wire.Encoder) { encodeLease(e, h.Lease) })
	e.Uint(2, h.sequence)
	e.Bytes(3, h.outcome)
	for _, r := range h.refs() {
		encodeRef(e, 4, r)
	}
}

func decodeLeaseState(p *wire.Decoder) *leaseState {
	h := &leaseState{held: map[Ref]bool{}}
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			h.Lease = decodeLease(d)
		case 2:
			h.sequence = d.Uint()
		case 3:
			h.outcome = append([]byte(nil), d.Bytes()...)
		case 4:
			h.held[decodeRef(d)] = true
		}
	}
	p.Fail(d.Err())
	return h
}
