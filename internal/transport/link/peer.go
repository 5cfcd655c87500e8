package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// Timing of connections.
const (
	dialTimeout = 300 * time.Millisecond // several round trips of the slowest region; TCP resends a lost packet only after seconds
	redialDelay = 50 * time.Millisecond  // after a failed dial; frames are dropped meanwhile
	callTimeout = 5 * time.Second        // of a call whose context has no earlier deadline
)

// errConnectionLost reports a connection that ended before the response arrived.
var errConnectionLost = errors.New("the connection ended before the response")

// peer sends frames to one other VM over a connection that it dials when needed.
type peer struct {
	vm     string
	d      Deps
	memory *semaphore.Weighted // of the bodies of frames
	dialed *atomic.Uint64      // connections of the Link so far

	mu           sync.Mutex
	conn         *stream // nil while there is no connection
	number       uint64  // of conn
	queue        []frame // frames to send once the connection is dialled
	bytes        int     // total size of queue
	dialing      bool
	closed       bool
	redialAt     time.Time             // no dial before, after a failed one
	next         uint64                // number of the last request
	calls        map[uint64]chan frame // by number, the calls that wait for a response; closed when the connection is lost
	lastQueued   time.Time             // when the last frame was queued
	lastReceived time.Time             // when the last frame arrived, or the connection was dialled
	probeSent    time.Time             // when the unanswered probe was sent; zero when there is none
}

func newPeer(vm string, d Deps, memory *semaphore.Weighted, dialed *atomic.Uint64) *peer {
	return &peer{vm: vm, d: d, memory: memory, dialed: dialed, calls: map[uint64]chan frame{}}
}

// send queues a frame for sending, and returns the number of the connection that it goes over if there is one.
func (p *peer) send(f frame) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.enqueueLocked(f) || p.conn == nil {
		return 0
	}
	return p.number
}

// connection returns the number of the current connection, or 0.
func (p *peer) connection() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return 0
	}
	return p.number
}

// enqueueLocked queues a frame for sending and dials when there is no connection. It returns false when the frame is dropped: the
// peer is closed, a queue is full or the last dial has just failed. p.mu is held.
func (p *peer) enqueueLocked(f frame) bool {
	if p.closed {
		return false
	}
	p.lastQueued = time.Now()
	if p.conn != nil {
		return p.conn.enqueue(f)
	}
	if !p.dialing && p.lastQueued.Before(p.redialAt) {
		return false
	}
	if len(p.queue) >= maxQueuedFrames || p.bytes+f.size() > maxQueuedBytes {
		return false
	}
	p.queue = append(p.queue, f)
	p.bytes += f.size()
	if !p.dialing {
		p.dialing = true
		go p.dial()
	}
	return true
}

// call sends a request and waits for its response.
func (p *peer) call(ctx context.Context, k Kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := make(chan frame, 1)
	p.mu.Lock()
	p.next++
	n := p.next
	ok := p.enqueueLocked(frame{frameType: request, kind: k, number: n, body: body})
	if ok {
		p.calls[n] = done
	}
	p.mu.Unlock()
	if !ok {
		return nil, errors.Errorf("VM %s can't be reached now", p.vm)
	}
	select {
	case f, ok := <-done:
		if !ok {
			return nil, errConnectionLost
		}
		if f.frameType == failure {
			return nil, Refused{Reason: string(f.body)}
		}
		return f.body, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.calls, n)
		p.mu.Unlock()
		return nil, errors.Wrapf(ctx.Err(), "waiting for the response of VM %s", p.vm)
	}
}

// dial opens the connection and sends the frames queued meanwhile; if it fails they are dropped and all calls fail.
func (p *peer) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	c, err := p.d.Network.Dial(ctx, p.vm)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = false
	l := p.queue
	p.queue, p.bytes = nil, 0
	if err != nil || p.closed {
		if err == nil {
			_ = c.Close()
		}
		p.redialAt = time.Now().Add(redialDelay)
		p.failCalls()
		return
	}
	s := newStream(c, p.memory)
	p.conn, p.number = s, p.dialed.Add(1)
	p.lastReceived = time.Now()
	p.probeSent = time.Time{}
	s.enqueue(frame{frameType: greeting, body: []byte(p.d.Self)})
	for _, f := range l {
		s.enqueue(f)
	}
	go s.write()
	go p.read(s)
	go p.watch(s)
}

// read receives frames and delivers responses to their calls until the connection ends.
func (p *peer) read(s *stream) {
	defer p.connectionLost(s)
	for {
		f, err := s.r.next()
		if err != nil {
			return
		}
		if p.awaited(f) {
			var release func()
			if f.body, release, err = s.r.body(freeBytes); err == nil {
				release()
			}
		} else {
			err = s.r.skip()
		}
		if err != nil {
			return
		}
		p.received(f)
	}
}

// awaited reports whether a call waits for a frame.
func (p *peer) awaited(f frame) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.calls[f.number]
	return ok && (f.frameType == response || f.frameType == failure)
}

// received delivers a response to its call, if that still waits, and notes that the connection works.
func (p *peer) received(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived = time.Now()
	p.probeSent = time.Time{}
	if done, ok := p.calls[f.number]; ok && (f.frameType == response || f.frameType == failure) {
		delete(p.calls, f.number)
		done <- f
	}
}

// watch checks the connection every probeInterval until it ends. It sends a probe when frames were queued since the last one
// arrived, or when nothing has arrived for idleProbeInterval, and closes the connection when no frame follows within
// echoTimeout.
func (p *peer) watch(s *stream) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for now := range t.C {
		p.mu.Lock()
		alive := p.conn == s
		unresponsive := alive && !p.probeSent.IsZero() && now.Sub(p.probeSent) >= echoTimeout
		due := alive && p.probeSent.IsZero() && (p.lastQueued.After(p.lastReceived) || now.Sub(p.lastReceived) >= idleProbeInterval)
		if due {
			p.probeSent = now
			s.enqueue(frame{frameType: probe})
		}
		p.mu.Unlock()
		if !alive {
			return
		}
		if unresponsive {
			p.d.Log.Warn("connection unresponsive; closing it, the next frame opens a new one", "peer", p.vm, "silence", echoTimeout)
			s.close()
			return
		}
	}
}

// connectionLost closes a connection and, if it is the current one, fails its calls.
func (p *peer) connectionLost(s *stream) {
	s.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == s {
		p.conn = nil
		p.failCalls()
	}
}

// failCalls ends all waiting calls, whose responses can't arrive any more.
func (p *peer) failCalls() {
	for n, done := range p.calls {
		close(done)
		delete(p.calls, n)
	}
}

// close closes the connection for good; no further frames are sent.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		p.conn.close()
	}
}
