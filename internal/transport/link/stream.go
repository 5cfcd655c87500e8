package link

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// Bounds of a connection.
const (
	ringFrames   = 1024            // frames that wait for the connection; the newest is dropped
	ringBytes    = 32 << 20        // bytes that wait for the connection; the newest frame is dropped
	bufferBytes  = 16 << 10        // of the reader and the writer
	writeTimeout = 4 * time.Second // a peer that takes no bytes for this long is given up
	probeAfter   = 400 * time.Millisecond
	silentAfter  = 1200 * time.Millisecond // without an echo, several round trips of the slowest region
	idleProbe    = 10 * time.Second        // keeps an unused connection known to what lies between
)

// stream is one connection with the ring of frames to write.
type stream struct {
	c net.Conn
	r *bufio.Reader

	mu      sync.Mutex
	waiting []frame
	bytes   int
	closed  bool
	wake    chan struct{} // has room for one
}

func newStream(c net.Conn) *stream {
	return &stream{c: c, r: bufio.NewReaderSize(c, bufferBytes), wake: make(chan struct{}, 1)}
}

// offer queues a frame and reports whether there was room.
func (s *stream) offer(f frame) bool {
	s.mu.Lock()
	ok := !s.closed && len(s.waiting) < ringFrames && s.bytes+f.size() <= ringBytes
	if ok {
		s.waiting = append(s.waiting, f)
		s.bytes += f.size()
	}
	s.mu.Unlock()
	if ok {
		s.signal()
	}
	return ok
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends queued frames, all that wait in one go, until the connection ends.
func (s *stream) write() {
	w := bufio.NewWriterSize(s.c, bufferBytes)
	for range s.wake {
		l, ok := s.take()
		if !ok {
			return
		}
		if err := s.flush(w, l); err != nil {
			s.end()
			return
		}
	}
}

func (s *stream) flush(w *bufio.Writer, l []frame) error {
	if err := s.c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for _, f := range l {
		if err := writeFrame(w, f); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (s *stream) take() ([]frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.waiting
	s.waiting = nil
	s.bytes = 0
	return l, !s.closed
}

// end closes the connection; it may be called more than once.
func (s *stream) end() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
	_ = s.c.Close()
}
