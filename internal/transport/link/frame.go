package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// maxFrame bounds a frame in bytes; a configuration of the largest size allowed fits.
const maxFrame = 24 << 20

// Kind tells what a frame is about; numbers are never reused.
type Kind byte

// The kinds of frames.
const (
	Consensus Kind = 1 // messages of the replicated groups
	Propose   Kind = 2 // a command for a group
	Sync      Kind = 3 // a VM reports to a control VM and hears what is new
	Job       Kind = 4 // calls on batch jobs
	Load      Kind = 5 // requests in flight, told to the VM that runs batch items
	Hint      Kind = 6 // requests in flight of all VMs
	Quota     Kind = 7 // requests that accounts want to send
)

// shape tells how a frame is answered.
type shape byte

const (
	oneWay   shape = 1
	request  shape = 2
	answer   shape = 3
	failure  shape = 4 // an answer whose body is a message for people
	probe    shape = 5
	echo     shape = 6
	greeting shape = 7 // the first frame; its body is the sender's name
)

// frame is what travels: a length, a header and the body.
type frame struct {
	shape  shape
	kind   Kind
	number uint64 // of the request
	body   []byte
}

// headerBytes counts shape, kind and number.
const headerBytes = 10

func (f frame) size() int { return headerBytes + len(f.body) }

func writeFrame(w *bufio.Writer, f frame) error {
	var h [4 + headerBytes]byte
	binary.BigEndian.PutUint32(h[:], uint32(f.size()))
	h[4] = byte(f.shape)
	h[5] = byte(f.kind)
	binary.BigEndian.PutUint64(h[6:], f.number)
	if _, err := w.Write(h[:]); err != nil {
		return err
	}
	_, err := w.Write(f.body)
	return err
}

func readFrame(r *bufio.Reader) (frame, error) {
	var h [4 + headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(h[:])
	if n < headerBytes || n > maxFrame {
		return frame{}, errors.Errorf("frame of %d bytes", n)
	}
	f := frame{shape: shape(h[4]), kind: Kind(h[5]), number: binary.BigEndian.Uint64(h[6:])}
	f.body = make([]byte, n-headerBytes)
	_, err := io.ReadFull(r, f.body)
	return f, err
}
