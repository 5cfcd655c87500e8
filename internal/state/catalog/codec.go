package catalog

import (
	"github.com/pkg/errors"

	"snipetack/internal/state/result"
	"snipetack/internal/state/wire"
)

// Field numbers of an encoded Op. Stored logs and snapshots contain them, so a number never changes its meaning.
const (
	opAccount = iota + 1
	opKey
	opWithdraw
	opRoute
	opService
	opUpstream
	opOperator
	opAnswers
	opShard
	opDelete
)

// EncodeChange returns the wire form of a change.
func EncodeChange(c Change) []byte {
	e := wire.NewEncoder()
	e.Text(1, c.ID)
	e.Uint(2, c.Base)
	e.Bool(3, c.Rebase)
	e.Text(4, c.Author)
	e.Time(5, c.At)
	for _, o := range c.Ops {
		e.Record(6, func(e *wire.Encoder) { encodeOp(e, o) })
	}
	return e.Encoded()
}

// DecodeChange reads the wire form of a change.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.ID = d.Text()
		case 2:
			c.Base = d.Uint()
		case 3:
			c.Rebase = d.Bool()
		case 4:
			c.Author = d.Text()
		case 5:
			c.At = d.Time()
		case 6:
			o, err := decodeOp(d.Record())
			d.Fail(err)
			c.Ops = append(c.Ops, o)
		}
	}
	return c, errors.Wrap(d.Err(), "decoding a change")
}

// EncodeOutcome returns the wire form of an outcome.
func EncodeOutcome(o Outcome) []byte {
	e := wire.NewEncoder()
	e.Uint(1, uint64(o.Code))
	e.Uint(2, o.Revision)
	e.Text(3, o.Detail)
	e.Text(4, o.Winner)
	e.Text(5, o.Author)
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
			o.Revision = d.Uint()
		case 3:
			o.Detail = d.Text()
		case 4:
			o.Winner = d.Text()
		case 5:
			o.Author = d.Text()
		}
	}
	return o, errors.Wrap(d.Err(), "decoding an outcome")
}

// EncodeApplied returns the wire form of an applied change.
func EncodeApplied(a Applied) []byte {
	e := wire.NewEncoder()
	e.Uint(1, a.Revision)
	e.Bytes(2, EncodeChange(a.Change))
	return e.Encoded()
}

// DecodeApplied reads the wire form of an applied change.
func DecodeApplied(b []byte) (Applied, error) {
	var a Applied
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a.Revision = d.Uint()
		case 2:
			c, err := DecodeChange(d.Bytes())
			d.Fail(err)
			a.Change = c
		}
	}
	return a, errors.Wrap(d.Err(), "decoding an applied change")
}

// EncodeConfiguration returns the wire form of a complete configuration.
func EncodeConfiguration(c *Configuration) []byte {
	e := wire.NewEncoder()
	e.Uint(1, c.Revision)
	for _, o := range c.ops() {
		e.Record(2, func(e *wire.Encoder) { encodeOp(e, o) })
	}
	return e.Encoded()
}

// DecodeConfiguration reads the wire form of a complete configuration. It doesn't check the references between tables
// again: the encoded revision has passed that check.
func DecodeConfiguration(b []byte) (*Configuration, error) {
	c := NewConfiguration()
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Revision = d.Uint()
		case 2:
			o, err := decodeOp(d.Record())
			d.Fail(err)
			if err == nil {
				d.Fail(c.applyOp(o))
			}
		}
	}
	c.index = newIndex(c)
	return c, errors.Wrap(d.Err(), "decoding a configuration")
}

// ops returns the edits that turn the empty configuration into c, with each table in name order.
func (c *Configuration) ops() []Op {
	var l []Op
	for _, n := range sortedNames(c.Accounts) {
		v := c.Accounts[n]
		l = append(l, Op{Account: &v})
	}
	for _, n := range sortedNames(c.Keys) {
		v := c.Keys[n]
		l = append(l, Op{Key: &v})
	}
	for _, n := range sortedNames(c.Services) {
		v := c.Services[n]
		l = append(l, Op{Service: &v})
	}
	for _, n := range sortedNames(c.Routes) {
		v := c.Routes[n]
		l = append(l, Op{Route: &v})
	}
	for _, n := range sortedNames(c.Upstreams) {
		v := c.Upstreams[n]
		l = append(l, Op{Upstream: &v})
	}
	for _, n := range sortedNames(c.Operators) {
		v := c.Operators[n]
		l = append(l, Op{Operator: &v})
	}
	for _, n := range sortedNames(c.Answers) {
		v := c.Answers[n]
		l = append(l, Op{Answers: &v})
	}
	return append(l, Op{Shards: c.Shards})
}

func encodeMachine(m *Machine) []byte {
	e := wire.NewEncoder()
	e.Bytes(1, EncodeConfiguration(m.current))
	for _, a := range m.history {
		e.Bytes(2, EncodeApplied(a))
	}
	for _, id := range m.outcomeIDs {
		e.Record(3, func(e *wire.Encoder) {
			e.Text(1, id)
			e.Bytes(2, EncodeOutcome(m.outcomes[id]))
		})
	}
	return e.Encoded()
}

func decodeMachine(b []byte) (*Machine, error) {
	m := New()
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c, err := DecodeConfiguration(d.Bytes())
			d.Fail(err)
			m.current = c
		case 2:
			a, err := DecodeApplied(d.Bytes())
			d.Fail(err)
			m.history = append(m.history, a)
		case 3:
			id, o, err := decodeRecordedOutcome(d.Record())
			d.Fail(err)
			m.recordOutcome(id, o)
		}
	}
	return m, d.Err()
}

func decodeRecordedOutcome(d *wire.Decoder) (string, Outcome, error) {
	var id string
	var o Outcome
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			id = d.Text()
		case 2:
			v, err := DecodeOutcome(d.Bytes())
			d.Fail(err)
			o = v
		}
	}
	return id, o, d.Err()
}
