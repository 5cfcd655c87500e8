package link

import (
	"bufio"
	"encoding/binary"
)

// maxFrameBytes is the maximum size of a frame without its length; a configuration of the maximum size fits.
const maxFrameBytes = 24 << 20

// Kind selects the Handler or Receiver of a frame. Its numbers are part of the wire format and never reused.
type Kind byte

// The kinds of frames.
const (
	Consensus Kind = 1 // messages of the replicated groups
	Propose   Kind = 2 // a command for a replicated group
	Sync      Kind = 3 // a VM's report to a control VM; the response holds updates
	Job       Kind = 4 // calls on batch jobs
	Load      Kind = 5 // report of an entry VM's requests in flight to the VM that runs batch items
	Hint      Kind = 6 // what other VMs have in flight, sent to an entry VM
	Quota     Kind = 7 // admission requests under the accounts' rate limits
	Limit     Kind = 8 // admission requests under the limits that upstreams name
	State     Kind = 9 // a read of the control group's state, from a control VM outside the group

	// Loads is Hint with the upstreams' ids as hashes, for VMs whose list of upstreams may differ from the sender's.
	Loads Kind = 10

	Origins Kind = 11 // where streams began, sent to the batch VMs that hold it
	Origin  Kind = 12 // a question for it

	// Paces is what others have received of the paces of upstreams, sent with hints. 13 and 14 are left to other kinds.
	Paces Kind = 15
)

// frameType is the role of a frame in the protocol. Its numbers are part of the wire format.
type frameType byte

const (
	oneWay   frameType = 1 // gets no response
	request  frameType = 2
	response frameType = 3 // to a request
	failure  frameType = 4 // a response whose body is an error message
	probe    frameType = 5 // requests an echo, to check the connection
	echo     frameType = 6
	greeting frameType = 7 // the first frame of a connection; its body is the address of the VM that dialled
)

// frame is the unit of transmission. On the wire it is its length (4 bytes, big-endian), a header and the body.
type frame struct {
	frameType frameType
	kind      Kind
	number    uint64 // of the request, repeated in its response; 0 in one-way frames
	body      []byte
}

// headerBytes is the size of the frame type, kind and number.
const headerBytes = 10

// size returns the length of the frame as sent on the wire, which does not count itself.
func (f frame) size() int { return headerBytes + len(f.body) }

func writeFrame(w *bufio.Writer, f frame) error {
	var h [4 + headerBytes]byte
	binary.BigEndian.PutUint32(h[:], uint32(f.size()))
	h[4] = byte(f.frameType)
	h[5] = byte(f.kind)
	binary.BigEndian.PutUint64(h[6:], f.number)
	if _, err := w.Write(h[:]); err != nil {
		return err
	}
	_, err := w.Write(f.body)
	return err
}
