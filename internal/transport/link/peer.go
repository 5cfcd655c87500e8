package link

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Timing of connections.
const (
	dialTimeout = 300 * time.Millisecond // several round trips of the slowest region; a lost packet is sent again only after seconds
	redialDelay = 50 * time.Millisecond  // between failed dials
	callTimeout = 5 * time.Second        // of a call whose context has no deadline
)

// errLost reports a connection that ended before the answer came.
var errLost = errors.New("the connection ended before the answer")

// peer is the way to one other VM.
type peer struct {
	vm string
	d  Deps

	mu      sync.Mutex
	s       *stream
	waiting []frame // while the connection is being made
	bytes   int
	dialing bool
	closed  bool
	retry   time.Time
	next    uint64
	calls   map[uint64]chan frame
	sent    time.Time // when the last frame was queued
	heard   time.Time // when the last frame came
	probed  time.Time // when the unanswered probe was sent; zero when there is none
}

func newPeer(vm string, d Deps) *peer {
	return &peer{vm: vm, d: d, calls: map[uint64]chan frame{}}
}

// offer queues a frame on the connection, which it makes when there is none.
func (p *peer) offer(f frame) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.offerLocked(f)
}

func (p *peer) offerLocked(f frame) bool {
	if p.closed {
		return false
	}
	p.sent = time.Now()
	if p.s != nil {
		return p.s.offer(f)
	}
	if !p.dialing && p.sent.Before(p.retry) {
		return false
	}
	if len(p.waiting) >= ringFrames || p.bytes+f.size() > ringBytes {
		return false
	}
	p.waiting = append(p.waiting, f)
	p.bytes += f.size()
	if !p.dialing {
		p.dialing = true
		go p.dial()
	}
	return true
}

func (p *peer) call(ctx context.Context, k Kind, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := make(chan frame, 1)
	p.mu.Lock()
	p.next++
	n := p.next
	ok := p.offerLocked(frame{shape: request, kind: k, number: n, body: body})
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
			return nil, errLost
		}
		if f.shape == failure {
			return nil, Refused{Reason: string(f.body)}
		}
		return f.body, nil
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.calls, n)
		p.mu.Unlock()
		return nil, errors.Wrapf(ctx.Err(), "waiting for VM %s", p.vm)
	}
}

// dial makes the connection and sends what has queued up meanwhile.
func (p *peer) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	c, err := p.d.Network.Dial(ctx, p.vm)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = false
	l := p.waiting
	p.waiting, p.bytes = nil, 0
	if err != nil || p.closed {
		if err == nil {
			_ = c.Close()
		}
		p.retry = time.Now().Add(redialDelay)
		p.failCalls()
		return
	}
	s := newStream(c)
	p.s = s
	p.heard = time.Now()
	p.probed = time.Time{}
	s.offer(frame{shape: greeting, body: []byte(p.d.Self)})
	for _, f := range l {
		s.offer(f)
	}
	go s.write()
	go p.read(s)
	go p.watch(s)
}

// read takes answers until the connection ends.
func (p *peer) read(s *stream) {
	defer p.lost(s)
	for {
		f, err := readFrame(s.r)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.heard = time.Now()
		p.probed = time.Time{}
		if done, ok := p.calls[f.number]; ok && (f.shape == answer || f.shape == failure) {
			delete(p.calls, f.number)
			done <- f
		}
		p.mu.Unlock()
	}
}

// watch probes a connection in use and ends it when nothing comes back.
func (p *peer) watch(s *stream) {
	t := time.NewTicker(probeAfter)
	defer t.Stop()
	for now := range t.C {
		p.mu.Lock()
		alive := p.s == s
		silent := alive && !p.probed.IsZero() && now.Sub(p.probed) >= silentAfter
		due := alive && p.probed.IsZero() && (p.sent.After(p.heard) || now.Sub(p.heard) >= idleProbe)
		if due {
			p.probed = now
			s.offer(frame{shape: probe})
		}
		p.mu.Unlock()
		if !alive {
			return
		}
		if silent {
			p.d.Log.Warn("connection silent", "peer", p.vm, "silence", silentAfter)
			s.end()
			return
		}
	}
}

func (p *peer) lost(s *stream) {
	s.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.s == s {
		p.s = nil
		p.failCalls()
	}
}

// failCalls wakes the callers whose answers can't come any more.
func (p *peer) failCalls() {
	for n, done := range p.calls {
		close(done)
		delete(p.calls, n)
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.s != nil {
		p.s.end()
	}
}
