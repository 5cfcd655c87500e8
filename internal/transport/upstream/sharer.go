package upstream

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/wire"
)

// Timing and limits of the messages about requests in flight that VMs exchange.
const (
	shareInterval = 200 * time.Millisecond
	shareRefresh  = time.Second // for an unchanged message, before its counts expire at the receivers
	maxShared     = 256         // upstreams in a message; those with the most requests in flight are kept
)

// SendProvider sends a one-way message to a VM.
type SendProvider interface {
	Send(vm string, k frame.Kind, message []byte)
}

// InFlightProvider holds the counts of requests that this VM and others have in flight, by upstream.
type InFlightProvider interface {
	// InFlight returns this VM's counts.
	InFlight() map[string]int
	// SetOthersInFlight replaces the counts of another VM.
	SetOthersInFlight(vm string, inFlight map[string]int)
}

// Sharer sends this VM's counts of requests in flight to other VMs and receives theirs.
type Sharer struct {
	send  SendProvider
	vms   []string
	table InFlightProvider
}

// NewSharer returns a Sharer that sends to the named VMs.
func NewSharer(s SendProvider, vms []string, t InFlightProvider) *Sharer {
	return &Sharer{send: s, vms: vms, table: t}
}

// Run sends a message after each change, at most one per shareInterval, until ctx ends. Counts that stay the same are
// sent again every shareRefresh, unless there are none.
func (s *Sharer) Run(ctx context.Context) error {
	var last map[string]int
	var at time.Time
	for pause.For(ctx, shareInterval) {
		m := s.table.InFlight()
		if maps.Equal(m, last) && (len(m) == 0 || time.Since(at) < shareRefresh) {
			continue
		}
		last, at = m, time.Now()
		b := encodeInFlight(m)
		for _, v := range s.vms {
			s.send.Send(v, frame.Load, b)
		}
	}
	return nil
}

// Receive stores the counts in another VM's message; a malformed message is ignored.
func (s *Sharer) Receive(from string, message []byte) {
	m, err := decodeInFlight(message)
	if err == nil {
		s.table.SetOthersInFlight(from, m)
	}
}

func encodeInFlight(m map[string]int) []byte {
	n := slices.SortedFunc(maps.Keys(m), func(a, b string) int { return m[b] - m[a] })
	e := wire.NewEncoder()
	for _, u := range n[:min(len(n), maxShared)] {
		e.Record(1, func(e *wire.Encoder) {
			e.Text(1, u)
			e.Uint(2, uint64(m[u]))
		})
	}
	return e.Encoded()
}

func decodeInFlight(b []byte) (map[string]int, error) {
	m := map[string]int{}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		var u string
		r := d.Record()
		for f, ok := r.Next(); ok; f, ok = r.Next() {
			switch f {
			case 1:
				u = r.Text()
			case 2:
				m[u] = int(r.Uint())
			}
		}
		d.Fail(r.Err())
	}
	return m, errors.Wrap(d.Err(), "decoding requests in flight")
}
