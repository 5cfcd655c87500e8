package jobs

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/result"
)

// pageBytes limits the output in one page, in bytes; a single larger result is returned on a page of its own.
const pageBytes = 900 << 10

// GroupProvider is this VM's member of the replicated group that stores the batch jobs.
type GroupProvider interface {
	// ProposeHere commits a command and returns its result; it fails with consensus.NotLeader when another VM leads.
	ProposeHere(ctx context.Context, group uint32, command []byte) ([]byte, error)
	// Barrier returns once all commands committed before the call are applied here.
	Barrier(ctx context.Context, group uint32) error
	// Lease returns the leader lease of this VM; ok is false when it does not lead.
	Lease(group uint32) (term uint64, until time.Time, ok bool)
	// Leader returns the address of the current leader, or "" when it is unknown.
	Leader(group uint32) (vm string, term uint64)
}

// AdmissionProvider decides on new jobs at the leader.
type AdmissionProvider interface {
	// Admit returns false, and after how long the job could be accepted, when it can't be done before its items may be given up.
	Admit(j docket.Job) (ok bool, after time.Duration)
	// TokensFree returns after how long a job can be accepted with which its account would have more tokens waiting than allowed.
	TokensFree(j docket.Job, maxWaiting int) time.Duration
}

// Server serves calls at a batch VM; it is safe for concurrent use.
type Server struct {
	group     uint32
	g         GroupProvider
	d         *docket.Docket
	admission AdmissionProvider
	log       *slog.Logger
}

// NewServer returns a Server for the jobs in d, which group g replicates.
func NewServer(group uint32, g GroupProvider, d *docket.Docket, a AdmissionProvider, l *slog.Logger) *Server {
	return &Server{group: group, g: g, d: d, admission: a, log: l}
}

// Handle serves one call and returns the encoded response; it fails only for calls that can't be decoded.
func (s *Server) Handle(ctx context.Context, _ string, b []byte) ([]byte, error) {
	c, err := decodeCall(b)
	if err != nil {
		return nil, err
	}
	switch c.operation {
	case opSubmit, opEnd:
		return encodeResponse(s.change(ctx, c)), nil
	case opRead:
		if c.anyReplica {
			return encodeResponse(s.readReplica(ctx, c)), nil
		}
		return encodeResponse(s.read(ctx, c)), nil
	case opBody:
		return encodeResponse(s.body(ctx, c)), nil
	}
	return nil, errors.Errorf("operation %d is unknown", c.operation)
}

// mayUse reports whether an account, "" for none, may read and end a job. A job without an account was submitted without a key on a
// public route, or by a build that did not look at keys there; whoever knows its id may use it.
func mayUse(j *docket.Job, account string) bool {
	return j.Account == account || j.Account == ""
}

// sameItems reports whether a job has items with these ids. A former build submits jobs on public routes without an account, also those
// that it sends again.
func sameItems(j *docket.Job, items []docket.Item) bool {
	return slices.EqualFunc(j.Items, items, func(a, b docket.Item) bool { return a.ID == b.ID })
}

// change commits a command on a job. The leader sets the time of acceptance by its own clock.
func (s *Server) change(ctx context.Context, c call) response {
	m, err := docket.DecodeCommand(c.command)
	if err != nil {
		return response{status: Invalid}
	}
	s.d.Read(m.Job.ID, func(j *docket.Job) {
		formerBuild := m.Action == docket.Submit && m.Job.Account == "" && !c.accountDropped
		if mayUse(j, m.Job.Account) || formerBuild && sameItems(j, m.Job.Items) {
			m.Job.Account = j.Account
		}
	})
	if m.Action == docket.Submit {
		if a, ok := s.admit(ctx, m.Job); !ok {
			return a
		}
		m.Job.Accepted = time.Now()
	}
	v, err := s.g.ProposeHere(ctx, s.group, docket.EncodeCommand(m))
	s.log.Info("job changed", "job", m.Job.ID, "account", m.Job.Account, "action", int(m.Action), "items", len(m.Job.Items),
		"most_waiting", m.MaxWaiting, "verdict", v, "error", err)
	if err != nil {
		return s.commitError(err)
	}
	switch docket.Verdict(v[0]) {
	case docket.Accepted:
		return response{status: OK}
	case docket.OverLimit:
		return response{status: OverLimit, after: s.admission.TokensFree(m.Job, m.MaxWaiting)}
	case docket.NoJob:
		return response{status: NotFound}
	}
	return response{status: Invalid}
}

