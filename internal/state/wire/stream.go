package wire

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
)

// Stream reads numbered fields like Decoder, from bytes that need not be in memory. It reads a byte string only when asked.
type Stream struct {
	r    io.ReaderAt
	at   int64 // of the next field
	end  int64
	err  error
	typ  protowire.Type // of the current field
	num  uint64         // its value, if it is a varint
	from int64          // offset of its value, if it is length-delimited
	size int64          // length of that value in bytes
}

// NewStream returns a Stream over the first size bytes of r.
func NewStream(r io.ReaderAt, size int64) *Stream {
	return &Stream{r: r, end: size}
}

// Next advances to the next field and returns its number, or false at the end or after an error.
func (s *Stream) Next() (int, bool) {
	if s.err != nil || s.at >= s.end {
		return 0, false
	}
	tag, ok := s.varint()
	f, t := protowire.DecodeTag(tag)
	if !ok || f < protowire.MinValidNumber || !s.value(t) {
		s.Fail(ErrMalformed)
		return 0, false
	}
	return int(f), true
}

// Err returns the first error, or nil.
func (s *Stream) Err() error {
	return s.err
}

// Fail makes err the Stream's error, which ends the decoding, unless err is nil or the Stream has one already.
func (s *Stream) Fail(err error) {
	if s.err == nil && err != nil {
		s.err = err
	}
}

// Uint returns the current field as an unsigned number.
func (s *Stream) Uint() uint64 {
	if s.typ != protowire.VarintType {
		s.Fail(ErrMalformed)
		return 0
	}
	return s.num
}

// Bool returns the current field as a boolean.
func (s *Stream) Bool() bool {
	return protowire.DecodeBool(s.Uint())
}

// Range returns the offset in r and the length of the current field's bytes.
func (s *Stream) Range() (offset, size int64) {
	if s.typ != protowire.BytesType {
		s.Fail(ErrMalformed)
		return 0, 0
	}
	return s.from, s.size
}

// Bytes returns a copy of the current field's bytes.
func (s *Stream) Bytes() []byte {
	at, n := s.Range()
	b := make([]byte, n)
	if s.err == nil {
		_, err := s.r.ReadAt(b, at)
		s.Fail(err)
	}
	return b
}

// Record returns a Stream over the current field's nested record; its offsets are those of this Stream.
func (s *Stream) Record() *Stream {
	at, n := s.Range()
	return &Stream{r: s.r, at: at, end: at + n, err: s.err}
}

// varint reads a number.
func (s *Stream) varint() (uint64, bool) {
	var a [binary.MaxVarintLen64]byte
	b := a[:min(int64(len(a)), s.end-s.at)]
	if _, err := s.r.ReadAt(b, s.at); err != nil {
		s.Fail(err)
		return 0, false
	}
	v, n := protowire.ConsumeVarint(b)
	if n < 0 {
		return 0, false
	}
	s.at += int64(n)
	return v, true
}

// value reads the current field's value, or only finds its place if it is length-delimited.
func (s *Stream) value(t protowire.Type) bool {
	s.typ = t
	n := int64(0)
	switch t {
	case protowire.VarintType:
		v, ok := s.varint()
		s.num = v
		return ok
	case protowire.BytesType:
		v, ok := s.varint()
		if !ok || v > uint64(s.end-s.at) {
			return false
		}
		s.from, s.size = s.at, int64(v)
		n = s.size
	case protowire.Fixed32Type:
		n = 4
	case protowire.Fixed64Type:
		n = 8
	default:
		return false
	}
	s.at += n
	return s.at <= s.end
}
