package wire

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Encoder appends numbered fields to a byte slice. Zero values are omitted, since a reader starts with them.
type Encoder struct {
	b []byte
}

// NewEncoder returns an empty Encoder.
func NewEncoder() *Encoder {
	return &Encoder{}
}

// Encoded returns the bytes written so far; the slice is valid until the next write.
func (e *Encoder) Encoded() []byte {
	return e.b
}

// Uint writes an unsigned number.
func (e *Encoder) Uint(field int, v uint64) {
	if v == 0 {
		return
	}
	e.b = protowire.AppendTag(e.b, protowire.Number(field), protowire.VarintType)
	e.b = protowire.AppendVarint(e.b, v)
}

// Int writes a signed number.
func (e *Encoder) Int(field int, v int64) {
	e.Uint(field, protowire.EncodeZigZag(v))
}

// Bool writes a boolean.
func (e *Encoder) Bool(field int, v bool) {
	e.Uint(field, protowire.EncodeBool(v))
}

// Float writes a 64-bit floating point number.
func (e *Encoder) Float(field int, v float64) {
	if v == 0 {
		return
	}
	e.b = protowire.AppendTag(e.b, protowire.Number(field), protowire.Fixed64Type)
	e.b = protowire.AppendFixed64(e.b, math.Float64bits(v))
}

// Text writes a string.
func (e *Encoder) Text(field int, v string) {
	if v == "" {
		return
	}
	e.b = protowire.AppendTag(e.b, protowire.Number(field), protowire.BytesType)
	e.b = protowire.AppendString(e.b, v)
}

// Bytes writes a byte string.
func (e *Encoder) Bytes(field int, v []byte) {
	if len(v) == 0 {
		return
	}
	e.Element(field, v)
}

// Element writes a byte string even when it is empty, so that a repeated field keeps its number of elements.
func (e *Encoder) Element(field int, v []byte) {
	e.b = protowire.AppendTag(e.b, protowire.Number(field), protowire.BytesType)
	e.b = protowire.AppendBytes(e.b, v)
}

// Texts writes each string as an element of a repeated field.
func (e *Encoder) Texts(field int, v []string) {
	for _, s := range v {
		e.Element(field, []byte(s))
	}
}

// Time writes a time with nanosecond resolution; the zero time is omitted.
func (e *Encoder) Time(field int, v time.Time) {
	if v.IsZero() {
		return
	}
	e.Int(field, v.UnixNano())
}

// Duration writes a duration in nanoseconds.
func (e *Encoder) Duration(field int, v time.Duration) {
	e.Int(field, int64(v))
}

// Grow makes room for n more bytes, so that a long encoding need not be moved while it grows.
func (e *Encoder) Grow(n int) {
	if cap(e.b)-len(e.b) < n { // slices.Grow takes the memory twice where its append is not optimized, as with the race detector
		e.b = append(make([]byte, 0, len(e.b)+n), e.b...)
	}
}

// Record writes a nested record that f encodes; f gets the same Encoder.
func (e *Encoder) Record(field int, f func(*Encoder)) {
	e.b = protowire.AppendTag(e.b, protowire.Number(field), protowire.BytesType)
	start := len(e.b)
	f(e)
	n := len(e.b) - start
	var length [binary.MaxVarintLen64]byte
	e.b = slices.Insert(e.b, start, length[:binary.PutUvarint(length[:], uint64(n))]...)
}
