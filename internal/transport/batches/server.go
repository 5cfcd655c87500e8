package batches

import (
	"context"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/group"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
	"snipetack/internal/state/wire"
	"snipetack/internal/transport/mesh"
)

// latest precedes a query whose answer must hold all that was committed before it; no field tag has this value.
const latest = 0

// BarrierProvider waits until a keeper has applied what was committed before the call.
type BarrierProvider interface {
	Barrier(ctx context.Context, group uint32) error
}

// hold precedes the id of a job that is about to be cancelled; no field tag has this value.
const hold = 1

// Serve takes holds from other VMs and, at a keeper, answers their queries with its state; l is nil elsewhere.
func Serve(m *mesh.Mesh, b BarrierProvider, l *ledger.Machine, held func(job string)) {
	m.Handle(frame.Job, func(ctx context.Context, _ string, q []byte) ([]byte, error) {
		if len(q) > 0 && q[0] == hold {
			held(string(q[1:]))
			return nil, nil
		}
		if l == nil {
			return nil, result.New(result.NotReady, "the VM is no keeper")
		}
		if len(q) > 0 && q[0] == latest {
			q = q[1:]
			if err := b.Barrier(ctx, group.FirstJobs); err != nil {
				return nil, err
			}
		}
		v, err := ledger.DecodeQuery(q)
		if err != nil {
			return nil, err
		}
		return ledger.EncodeResponse(l.Read(v)), nil
	})
}

// Sender sends counts of online requests over the mesh.
type Sender struct {
	mesh *mesh.Mesh
}

var _ batch.SendProvider = (*Sender)(nil)

// NewSender returns a Sender.
func NewSender(m *mesh.Mesh) *Sender {
	return &Sender{mesh: m}
}

// SendLoad tells a VM how many online requests this VM has in flight at an upstream.
func (s *Sender) SendLoad(vm string, l batch.Load) {
	k := frame.BatchLoad
	if l.Burst {
		k = frame.Preempt
	}
	e := wire.NewEncoder()
	e.Text(1, l.Upstream)
	e.Uint(2, uint64(l.InFlight))
	s.mesh.Send(vm, k, e.Encoded())
}

// Receive passes other VMs' counts to f, which must not block.
func Receive(m *mesh.Mesh, f func(from string, l batch.Load)) {
	for _, k := range []frame.Kind{frame.BatchLoad, frame.Preempt} {
		m.Receive(k, func(from string, b []byte) {
			l := batch.Load{Burst: k == frame.Preempt}
			d := wire.NewDecoder(b)
			for n, ok := d.Next(); ok; n, ok = d.Next() {
				switch n {
				case 1:
					l.Upstream = d.Text()
				case 2:
					l.InFlight = int(d.Uint())
				}
			}
			if d.Err() == nil {
				f(from, l)
			}
		})
	}
}