// admit decides on a job that is not accepted yet; it is false with the response when the job is refused. Whether it is accepted is
// known only once all earlier commands are applied here, since its acceptance may be one of them.
func (s *Server) admit(ctx context.Context, j docket.Job) (response, bool) {
	known := func() bool { return s.d.Read(j.ID, func(*docket.Job) {}) }
	if known() {
		return response{}, true
	}
	if _, _, ok := s.g.Lease(s.group); !ok {
		return response{}, true // the proposal fails and names the leader
	}
	ok, after := s.admission.Admit(j)
	if ok {
		return response{}, true
	}
	if a, ok := s.confirmLeader(ctx); !ok {
		return a, false
	}
	return response{status: Overloaded, after: after}, known()
}

// commitError returns NotLeader for a command that certainly had no effect and Unconfirmed for one that may be committed.
func (s *Server) commitError(err error) response {
	var n consensus.NotLeader
	if errors.As(err, &n) {
		return response{status: NotLeader, leader: n.Leader.VM}
	}
	var f *result.Failure
	if errors.As(err, &f) && f.Ran == result.NotRun {
		return response{status: NotLeader}
	}
	return response{status: Unconfirmed}
}

// confirmLeader confirms that this VM leads and has applied all committed commands; otherwise it returns false with the
// response to send.
func (s *Server) confirmLeader(ctx context.Context) (response, bool) {
	if _, _, ok := s.g.Lease(s.group); !ok {
		l, _ := s.g.Leader(s.group)
		return response{status: NotLeader, leader: l}, false
	}
	if err := s.g.Barrier(ctx, s.group); err != nil {
		return response{status: NotLeader}, false
	}
	return response{}, true
}

// read serves opRead at the leader.
func (s *Server) read(ctx context.Context, c call) response {
	return s.poll(ctx, c.wait, func() (response, bool) {
		if a, ok := s.confirmLeader(ctx); !ok {
			return a, true
		}
		a := s.page(c)
		return a, a.status != OK || len(a.page.Results) > 0 || a.page.Total == c.after
	})
}

// readReplica serves opRead with the results that this VM has, whether it leads or not. It waits for the first one while there
// is a leader that may replicate it, and responds with NotLeader if none arrives.
func (s *Server) readReplica(ctx context.Context, c call) response {
	return s.poll(ctx, c.wait, func() (response, bool) {
		a := s.page(c)
		if len(a.page.Results) > 0 {
			return a, true
		}
		l, _ := s.g.Leader(s.group)
		return response{status: NotLeader, leader: l}, a.status != OK || a.page.Total == c.after || l == ""
	})
}

// poll calls check now and after each change of the docket until its response is final, the wait is over or ctx ends, and
// returns the last response.
func (s *Server) poll(ctx context.Context, wait time.Duration, check func() (a response, final bool)) response {
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		changed := s.d.Changed()
		a, final := check()
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

// page returns the results of a job from a position on, up to pageBytes.
func (s *Server) page(c call) response {
	a := response{status: NotFound}
	s.d.Read(c.job, func(j *docket.Job) {
		if !mayUse(j, c.account) {
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

// body serves opBody at the leader.
func (s *Server) body(ctx context.Context, c call) response {
	if a, ok := s.confirmLeader(ctx); !ok {
		return a
	}
	a := response{status: NotFound}
	s.d.Read(c.job, func(j *docket.Job) {
		if !mayUse(j, c.account) || j.Ended {
			return
		}
		for i := range j.Items {
			if j.Items[i].ID == c.item && j.Items[i].Outcome == docket.Open {
				a = response{status: OK, body: append([]byte(nil), j.Items[i].Body...)}
			}
		}
	})
	return a
}

// NotHere returns the encoded response of a VM that has not joined the group yet.
func NotHere() []byte { return encodeResponse(response{status: NotLeader}) }
