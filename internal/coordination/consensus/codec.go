package consensus

import (
	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// EncodeConfiguration returns the wire form of a configuration.
func EncodeConfiguration(c Configuration) []byte {
	e := wire.NewEncoder()
	encodeConfiguration(e, c)
	return e.Encoded()
}

// DecodeConfiguration reads the wire form of a configuration.
func DecodeConfiguration(b []byte) (Configuration, error) {
	d := wire.NewDecoder(b)
	c := decodeConfiguration(d)
	return c, errors.Wrap(d.Err(), "decoding a group's configuration")
}

// EncodeMessage returns the wire form of a message. The names of the VMs are left out, because the connection
// identifies them.
func EncodeMessage(m Message) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(m.Kind))
	e.Uint(2, m.From.ID)
	e.Uint(3, m.To.ID)
	e.Uint(4, m.Term)
	e.Uint(5, m.Index)
	e.Uint(6, m.LogTerm)
	e.Uint(7, m.Commit)
	for _, x := range m.Entries {
		e.Record(8, func(e *wire.Encoder) { EncodeEntry(e, x) })
	}
	e.Bool(9, m.Reject)
	e.Uint(10, m.Hint)
	e.Uint(11, m.Sent)
	e.Bool(12, m.Force)
	e.Uint(13, m.Read)
	if m.Snapshot != nil {
		e.Record(14, func(e *wire.Encoder) { EncodeSnapshot(e, *m.Snapshot) })
	}
	e.Uint(15, m.Offset)
	e.Bytes(16, m.Data)
	return e.Encoded()
}

// DecodeMessage reads the wire form of a message received from the VM named from. To.VM stays empty. It returns an
// error for messages that no replica sends.
func DecodeMessage(b []byte, from string) (Message, error) {
	m := Message{From: Member{VM: from}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		decodeMessageField(&m, f, d)
	}
	if d.Err() == nil {
		d.Fail(validate(m))
	}
	return m, errors.Wrap(d.Err(), "decoding a message between replicas")
}

// EncodeEntry writes the fields of an entry.
func EncodeEntry(e *wire.Encoder, x Entry) {
	e.Uint(1, x.Index)
	e.Uint(2, x.Term)
	e.Uint(3, uint64(x.Kind))
	e.Bytes(4, x.Data)
}

// DecodeEntry reads the fields of an entry. It returns an error if a membership entry holds no valid configuration.
func DecodeEntry(d *wire.Decoder) (Entry, error) {
	var x Entry
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			x.Index = d.Uint()
		case 2:
			x.Term = d.Uint()
		case 3:
			x.Kind = EntryKind(d.Uint())
		case 4:
			x.Data = d.Bytes()
		}
	}
	if d.Err() == nil && x.Kind == Membership {
		_, err := DecodeConfiguration(x.Data)
		d.Fail(err)
	}
	return x, d.Err()
}

// EncodeSnapshot writes the fields of a snapshot's description.
func EncodeSnapshot(e *wire.Encoder, s Snapshot) {
	e.Uint(1, s.Index)
	e.Uint(2, s.Term)
	e.Record(3, func(e *wire.Encoder) { encodeConfiguration(e, s.Configuration) })
	e.Uint(4, s.Size)
	e.Uint(5, s.Checksum)
}

// DecodeSnapshot reads the fields of a snapshot's description.
func DecodeSnapshot(d *wire.Decoder) (Snapshot, error) {
	var s Snapshot
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.Index = d.Uint()
		case 2:
			s.Term = d.Uint()
		case 3:
			r := d.Record()
			s.Configuration = decodeConfiguration(r)
			d.Fail(r.Err())
		case 4:
			s.Size = d.Uint()
		case 5:
			s.Checksum = d.Uint()
		}
	}
	return s, d.Err()
}

func decodeMessageField(m *Message, field int, d *wire.Decoder) {
	switch field {
	case 1:
		m.Kind = MessageKind(d.Uint())
	case 2:
		m.From.ID = d.Uint()
	case 3:
		m.To.ID = d.Uint()
	case 4:
		m.Term = d.Uint()
	case 5:
		m.Index = d.Uint()
	case 6:
		m.LogTerm = d.Uint()
	case 7:
		m.Commit = d.Uint()
	case 8:
		x, err := DecodeEntry(d.Record())
		d.Fail(err)
		m.Entries = append(m.Entries, x)
	case 9:
		m.Reject = d.Bool()
	case 10:
		m.Hint = d.Uint()
	case 11:
		m.Sent = d.Uint()
	case 12:
		m.Force = d.Bool()
	case 13:
		m.Read = d.Uint()
	case 14:
		s, err := DecodeSnapshot(d.Record())
		d.Fail(err)
		m.Snapshot = &s
	case 15:
		m.Offset = d.Uint()
	case 16:
		m.Data = d.Bytes()
	}
}

// validate returns an error for messages that no replica sends.
func validate(m Message) error {
	if m.Kind == 0 || m.Kind >= messageKindLimit || m.From.ID == 0 || m.To.ID == 0 || m.Term == 0 {
		return wire.ErrMalformed
	}
	if m.Kind == SnapshotChunk && m.Snapshot == nil {
		return wire.ErrMalformed
	}
	for i, x := range m.Entries {
		if x.Index != m.Index+uint64(i)+1 || x.Kind == 0 || x.Kind > Membership || x.Term < 1 || x.Term > m.Term {
			return wire.ErrMalformed
		}
	}
	return nil
}

func encodeConfiguration(e *wire.Encoder, c Configuration) {
	for _, m := range c.Voters {
		e.Record(1, func(e *wire.Encoder) { encodeMember(e, m) })
	}
	for _, m := range c.Learners {
		e.Record(2, func(e *wire.Encoder) { encodeMember(e, m) })
	}
}

func decodeConfiguration(d *wire.Decoder) Configuration {
	var c Configuration
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Voters = append(c.Voters, decodeMember(d))
		case 2:
			c.Learners = append(c.Learners, decodeMember(d))
		}
	}
	return c
}

func encodeMember(e *wire.Encoder, m Member) {
	e.Text(1, m.VM)
	e.Uint(2, m.ID)
}

func decodeMember(d *wire.Decoder) Member {
	var m Member
	r := d.Record()
	for f, ok := r.Next(); ok; f, ok = r.Next() {
		switch f {
		case 1:
			m.VM = r.Text()
		case 2:
			m.ID = r.Uint()
		}
	}
	d.Fail(r.Err())
	return m
}
