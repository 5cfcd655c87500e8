package feed

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/catalog"
	"snipetack/internal/state/group"
)

// Timing of stamps.
const (
	stampInterval = 300 * time.Millisecond // how often a keeper renews its stamp
	stampTimeout  = time.Second            // for the barrier of a stamp, and for sending an event
)

// Stream is the message stream between a follower and a keeper.
type Stream interface {
	Send(message []byte) error
	Receive() ([]byte, error)
	SetReceiveTimeout(d time.Duration)
	SetSendTimeout(d time.Duration)
}

// BarrierProvider waits until everything that a group committed before the call is applied on this VM.
type BarrierProvider interface {
	Barrier(ctx context.Context, group uint32) error
}

// HistoryProvider reads the applied configuration.
type HistoryProvider interface {
	// Current returns the newest configuration.
	Current() *catalog.Configuration
	// Since returns the changes after a revision, or false when some of them have been discarded.
	Since(revision uint64) ([]catalog.Applied, bool)
	// Changed returns a channel that is closed at the next revision.
	Changed() <-chan struct{}
}

// Publisher sends changes and stamps from a keeper to its followers; it is safe for concurrent use.
type Publisher struct {
	barrier  BarrierProvider
	history  HistoryProvider
	log      *slog.Logger
	mu       sync.Mutex
	revision uint64    // of the last stamp
	asOf     time.Time // everything committed by this time is in revision; zero before the first stamp
}

// NewPublisher returns a Publisher that sends no stamps until Run has made the first.
func NewPublisher(b BarrierProvider, h HistoryProvider, l *slog.Logger) *Publisher {
	return &Publisher{barrier: b, history: h, log: l}
}

// Run renews the stamp until ctx is done.
func (p *Publisher) Run(ctx context.Context) error {
	t := time.NewTicker(stampInterval)
	defer t.Stop()
	for {
		p.renewStamp(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Serve sends changes and stamps to one follower until its stream ends or ctx is done; from names the follower's VM.
func (p *Publisher) Serve(ctx context.Context, from string, s Stream) error {
	first, err := receivePoll(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	polls := make(chan Poll, 1)
	go receivePolls(ctx, cancel, s, polls)
	p.log.Debug("follower connected", "vm", from, "revision", first.Revision)
	sent := first.Revision
	polls <- first
	for {
		c := p.history.Changed()
		if sent, err = p.advance(s, sent); err != nil {
			return err
		}
		select {
		case <-c:
		case q := <-polls:
			if err := p.sendStamp(s, q, sent); err != nil {
				return err
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// renewStamp waits for the barrier. The stamp holds from before the barrier was requested, since later commits may be missing.
func (p *Publisher) renewStamp(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, stampTimeout)
	defer cancel()
	t := time.Now()
	if err := p.barrier.Barrier(c, group.Control); err != nil {
		p.log.Debug("stamp not renewed; followers get the previous one", "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asOf = t
	p.revision = p.history.Current().Revision
}

// advance sends the changes after the revision sent, or the complete configuration when those have been discarded, and
// returns the revision that the follower then has.
func (p *Publisher) advance(s Stream, sent uint64) (uint64, error) {
	l, ok := p.history.Since(sent)
	if !ok {
		c := p.history.Current()
		if c.Revision < sent {
			return sent, nil // the follower is ahead of this keeper
		}
		return c.Revision, send(s, Event{Configuration: c})
	}
	for _, a := range l {
		if err := send(s, Event{Applied: &a}); err != nil {
			return sent, err
		}
		sent = a.Revision
	}
	return sent, nil
}

// sendStamp responds to a poll with the last stamp, or not at all before the first one.
func (p *Publisher) sendStamp(s Stream, q Poll, _ uint64) error {
	p.mu.Lock()
	t, r := p.asOf, p.revision
	p.mu.Unlock()
	if t.IsZero() {
		return nil
	}
	return send(s, Event{Stamp: &Stamp{Poll: q.Number, Revision: r, Age: time.Since(t)}})
}

func send(s Stream, e Event) error {
	s.SetSendTimeout(stampTimeout)
	return s.Send(EncodeEvent(e))
}

func receivePoll(s Stream) (Poll, error) {
	b, err := s.Receive()
	if err != nil {
		return Poll{}, errors.Wrap(err, "waiting for a poll")
	}
	return DecodePoll(b)
}

// receivePolls passes polls on until the stream fails, then cancels; a poll that was not read yet is replaced by the next.
func receivePolls(ctx context.Context, cancel context.CancelFunc, s Stream, polls chan Poll) {
	defer cancel()
	for ctx.Err() == nil {
		q, err := receivePoll(s)
		if err != nil {
			return
		}
		select {
		case <-polls:
		default:
		}
		polls <- q
	}
}
