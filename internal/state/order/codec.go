package order

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// EncodeCommand returns the wire form of a command.
func EncodeCommand(c Command) []byte {
	e := wire.NewEncoder()
	e.Uint(1, c.Term)
	for _, i := range c.Begin {
		e.Record(2, func(e *wire.Encoder) { encodeIntent(e, i) })
	}
	for _, f := range c.Finish {
		e.Record(3, func(e *wire.Encoder) {
			e.Text(1, f.Upstream)
			e.Uint(2, f.Fence)
			e.Bool(3, f.Done)
		})
	}
	e.Texts(4, c.Forget)
	return e.Encoded()
}

// DecodeCommand reads the wire form of a command.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.Term = d.Uint()
		case 2:
			n := d.Record()
			c.Begin = append(c.Begin, decodeIntent(n))
			d.Fail(n.Err())
		case 3:
			n := d.Record()
			c.Finish = append(c.Finish, decodeFinish(n))
			d.Fail(n.Err())
		case 4:
			c.Forget = append(c.Forget, d.Text())
		}
	}
	return c, errors.Wrap(d.Err(), "decoding a placement command")
}

// EncodeOutcome returns the wire form of an outcome.
func EncodeOutcome(o Outcome) []byte {
	e := wire.NewEncoder()
	e.Bool(1, o.Stale)
	for _, f := range o.Fences {
		e.Uint(2, f)
	}
	return e.Encoded()
}

// DecodeOutcome reads the wire form of an outcome.
func DecodeOutcome(b []byte) (Outcome, error) {
	var o Outcome
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			o.Stale = d.Bool()
		case 2:
			o.Fences = append(o.Fences, d.Uint())
		}
	}
	return o, errors.Wrap(d.Err(), "decoding a placement outcome")
}

func encodeState(s State) []byte {
	e := wire.NewEncoder()
	e.Uint(1, s.Fence)
	e.Uint(2, s.Term)
	for _, u := range slices.Sorted(maps.Keys(s.Upstreams)) {
		e.Record(3, func(e *wire.Encoder) { encodePlaced(e, u, s.Upstreams[u]) })
	}
	return e.Encoded()
}

func decodeState(b []byte) (State, error) {
	s := State{Upstreams: map[string]Placed{}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.Fence = d.Uint()
		case 2:
			s.Term = d.Uint()
		case 3:
			n := d.Record()
			u, p := decodePlaced(n)
			d.Fail(n.Err())
			s.Upstreams[u] = p
		}
	}
	return s, errors.Wrap(d.Err(), "decoding the placement state")
}

func encodePlaced(e *wire.Encoder, upstream string, p Placed) {
	e.Text(1, upstream)
	for _, a := range slices.Sorted(maps.Keys(p.Loaded)) {
		e.Record(2, func(e *wire.Encoder) {
			e.Text(1, a)
			e.Time(2, p.Loaded[a].Since)
			e.Int(3, p.Loaded[a].Bytes)
		})
	}
	e.Text(3, p.Role)
	if p.Pending != nil {
		e.Record(4, func(e *wire.Encoder) { encodeIntent(e, *p.Pending) })
	}
}

func decodePlaced(d *wire.Decoder) (string, Placed) {
	var u string
	var p Placed
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			u = d.Text()
		case 2:
			n := d.Record()
			a, h := decodeHeld(n)
			d.Fail(n.Err())
			if p.Loaded == nil {
				p.Loaded = map[string]Held{}
			}
			p.Loaded[a] = h
		case 3:
			p.Role = d.Text()
		case 4:
			n := d.Record()
			i := decodeIntent(n)
			d.Fail(n.Err())
			p.Pending = &i
		}
	}
	return u, p
}

func decodeHeld(d *wire.Decoder) (string, Held) {
	var a string
	var h Held
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			a = d.Text()
		case 2:
			h.Since = d.Time()
		case 3:
			h.Bytes = d.Int()
		}
	}
	return a, h
}

func encodeIntent(e *wire.Encoder, i Intent) {
	e.Uint(1, i.Fence)
	e.Uint(2, i.Term)
	e.Text(3, i.Upstream)
	e.Text(4, string(i.Action))
	e.Text(5, i.Target)
	e.Int(6, i.Bytes)
	e.Time(7, i.At)
}

func decodeIntent(d *wire.Decoder) Intent {
	var i Intent
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			i.Fence = d.Uint()
		case 2:
			i.Term = d.Uint()
		case 3:
			i.Upstream = d.Text()
		case 4:
			i.Action = Action(d.Text())
		case 5:
			i.Target = d.Text()
		case 6:
			i.Bytes = d.Int()
		case 7:
			i.At = d.Time()
		}
	}
	return i
}

func decodeFinish(d *wire.Decoder) Finish {
	var v Finish
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Upstream = d.Text()
		case 2:
			v.Fence = d.Uint()
		case 3:
			v.Done = d.Bool()
		}
	}
	return v
}
