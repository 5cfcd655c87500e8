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

// latestPrefix is the first byte of a request for a query whose response must include everything committed before it.
// Other queries start with a field tag, and no field tag has this value.
const latestPrefix = 0

// BarrierProvider waits until this keeper has applied everything that was committed before the call.
type BarrierProvider interface {
	Barrier(ctx context.Context, group uint32) error
}

// holdPrefix is the first byte of a request to start no more items of a job that is about to be cancelled; the job's id
// follows. No field tag has this value either.
const holdPrefix = 1

// Serve handles batch requests of other VMs: requests to hold a job back, which it passes to held, and on a keeper
// queries of its state l. On other VMs l is nil, and queries fail with NotReady.
func Serve(m *mesh.Mesh, b BarrierProvider, l *ledger.Machine, held func(job string)) {
	m.Handle(frame.Job, func(ctx context.Context, _ string, q []byte) ([]byte, error) {
		if len(q) > 0 && q[0] == holdPrefix {
			held(string(q[1:]))
			return nil, nil
		}
		if l == nil {
			return nil, result.New(result.NotReady, "the VM is no keeper")
		}
		if len(q) > 0 && q[0] == latestPrefix {
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

// SendLoad reports to a VM how many online requests this VM has in flight at an upstream; bursts have their own kind.
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

// Receive passes other VMs' counts of online requests to f, which must not block.
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
