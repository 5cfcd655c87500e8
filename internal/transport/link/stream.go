package link

import (
	"bufio"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Limits of a connection.
const (
	maxQueuedFrames   = 1024                    // of a send queue; when it is full, new frames are dropped
	maxQueuedBytes    = 32 << 20                // of a send queue; when it is full, new frames are dropped
	bufferBytes       = 16 << 10                // of the read buffer and the write buffer
	writeTimeout      = 4 * time.Second         // the connection is closed when the peer accepts no bytes for this long
	probeInterval     = 400 * time.Millisecond  // between checks whether a probe is needed or unanswered
	echoTimeout       = 1200 * time.Millisecond // after a probe; several round trips of the slowest region
	idleProbeInterval = 10 * time.Second        // keeps an idle connection from being dropped by firewalls and NAT on the way
)

// stream is one connection with its send queue.
type stream struct {
	c net.Conn
	r *frameReader

	mu     sync.Mutex
	queue  []frame
	bytes  int
	closed bool
	wake   chan struct{} // capacity 1; signalled when there are frames to write or the stream is closed
}

func newStream(c net.Conn, memory *semaphore.Weighted) *stream {
	return &stream{c: c, r: newFrameReader(c, memory), wake: make(chan struct{}, 1)}
}

// enqueue queues a frame, or returns false when the queue is full or the stream is closed.
func (s *stream) enqueue(f frame) bool {
	s.mu.Lock()
	ok := !s.closed && len(s.queue) < maxQueuedFrames && s.bytes+f.size() <= maxQueuedBytes
	if ok {
		s.queue = append(s.queue, f)
		s.bytes += f.size()
	}
	s.mu.Unlock()
	if ok {
		s.signal()
	}
	return ok
}

// signal wakes write.
func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends the queued frames, all of them in one batch, until the connection ends.
func (s *stream) write() {
	var w *bufio.Writer // created when first needed; many accepted connections send nothing
	for range s.wake {
		l, ok := s.take()
		if !ok {
			return
		}
		if w == nil {
			w = bufio.NewWriterSize(s.c, bufferBytes)
		}
		if err := s.flush(w, l); err != nil {
			s.close()
			return
		}
	}
}

// flush writes a batch of frames within writeTimeout.
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

// take removes all frames from the queue; ok is false when the stream is closed.
func (s *stream) take() ([]frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.queue
	s.queue = nil
	s.bytes = 0
	return l, !s.closed
}

// close closes the connection and ends write; it may be called more than once.
func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
	_ = s.c.Close()
}
