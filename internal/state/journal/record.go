package journal

import (
	"encoding/binary"
	"hash/crc32"
	"io"
)

// Layout of a record, in little-endian order: marker, length of the payload, number of the record, CRC-32C of all other
// parts, payload.
const (
	marker     = 0x4c4e524a
	headerSize = 4 + 4 + 8 + 4
)

// MaxPayload is the max size of a record's payload in bytes. A record with a larger one can't be read back.
const MaxPayload = 1 << 30

// castagnoli returns the table of CRC-32C, which the package crc32 keeps.
func castagnoli() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

// Payload is the content of a valid record, which is read from the file when needed.
type Payload struct {
	Size   int64 // bytes
	Offset int64 // in the file
	r      io.ReaderAt
}

// ReadAt implements io.ReaderAt; offsets count from the start of the payload.
func (p Payload) ReadAt(b []byte, at int64) (int, error) {
	k := min(int64(len(b)), max(0, p.Size-at))
	n, err := p.r.ReadAt(b[:k], p.Offset+at)
	if err == nil && n < len(b) {
		err = io.EOF
	}
	return n, err
}

// Bytes returns the complete content.
func (p Payload) Bytes() ([]byte, error) {
	b := make([]byte, p.Size)
	_, err := p.ReadAt(b, 0)
	return b, err
}

// appendHeader appends the header of a record.
func appendHeader(b []byte, number uint64, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, marker)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	sum := crc32.Update(crc32.Checksum(b[len(b)-16:], castagnoli()), castagnoli(), payload)
	return binary.LittleEndian.AppendUint32(b, sum)
}
