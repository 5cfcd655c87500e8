package feed

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pause"
)

// Timing of a follower.
const (
	pollInterval = 300 * time.Millisecond
	stallTimeout = 1500 * time.Millisecond // without a newer stamp for this time, the next keeper is tried
	retryDelay   = 200 * time.Millisecond  // before the next keeper is tried
)

// Opener opens a watch stream to a keeper; closeStream releases it.
type Opener func(ctx context.Context, keeper string) (s Stream, closeStream func(), err error)

// Follower keeps a Copy up to date from one keeper at a time, and changes to the next when that one fails.
type Follower struct {
	copy    *Copy
	keepers []string // in order of preference
	open    Opener
	log     *slog.Logger
}

// NewFollower returns a Follower of the named keepers.
func NewFollower(c *Copy, keepers []string, open Opener, l *slog.Logger) *Follower {
	return &Follower{copy: c, keepers: keepers, open: open, log: l}
}

// Run follows the keepers in turn until ctx is done; it always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		k := f.keepers[i%len(f.keepers)]
		err := f.follow(ctx, k)
		f.log.Debug("watch of keeper ended; trying the next one", "keeper", k, "error", err)
		pause.For(ctx, retryDelay)
	}
	return nil
}

// follow reads from one keeper until its stream breaks or its stamps stop advancing.
func (f *Follower) follow(ctx context.Context, keeper string) error {
	c, cancel := context.WithTimeout(ctx, stallTimeout)
	s, closeStream, err := f.open(c, keeper)
	cancel()
	if err != nil {
		return err
	}
	defer closeStream()
	events := make(chan Event, 1)
	failed := make(chan error, 1)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go receiveEvents(ctx, s, events, failed)
	w := &watch{copy: f.copy, stream: s, sentAt: map[uint64]time.Time{}, advancedAt: time.Now()}
	return w.run(ctx, events, failed)
}

// watch is the state of one watch stream; only its run method uses it.
type watch struct {
	copy       *Copy
	stream     Stream
	number     uint64               // of the last poll
	sentAt     map[uint64]time.Time // when each poll without a stamp so far was sent, by number
	newestAsOf time.Time            // latest time up to which a stamp confirmed the copy
	advancedAt time.Time            // when newestAsOf last advanced
}

// run polls at intervals and handles events until the stream fails or its stamps stop advancing.
func (w *watch) run(ctx context.Context, events <-chan Event, failed <-chan error) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	if err := w.poll(true); err != nil {
		return err
	}
	for {
		select {
		case e := <-events:
			if err := w.handle(e); err != nil {
				return err
			}
		case err := <-failed:
			return err
		case <-t.C:
			if time.Since(w.advancedAt) > stallTimeout {
				return errors.New("no newer stamp from the keeper within the stall timeout")
			}
			if err := w.poll(false); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// poll sends a poll; the first one of a stream opens it.
func (w *watch) poll(first bool) error {
	w.number++
	w.sentAt[w.number] = time.Now()
	w.stream.SetSendTimeout(stallTimeout)
	p := Poll{Number: w.number, Revision: w.copy.Current().Revision, Follow: first}
	return w.stream.Send(EncodePoll(p))
}

// handle applies an event to the copy.
func (w *watch) handle(e Event) error {
	switch {
	case e.Configuration != nil:
		w.copy.install(e.Configuration)
	case e.Applied != nil:
		if !w.copy.apply(*e.Applied) {
			return errors.Errorf("revision %d does not apply to the copy", e.Applied.Revision)
		}
	case e.Stamp != nil:
		w.handleStamp(*e.Stamp)
	}
	return nil
}

// handleStamp extends the lease by a stamp. The stamp's age is subtracted from when the poll was sent: the stamp was sent later,
// so the copy is never taken for newer than it is.
func (w *watch) handleStamp(s Stamp) {
	t, ok := w.sentAt[s.Poll]
	if !ok {
		return
	}
	for n := range w.sentAt {
		if n <= s.Poll {
			delete(w.sentAt, n)
		}
	}
	asOf := t.Add(-s.Age)
	if !w.copy.confirm(s.Revision, asOf) || !asOf.After(w.newestAsOf) {
		return
	}
	w.newestAsOf = asOf
	w.advancedAt = time.Now()
}

// receiveEvents passes the events of a stream on until it fails or ctx is done.
func receiveEvents(ctx context.Context, s Stream, events chan<- Event, failed chan<- error) {
	for {
		b, err := s.Receive()
		if err != nil {
			failed <- err
			return
		}
		e, err := DecodeEvent(b)
		if err != nil {
			failed <- err
			return
		}
		select {
		case events <- e:
		case <-ctx.Done():
			return
		}
	}
}
