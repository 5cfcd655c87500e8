package wire

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed reports bytes that are not a sequence of numbered fields, or a field of another type than is read.
var ErrMalformed = errors.New("malformed record")

// Decoder reads numbered fields in the order in which they were written.
//
// Reading a field as another type than its own returns a zero value, and ends the decoding with ErrMalformed.
type Decoder struct {
	b     []byte // the fields not read yet
	err   error
	typ   protowire.Type // of the current field
	num   uint64         // its value, if it is a varint or fixed64
	bytes []byte         // its value, if it is length-delimited
}

// NewDecoder returns a Decoder over b, which it does not copy.
func NewDecoder(b []byte) *Decoder {
	return &Decoder{b: b}
}

// Next advances to the next field and returns its number, or false at the end or after an error.
func (d *Decoder) Next() (int, bool) {
	if d.err != nil || len(d.b) == 0 {
		return 0, false
	}
	f, t, n := protowire.ConsumeTag(d.b)
	if n < 0 {
		d.err = ErrMalformed
		return 0, false
	}
	d.b = d.b[n:]
	d.typ = t
	if !d.consumeValue(f) {
		d.err = ErrMalformed
		return 0, false
	}
	return int(f), true
}

// Err returns the first error, or nil.
func (d *Decoder) Err() error {
	return d.err
}

// Uint returns the current field as an unsigned number.
func (d *Decoder) Uint() uint64 {
	if !d.checkType(protowire.VarintType) {
		return 0
	}
	return d.num
}

// Int returns the current field as a signed number.
func (d *Decoder) Int() int64 {
	return protowire.DecodeZigZag(d.Uint())
}

// Bool returns the current field as a boolean.
func (d *Decoder) Bool() bool {
	return protowire.DecodeBool(d.Uint())
}

// Float returns the current field as a floating point number.
func (d *Decoder) Float() float64 {
	if !d.checkType(protowire.Fixed64Type) {
		return 0
	}
	return math.Float64frombits(d.num)
}

// Bytes returns the current field's bytes, which are shared with the input and not copied.
func (d *Decoder) Bytes() []byte {
	if !d.checkType(protowire.BytesType) {
		return nil
	}
	return d.bytes
}

// Text returns the current field as a string.
func (d *Decoder) Text() string {
	return string(d.Bytes())
}

// Time returns the current field as a time, in the local zone.
func (d *Decoder) Time() time.Time {
	return time.Unix(0, d.Int())
}

// Duration returns the current field as a duration.
func (d *Decoder) Duration() time.Duration {
	return time.Duration(d.Int())
}

// Record returns a Decoder over the current field's nested record.
func (d *Decoder) Record() *Decoder {
	return NewDecoder(d.Bytes())
}

// Fail makes err the Decoder's error, which ends the decoding, unless err is nil or the Decoder has one already.
func (d *Decoder) Fail(err error) {
	if d.err == nil && err != nil {
		d.err = err
	}
}

func (d *Decoder) checkType(t protowire.Type) bool {
	if d.typ != t {
		d.Fail(ErrMalformed)
		return false
	}
	return true
}

func (d *Decoder) consumeValue(f protowire.Number) bool {
	var n int
	switch d.typ {
	case protowire.VarintType:
		d.num, n = protowire.ConsumeVarint(d.b)
	case protowire.Fixed64Type:
		d.num, n = protowire.ConsumeFixed64(d.b)
	case protowire.BytesType:
		d.bytes, n = protowire.ConsumeBytes(d.b)
	default:
		n = protowire.ConsumeFieldValue(f, d.typ, d.b)
	}
	if n < 0 {
		return false
	}
	d.b = d.b[n:]
	return true
}
