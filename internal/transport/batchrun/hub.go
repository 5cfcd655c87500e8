package batchrun

import (
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
	onChange func()

	mu      sync.Mutex
	entries map[string]report
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
func NewHub() *Hub {
	return &Hub{entries: map[string]report{}, told: map[string]told{}, onChange: func() {}}
}

// Receive takes an entry VM's message.
func (h *Hub) Receive(from string, b []byte) {
	c, err := DecodeCounts(b)
	if err != nil {
		return // a damaged report is replaced by the next one
	}
	h.mu.Lock()
	h.entries[from] = report{counts: c, at: time.Now()}
	h.mu.Unlock()
	h.onChange()
}

// Online returns the online requests in flight, by upstream.
func (h *Hub) Online(now time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := map[string]int{}
	for vm, r := range h.entries {
		if now.Sub(r.at) > entryExpiry {
			delete(h.entries, vm)
			delete(h.told, vm)
			continue
		}
		for id, n := range r.counts {
			m[id] += n
		}
	}
	return m
}

// Interval returns the time between messages: longer in large fleets, whose messages are many and long.
func (h *Hub) Interval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return tellInterval * time.Duration(max(manyEntries, len(h.entries))) / manyEntries
}

// Due returns the messages that entry VMs are to be sent now.
func (h *Hub) Due(now time.Time, batch map[string]int) map[string][]byte {
	online := h.Online(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string][]byte{}
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
		out[vm] = EncodeLoads(l)
	}
	return out
}

// EncodeCounts returns the wire form of requests in flight by upstream.
func EncodeCounts(m map[string]int) []byte {
	l := map[string]dispatch.Load{}
	for id, n := range m {
		l[id] = dispatch.Load{Online: n}
	}
	return EncodeLoads(l)
}

// DecodeCounts reads the wire form of requests in flight by upstream.
func DecodeCounts(b []byte) (map[string]int, error) {
	l, err := DecodeLoads(b)
	m := map[string]int{}
	for id, x := range l {
		m[id] = x.Online
	}
	return m, err
}

// EncodeLoads returns the wire form of loads by upstream.
func EncodeLoads(m map[string]dispatch.Load) []byte {
	e := wire.NewEncoder()
	for id, x := range m {
		e.Record(1, func(e *wire.Encoder) {
			e.Text(1, id)
			e.Uint(2, uint64(x.Online))
			e.Uint(3, uint64(x.Batch))
		})
	}
	return e.Encoded()
}

// DecodeLoads reads the wire form of loads by upstream.
func DecodeLoads(b []byte) (map[string]dispatch.Load, error) {
	m := map[string]dispatch.Load{}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f != 1 {
			continue
		}
		id := ""
		var x dispatch.Load
		r := d.Record()
		for g, ok := r.Next(); ok; g, ok = r.Next() {
			switch g {
			case 1:
				id = r.Text()
			case 2:
				x.Online = int(r.Uint())
			case 3:
				x.Batch = int(r.Uint())
			}
		}
		d.Fail(r.Err())
		m[id] = x
	}
	return m, d.Err()
}
