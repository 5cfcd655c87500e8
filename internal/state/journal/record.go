package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// Layout of a record, in little-endian order: marker, length of the payload, number of the record, CRC-32C of all other
// parts, payload.
const (
	marker     = 0x4c4e524a
	headerSize = 4 + 4 + 8 + 4
)

// MaxPayload is the max size of a record's payload in bytes. A record with a larger one can't be read back.
const MaxPayload = 1 << 30

func appendRecord(b []byte, number uint64, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, marker)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint32(b, checksum(b[len(b)-16:], payload))
	return append(b, payload...)
}

// readRecord returns the record at the start of b and its size in the file, or size 0 when it is not valid.
func readRecord(b []byte) (number uint64, payload []byte, size int) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b) != marker {
		return 0, nil, 0
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > MaxPayload || len(b) < headerSize+n {
		return 0, nil, 0
	}
	p := b[headerSize : headerSize+n]
	if checksum(b[:16], p) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, 0
	}
	return binary.LittleEndian.Uint64(b[8:]), p, headerSize + n
}

func checksum(header, payload []byte) uint32 {
	t := crc32.MakeTable(crc32.Castagnoli)
	return crc32.Update(crc32.Checksum(header, t), t, payload)
}
