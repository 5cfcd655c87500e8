package mesh

import (
	"bufio"
	"time"

	"github.com/quic-go/quic-go"

	"snipetack/internal/protocol/frame"
)

// codeAborted is the QUIC application error code that tells the peer that a stream was closed early.
const codeAborted = 1

// Stream carries messages both ways in order. One goroutine may send while another receives.
type Stream struct {
	q *quic.Stream
	r *bufio.Reader
}

func newStream(q *quic.Stream) *Stream {
	return &Stream{q: q, r: bufio.NewReader(q)}
}

// Send writes one message, of at most frame.MaxSize bytes.
func (s *Stream) Send(message []byte) error {
	return frame.Write(s.q, message)
}

// Receive reads one message. It returns io.EOF when the peer closed the stream after the last one.
func (s *Stream) Receive() ([]byte, error) {
	return frame.Read(s.r)
}

// SetReceiveTimeout makes calls of Receive fail once d has passed from now; a later call replaces the limit.
func (s *Stream) SetReceiveTimeout(d time.Duration) {
	_ = s.q.SetReadDeadline(time.Now().Add(d))
}

// SetSendTimeout makes calls of Send fail once d has passed from now; a later call replaces the limit.
func (s *Stream) SetSendTimeout(d time.Duration) {
	_ = s.q.SetWriteDeadline(time.Now().Add(d))
}

// Close ends the sending side after the messages already sent, and aborts the receiving side.
func (s *Stream) Close() {
	_ = s.q.Close()
	s.q.CancelRead(codeAborted)
}

// Abort aborts both sides immediately. Messages in flight are lost and blocked calls return an error.
func (s *Stream) Abort() {
	s.q.CancelWrite(codeAborted)
	s.q.CancelRead(codeAborted)
}
