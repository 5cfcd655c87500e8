package journal

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/pkg/errors"
)

// windowBytes is the size of a window's buffer.
const windowBytes = 256 << 10

// window reads a file of fixed size through one buffer, so that neither the file nor a record has to fit into memory.
type window struct {
	f    File
	size int64
	b    []byte // content of the file from at on
	at   int64
}

func newWindow(f File) (*window, error) {
	n, err := f.Size()
	return &window{f: f, size: n}, err
}

// ReadAt implements io.ReaderAt.
func (w *window) ReadAt(b []byte, at int64) (int, error) {
	n := 0
	for n < len(b) {
		if at < w.at || at >= w.at+int64(len(w.b)) {
			if err := w.fill(at); err != nil {
				return n, err
			}
		}
		k := copy(b[n:], w.b[at-w.at:])
		n += k
		at += int64(k)
	}
	return n, nil
}

// fill reads the buffer from an offset on; it returns io.EOF at the end of the file.
func (w *window) fill(at int64) error {
	if at >= w.size {
		return io.EOF
	}
	if w.b == nil {
		w.b = make([]byte, 0, min(windowBytes, w.size))
	}
	b := w.b[:min(int64(cap(w.b)), w.size-at)]
	w.b = w.b[:0]
	n, err := w.f.ReadAt(b, at)
	if n < len(b) {
		return errors.Wrapf(err, "reading at offset %d", at)
	}
	w.b, w.at = b, at
	return nil
}

// record returns the number and payload of the record at an offset, and its size in the file. The size is 0 when the record
// is not valid.
func (w *window) record(at int64) (number uint64, p Payload, size int64, err error) {
	var h [headerSize]byte
	if w.size-at < headerSize {
		return 0, Payload{}, 0, nil
	}
	if _, err := w.ReadAt(h[:], at); err != nil {
		return 0, Payload{}, 0, err
	}
	n := int64(binary.LittleEndian.Uint32(h[4:]))
	if binary.LittleEndian.Uint32(h[:]) != marker || n > MaxPayload || w.size-at < headerSize+n {
		return 0, Payload{}, 0, nil
	}
	p = Payload{Size: n, Offset: at + headerSize, r: w}
	sum, err := w.checksum(h[:16], p)
	if err != nil || sum != binary.LittleEndian.Uint32(h[16:]) {
		return 0, Payload{}, 0, err
	}
	return binary.LittleEndian.Uint64(h[8:]), p, headerSize + n, nil
}

// checksum returns the CRC-32C of a record.
func (w *window) checksum(header []byte, p Payload) (uint32, error) {
	sum := crc32.Checksum(header, castagnoli())
	for at, end := p.Offset, p.Offset+p.Size; at < end; {
		if at < w.at || at >= w.at+int64(len(w.b)) {
			if err := w.fill(at); err != nil {
				return 0, err
			}
		}
		b := w.b[at-w.at:]
		b = b[:min(int64(len(b)), end-at)]
		sum = crc32.Update(sum, castagnoli(), b)
		at += int64(len(b))
	}
	return sum, nil
}

// containsRecord reports whether a valid record starts anywhere at or behind an offset.
func (w *window) containsRecord(at int64) (bool, error) {
	next := uint32(0) // the four bytes that end at the current one
	b := make([]byte, 4<<10)
	for from := at; at < w.size; {
		n := min(int64(len(b)), w.size-at)
		if _, err := w.ReadAt(b[:n], at); err != nil {
			return false, err
		}
		for i, c := range b[:n] {
			next = next>>8 | uint32(c)<<24
			start := at + int64(i) - 3
			if next != marker || start < from {
				continue
			}
			if _, _, k, err := w.record(start); err != nil || k > 0 {
				return k > 0, err
			}
		}
		at += n
	}
	return false, nil
}
