package jobs

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/result"
)

// pageBytes bounds the results in one page; a single larger result still goes.
const pageBytes = 900 << 10

// GroupProvider is the replicated group of the batch jobs.
type GroupProvider interface {
	ProposeHere(ctx context.Context, group uint32, command []byte) ([]byte, error)
	Barrier(ctx context.Context, group uint32) error
	Lease(group uint32) (term uint64, until time.Time, ok bool)
	Leader(group uint32) (vm string, term uint64)
}

// Server answers calls at a batch VM.
type Server struct {
	group uint32
	g     GroupProvider
	d     *docket.Docket
	log   *slog.Logger
}

// NewServer returns a Server.
func NewServer(group uint32, g GroupProvider, d *docket.Docket, l *slog.Logger) *Server {
	return &Server{group: group, g: g, d: d, log: l}
}

// Handle answers one call.
func (s *Server) Handle(ctx context.Context, _ string, b []byte) ([]byte, error) {
	c, err := decodeCall(b)
	if err != nil {
		return nil, err
	}
	switch c.operation {
	case submit, end:
		return encodeAnswer(s.change(ctx, c)), nil
	case read:
		if c.copied {
			return encodeAnswer(s.readCopy(ctx, c)), nil
		}
		return encodeAnswer(s.read(ctx, c)), nil
	case body:
		return encodeAnswer(s.body(ctx, c)), nil
	}
	return nil, errors.Errorf("operation %d is unknown", c.operation)
}

// change commits a command.
func (s *Server) change(ctx context.Context, c call) answer {
	m, err := docket.DecodeCommand(c.command)
	if err != nil {
		return answer{status: Invalid}
	}
	if m.Action == docket.Submit {
		m.Job.Accepted = time.Now()
	}
	v, err := s.g.ProposeHere(ctx, s.group, docket.EncodeCommand(m))
	s.log.Info("job changed", "job", m.Job.ID, "account", m.Job.Account, "action", int(m.Action), "items", len(m.Job.Items),
		"most_waiting", m.MaxWaiting, "verdict", v, "error", err)
	if err != nil {
		return s.failed(err)
	}
	switch docket.Verdict(v[0]) {
	case docket.Accepted:
		return answer{status: OK}
	case docket.OverLimit:
		return answer{status: NoRoom}
	case docket.NoJob:
		return answer{status: Unknown}
	}
	return answer{status: Invalid}
}

// failed tells a command that surely did nothing from one whose fate is open.
func (s *Server) failed(err error) answer {
	var n consensus.NotLeader
	if errors.As(err, &n) {
		return answer{status: Moved, leader: n.Leader.VM}
	}
	var f *result.Failure
	if errors.As(err, &f) && f.Ran == result.NotRun {
		return answer{status: Moved}
	}
	return answer{status: Unclear}
}

// current makes sure that this VM leads and has applied all that was committed.
func (s *Server) current(ctx context.Context) (answer, bool) {
	if _, _, ok := s.g.Lease(s.group); !ok {
		l, _ := s.g.Leader(s.group)
		return answer{status: Moved, leader: l}, false
	}
	if err := s.g.Barrier(ctx, s.group); err != nil {
		return answer{status: Moved}, false
	}
	return answer{}, true
}

func (s *Server) read(ctx context.Context, c call) answer {
	return s.await(ctx, c.wait, func() (answer, bool) {
		if a, ok := s.current(ctx); !ok {
			return a, true
		}
		a := s.page(c)
		return a, a.status != OK || len(a.page.Results) > 0 || a.page.Total == c.after
	})
}

// readCopy answers with the results that this VM has, whether it leads or not, and waits for the first one as long
// as a leader may send it.
func (s *Server) readCopy(ctx context.Context, c call) answer {
	return s.await(ctx, c.wait, func() (answer, bool) {
		a := s.page(c)
		if len(a.page.Results) > 0 {
			return a, true
		}
		l, _ := s.g.Leader(s.group)
		return answer{status: Moved, leader: l}, a.status != OK || a.page.Total == c.after || l == ""
	})
}

// await looks after each change until a look is final, the wait is over or ctx ends.
func (s *Server) await(ctx context.Context, wait time.Duration, look func() (a answer, final bool)) answer {
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		changed := s.d.Changed()
		a, final := look()
		if final || wait <= 0 {
			return a
		}
		select {
		case <-changed:
		case <-until.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

func (s *Server) page(c call) answer {
	a := answer{status: Unknown}
	s.d.Read(c.job, func(j *docket.Job) {
		if j.Account != c.account {
			return
		}
		a.status = OK
		a.page = Page{Total: len(j.Items), Next: c.after}
		n := 0
		for _, i := range j.ResultOrder[min(c.after, len(j.ResultOrder)):] {
			x := j.Items[i]
			n += len(x.Output)
			if n > pageBytes && len(a.page.Results) > 0 {
				break
			}
			a.page.Results = append(a.page.Results, Result{Item: x.ID, Complete: x.Outcome == docket.Complete, Output: x.Output})
		}
		a.page.Next = c.after + len(a.page.Results)
	})
	return a
}

func (s *Server) body(ctx context.Context, c call) answer {
	if a, ok := s.current(ctx); !ok {
		return a
	}
	a := answer{status: Unknown}
	s.d.Read(c.job, func(j *docket.Job) {
		if j.Account != c.account || j.Ended {
			return
		}
		for i := range j.Items {
			if j.Items[i].ID == c.item && j.Items[i].Outcome == docket.Open {
				a = answer{status: OK, body: append([]byte(nil), j.Items[i].Body...)}
			}
		}
	})
	return a
}

// NotHere returns the answer of a VM that has no part in the group yet.
func NotHere() []byte { return encodeAnswer(answer{status: Moved}) }
