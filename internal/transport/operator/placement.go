package operator

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/placement"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/order"
	"snipetack/internal/state/result"
	"snipetack/internal/state/wire"
	"snipetack/internal/transport/mesh"
)

// PlacementProvider is a keeper's part in placement.
type PlacementProvider interface {
	// State returns the committed state.
	State() order.State
	// Explain returns the latest decisions about an upstream or artifact, or about all when the name is empty. It returns
	// false when the keeper is not the placement leader.
	Explain(ctx context.Context, about string) ([]placement.Decision, bool)
}

// Placement is the JSON form of what each upstream holds and of the decisions that led to it.
type Placement struct {
	Leader    string              `json:"leader"`
	Upstreams []PlacedForm        `json:"upstreams"`
	Decisions []PlacementDecision `json:"decisions"` // oldest first, since the leader's term began
}

// PlacedForm is the JSON form of what an upstream holds.
type PlacedForm struct {
	Upstream string   `json:"upstream"`
	Loaded   []string `json:"loaded"`
	Role     string   `json:"role,omitempty"`
	Pending  string   `json:"pending,omitempty"` // action and target of an order whose outcome is not known yet
	Fence    uint64   `json:"fence,omitempty"`   // of the pending order
}

// PlacementDecision is the JSON form of a decision of the placement leader.
type PlacementDecision struct {
	At       int64  `json:"at"` // Unix seconds
	Action   string `json:"action"`
	Target   string `json:"target"`
	Upstream string `json:"upstream,omitempty"` // empty when nothing could be ordered
	Reason   string `json:"reason"`
}

// Placement returns what all upstreams hold, and the decisions about an upstream or artifact, or about all when the name
// is empty.
func (c *Client) Placement(ctx context.Context, about string) (Placement, error) {
	var p Placement
	return p, c.Get(ctx, "/operator/v1/placement?about="+url.QueryEscape(about), &p)
}

// PlacementHandler returns the handler of a keeper for other VMs' placement requests. It fails with NoQuorum unless the
// keeper is the placement leader.
func PlacementHandler(p PlacementProvider) mesh.Handler {
	return func(ctx context.Context, _ string, b []byte) ([]byte, error) {
		l, ok := p.Explain(ctx, string(b))
		if !ok {
			return nil, result.New(result.NoQuorum, "this keeper does not lead placement")
		}
		return encodePlacement(p.State(), l), nil
	}
}

// MountPlacement adds the operators' route for placement to a server.
func MountPlacement(s *Server, c CallProvider, keepers []string) {
	s.Mount("GET /operator/v1/placement", func(w http.ResponseWriter, r *http.Request, _ string) {
		p, err := requestPlacement(r.Context(), c, keepers, r.URL.Query().Get("about"))
		if err != nil {
			reply.Failure(w, err)
			return
		}
		reply.JSON(w, http.StatusOK, p)
	})
}

// requestPlacement sends the request to the keepers in turn until one, the placement leader, returns its state.
func requestPlacement(ctx context.Context, c CallProvider, keepers []string, about string) (Placement, error) {
	var last error
	for _, k := range keepers {
		q, cancel := context.WithTimeout(ctx, reportTimeout)
		b, err := c.Call(q, k, frame.Placement, []byte(about))
		cancel()
		if err == nil {
			return decodePlacement(k, b)
		}
		last = err
	}
	return Placement{}, result.New(result.NoQuorum, "no keeper leads placement now: %v", errors.Cause(last)).After(time.Second)
}

func encodePlacement(s order.State, l []placement.Decision) []byte {
	e := wire.NewEncoder()
	for _, u := range slices.Sorted(maps.Keys(s.Upstreams)) {
		e.Record(1, func(e *wire.Encoder) { encodePlaced(e, u, s.Upstreams[u]) })
	}
	for _, d := range l {
		e.Record(2, func(e *wire.Encoder) {
			e.Time(1, d.At)
			e.Text(2, string(d.Action))
			e.Text(3, d.Target)
			e.Text(4, d.Upstream)
			e.Text(5, d.Reason)
		})
	}
	return e.Encoded()
}

func encodePlaced(e *wire.Encoder, upstream string, p order.Placed) {
	e.Text(1, upstream)
	e.Texts(2, slices.Sorted(maps.Keys(p.Loaded)))
	e.Text(3, p.Role)
	if p.Pending != nil {
		e.Text(4, string(p.Pending.Action)+" "+p.Pending.Target)
		e.Uint(5, p.Pending.Fence)
	}
}

func decodePlacement(leader string, b []byte) (Placement, error) {
	p := Placement{Leader: leader, Upstreams: []PlacedForm{}, Decisions: []PlacementDecision{}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		n := d.Record()
		switch f {
		case 1:
			p.Upstreams = append(p.Upstreams, decodePlaced(n))
		case 2:
			p.Decisions = append(p.Decisions, decodeDecision(n))
		}
		d.Fail(n.Err())
	}
	return p, errors.Wrap(d.Err(), "decoding what is placed")
}

func decodePlaced(d *wire.Decoder) PlacedForm {
	v := PlacedForm{Loaded: []string{}}
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Upstream = d.Text()
		case 2:
			v.Loaded = append(v.Loaded, d.Text())
		case 3:
			v.Role = d.Text()
		case 4:
			v.Pending = d.Text()
		case 5:
			v.Fence = d.Uint()
		}
	}
	return v
}

func decodeDecision(d *wire.Decoder) PlacementDecision {
	var v PlacementDecision
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.At = seconds(d.Time())
		case 2:
			v.Action = d.Text()
		case 3:
			v.Target = d.Text()
		case 4:
			v.Upstream = d.Text()
		case 5:
			v.Reason = d.Text()
		}
	}
	return v
}
