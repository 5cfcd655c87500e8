package batchrun

import (
	"encoding/binary"
	"log/slog"
	"maps"
	"sync"
	"time"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/state/wire"
)

// Timing of a Hub.
const (
	hintInterval = 25 * time.Millisecond  // between hints to an entry VM whose loads change
	baseEntries  = 14                     // with more entry VMs the interval grows in proportion, to bound the leader's traffic
	hintRefresh  = 400 * time.Millisecond // unchanged loads are sent again after this time, since a hint may be lost
	reportExpiry = 3 * time.Second        // the requests of an entry VM that does not report for this long count as ended
)

// Hub collects the entry VMs' reports of online requests in flight and prepares a hint for each of them: the loads from all
// other VMs. It is safe for concurrent use.
type Hub struct {
	log      *slog.Logger
	onChange func()

	mu        sync.Mutex
	reports   map[string]report   // by entry VM
	online    map[string]int      // by upstream, the sum of all reports
	sentHints map[string]sentHint // by entry VM
}

// report is the last report of an entry VM.
type report struct {
	counts map[string]int // online requests in flight, by upstream
	at     time.Time
}

// sentHint is the last hint sent to an entry VM.
type sentHint struct {
	loads map[string]dispatch.Load
	at    time.Time
}

// NewHub returns an empty Hub.
func NewHub(l *slog.Logger) *Hub {
	return &Hub{log: l, reports: map[string]report{}, online: map[string]int{}, sentHints: map[string]sentHint{}, onChange: func() {}}
}

// Receive replaces an entry VM's report by b, encoded by EncodeCounts. A report that can't be decoded is logged and dropped.
func (h *Hub) Receive(from string, b []byte) {
	c, err := DecodeCounts(b)
	if err != nil {
		h.log.Warn("report of requests in flight dropped; the next one replaces it", "peer", from, "error", err)
		return
	}
	h.mu.Lock()
	h.removeReport(from)
	h.reports[from] = report{counts: c, at: time.Now()}
	for id, n := range c {
		h.online[id] += n
	}
	h.mu.Unlock()
	h.onChange()
}

// Online returns the number of online requests in flight by upstream id; expired reports are removed first.
func (h *Hub) Online(now time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, r := range h.reports {
		if now.Sub(r.at) > reportExpiry {
			h.removeReport(vm)
			delete(h.sentHints, vm)
		}
	}
	return maps.Clone(h.online)
}

// removeReport removes an entry VM's report and subtracts its counts from the sums.
func (h *Hub) removeReport(vm string) {
	for id, n := range h.reports[vm].counts {
		if h.online[id] -= n; h.online[id] <= 0 {
			delete(h.online, id)
		}
	}
	delete(h.reports, vm)
}

// Interval returns the time between hints. It grows in large fleets, which need more and longer hints.
func (h *Hub) Interval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return hintInterval * time.Duration(max(baseEntries, len(h.reports))) / baseEntries
}

// Due returns the hints to send now, by entry VM: the loads from all other VMs by upstream id. batch is the number of running
// items by upstream id. A hint that has not changed is due again after hintRefresh.
func (h *Hub) Due(now time.Time, batch map[string]int) map[string]map[string]dispatch.Load {
	online := h.Online(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]map[string]dispatch.Load{}
	for vm, r := range h.reports {
		l := map[string]dispatch.Load{}
		for id, n := range online {
			if n -= r.counts[id]; n > 0 {
				l[id] = dispatch.Load{Online: n}
			}
		}
		for id, n := range batch {
			x := l[id]
			x.Batch = n
			l[id] = x
		}
		t := h.sentHints[vm]
		if now.Sub(t.at) < hintRefresh && maps.Equal(t.loads, l) {
			continue
		}
		h.sentHints[vm] = sentHint{loads: l, at: now}
		out[vm] = l
	}
	return out
}

// EncodeHint returns the wire form of loads. It holds no ids but only counts in the order of ids, the list of upstreams that
// both sides have; listTag identifies that list.
func EncodeHint(listTag uint64, ids []string, m map[string]dispatch.Load) []byte {
	b := binary.BigEndian.AppendUint64(nil, listTag)
	for _, id := range ids {
		b = binary.AppendUvarint(b, uint64(max(0, m[id].Online)))
		b = binary.AppendUvarint(b, uint64(max(0, m[id].Batch)))
	}
	return b
}

// DecodeHint reads the wire form of loads; it returns false when the sender has another list or the hint is truncated.
func DecodeHint(b []byte, listTag uint64, ids []string) (map[string]dispatch.Load, bool) {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != listTag {
		return nil, false
	}
	b = b[8:]
	m := map[string]dispatch.Load{}
	for _, id := range ids {
		online, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, false
		}
		batch, k := binary.Uvarint(b[n:])
		if k <= 0 {
			return nil, false
		}
		b = b[n+k:]
		if online+batch > 0 {
			m[id] = dispatch.Load{Online: int(online), Batch: int(batch)}
		}
	}
	return m, true
}

// EncodeCounts returns the wire form of the number of requests in flight by upstream id.
func EncodeCounts(m map[string]int) []byte {
	e := wire.NewEncoder()
	for id, n := range m {
		e.Record(1, func(e *wire.Encoder) {
			e.Text(1, id)
			e.Uint(2, uint64(max(0, n)))
		})
	}
	return e.Encoded()
}

// DecodeCounts reads the wire form of the number of requests in flight by upstream id.
func DecodeCounts(b []byte) (map[string]int, error) {
	m := map[string]int{}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		id, n := "", 0
		r := d.Record()
		for g, ok := r.Next(); ok; g, ok = r.Next() {
			switch g {
			case 1:
				id = r.Text()
			case 2:
				n = int(r.Uint())
			}
		}
		d.Fail(r.Err())
		m[id] = n
	}
	return m, d.Err()
}
