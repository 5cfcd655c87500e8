package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// Limits of the frames that arrive. The bodies of all connections share maxBodyMemory; a frame of the maximum size fits beside
// smaller ones.
const (
	maxBodyMemory  = 32 << 20 // bytes
	freeBytes      = 64 << 10 // of a one-way frame or response, which do not count against maxBodyMemory
	firstReadBytes = 16 << 10 // of the buffer for a body, which then grows with what arrives
	maxAddress     = 256      // bytes of the address in a greeting
)

// errNoMemory reports a body that was skipped because others use up maxBodyMemory.
var errNoMemory = errors.New("the VM holds too many requests of other VMs")

// frameReader reads the frames of a connection.
type frameReader struct {
	r      *bufio.Reader
	memory *semaphore.Weighted // maxBodyMemory bytes, shared by all connections of a Link
	left   int                 // bytes of the current frame's body that are not read yet
}

func newFrameReader(c net.Conn, memory *semaphore.Weighted) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(c, bufferBytes), memory: memory}
}

// next reads the next frame without its body, which body or skip must read before the next call.
func (r *frameReader) next() (frame, error) {
	var h [4 + headerBytes]byte
	if _, err := io.ReadFull(r.r, h[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(h[:])
	if n < headerBytes || n > maxFrameBytes {
		return frame{}, errors.Errorf("frame length of %d bytes is out of range", n)
	}
	r.left = int(n) - headerBytes
	return frame{frameType: frameType(h[4]), kind: Kind(h[5]), number: binary.BigEndian.Uint64(h[6:])}, nil
}

// skip discards the body.
func (r *frameReader) skip() error {
	_, err := r.r.Discard(r.left)
	r.left = 0
	return err
}

// body reads the body; release must be called when it is no longer used. All but the first free bytes count against
// maxBodyMemory. If that is used up, the body is skipped and the error is errNoMemory.
func (r *frameReader) body(free int) (b []byte, release func(), err error) {
	held := 0
	release = func() { r.memory.Release(int64(held)) }
	b = make([]byte, 0, min(r.left, firstReadBytes))
	for r.left > 0 {
		if len(b) == cap(b) {
			b = append(make([]byte, 0, min(2*cap(b), cap(b)+r.left)), b...)
		}
		if n := max(0, cap(b)-free) - held; n > 0 {
			if !r.memory.TryAcquire(int64(n)) {
				release()
				if err := r.skip(); err != nil {
					return nil, nil, err
				}
				return nil, nil, errNoMemory
			}
			held += n
		}
		n, err := io.ReadFull(r.r, b[len(b):cap(b)])
		b = b[:len(b)+n]
		r.left -= n
		if err != nil {
			release()
			return nil, nil, err
		}
	}
	return b, release, nil
}
