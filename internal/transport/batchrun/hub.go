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
	tellInterval = 25 * time.Millisecond  // between messages to entry VMs when figures change
	manyEntries  = 14                     // entries from which on the interval grows with their number
	tellAnyway   = 400 * time.Millisecond // when they do not
	entryExpiry  = 3 * time.Second        // an entry VM that does not report holds no places
)

// Hub collects what is in flight from all entry VMs and tells each what the others have; it is safe for concurrent use.
type Hub struct {
	log      *slog.Logger
	onChange func()

	mu      sync.Mutex
	entries map[string]report
	online  map[string]int // sum of all reports
	told    map[string]told
}

type report struct {
	counts map[string]int // by upstream
	at     time.Time
}

// told is what an entry VM was told last.
type told struct {
	loads map[string]dispatch.Load
	at    time.Time
}

// NewHub returns an empty Hub.
func NewHub(l *slog.Logger) *Hub {
	return &Hub{log: l, entries: map[string]report{}, online: map[string]int{}, told: map[string]told{}, onChange: func() {}}
}

// Receive takes an entry VM's message.
func (h *Hub) Receive(from string, b []byte) {
	c, err := DecodeCounts(b)
	if err != nil {
		h.log.Warn("report of requests in flight dropped, the next one replaces it", "peer", from, "error", err)
		return
	}
	h.mu.Lock()
	h.drop(from)
	h.entries[from] = report{counts: c, at: time.Now()}
	for id, n := range c {
		h.online[id] += n
	}
	h.mu.Unlock()
	h.onChange()
}

// Online returns the online requests in flight, by upstream.
func (h *Hub) Online(now time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, r := range h.entries {
		if now.Sub(r.at) > entryExpiry {
			h.drop(vm)
			delete(h.told, vm)
		}
	}
	return maps.Clone(h.online)
}

// drop takes an entry VM's report out.
func (h *Hub) drop(vm string) {
	for id, n := range h.entries[vm].counts {
		if h.online[id] -= n; h.online[id] <= 0 {
			delete(h.online, id)
		}
	}
	delete(h.entries, vm)
}

// Interval returns the time between messages: longer in large fleets, whose messages are many and long.
func (h *Hub) Interval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return tellInterval * time.Duration(max(manyEntries, len(h.entries))) / manyEntries
}

// Due returns the loads that entry VMs are to be told now, those of the others.
func (h *Hub) Due(now time.Time, batch map[string]int) map[string]map[string]dispatch.Load {
	online := h.Online(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]map[string]dispatch.Load{}
	for vm, r := range h.entries {
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
		t := h.told[vm]
		if now.Sub(t.at) < tellAnyway && maps.Equal(t.loads, l) {
			continue
		}
		h.told[vm] = told{loads: l, at: now}
		out[vm] = l
	}
	return out
}

// EncodeHint returns the wire form of loads, in the order of a list of upstreams that both sides have.
func EncodeHint(listTag uint64, ids []string, m map[string]dispatch.Load) []byte {
	b := binary.BigEndian.AppendUint64(nil, listTag)
	for _, id := range ids {
		b = binary.AppendUvarint(b, uint64(max(0, m[id].Online)))
		b = binary.AppendUvarint(b, uint64(max(0, m[id].Batch)))
	}
	return b
}

// DecodeHint reads the wire form of loads; it is false when the sender has another list.
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

// EncodeCounts returns the wire form of requests in flight by upstream.
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

// DecodeCounts reads the wire form of requests in flight by upstream.
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
