package frame

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// MaxSize is the largest message in bytes.
const MaxSize = 8 << 20

// firstReadBytes is the size of the buffer for a message, which then grows with what arrives.
const firstReadBytes = 16 << 10

// ErrTooLarge reports a message above MaxSize.
var ErrTooLarge = errors.New("message exceeds the size limit")

// Write writes one message, preceded by its length as an unsigned varint.
func Write(w io.Writer, message []byte) error {
	if len(message) > MaxSize {
		return ErrTooLarge
	}
	b := binary.AppendUvarint(make([]byte, 0, len(message)+binary.MaxVarintLen32), uint64(len(message)))
	_, err := w.Write(append(b, message...))
	return errors.Wrap(err, "writing a message")
}

// Read reads one message. It returns io.EOF if the stream ends between two messages, and another error if it ends
// within one.
func Read(r *bufio.Reader) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if n > MaxSize {
		return nil, ErrTooLarge
	}
	left := int(n)
	b := make([]byte, 0, min(left, firstReadBytes))
	for left > 0 {
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(2*cap(b), cap(b)+left)), b...)
		}
		n, err := io.ReadFull(r, b[len(b):cap(b)])
		b = b[:len(b)+n]
		left -= n
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // io.ReadFull read nothing, but the length has announced more
		}
		if err != nil {
			return nil, errors.Wrap(err, "reading a message")
		}
	}
	return b, nil
}
