package batchrun

import (
	"encoding/binary"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/fairness"
	"snipetack/internal/coordination/pace"
	"snipetack/internal/state/wire"
)

// Timing of a Hub.
const (
	hintInterval = 25 * time.Millisecond  // between hints to an entry VM whose loads change
	baseEntries  = 28                     // with more entry VMs the interval grows in proportion, to bound the traffic of one VM
	hintRefresh  = 400 * time.Millisecond // unchanged loads are sent again after this time, since a hint may be lost
	reportExpiry = 3 * time.Second        // the requests of an entry VM that does not report for this long count as ended
	baseExpiry   = time.Second            // loads from the other data centres that are older are ignored
)

// Hub collects the entry VMs' reports of online requests in flight and prepares a hint for each of them: the loads from all
// other VMs. In a large fleet each data centre has a collector: its Hub has the reports of the entry VMs there, and their sum is its
// report to the leading batch VM, whose hint is the base of its own. It is safe for concurrent use.
type Hub struct {
	log      *slog.Logger
	onChange func(urgent bool) // called after each report; must not block

	mu        sync.Mutex
	reports   map[string]report        // by entry VM or collector
	online    map[string]int           // by upstream, the sum of all reports
	sentHints map[string]sentHint      // by entry VM or collector
	base      map[string]dispatch.Load // by upstream, from VMs that do not report here
	baseAt    time.Time
	use       *fairness.Totals

	Paces Paces // of upstreams
}

// report is the last report of an entry VM or collector.
type report struct {
	counts Counts
	at     time.Time
}

// Counts is a report of online requests in flight.
type Counts struct {
	Requests map[string]int // by upstream id
	Urgent   bool           // a request has taken the slot of a batch item
	Hashed   bool           // the sender understands link.Loads
	Moved    bool           // the sender reports to another VM from now on
	Use      fairness.Use   // what accounts got lately from the sender, or from those that report to it; nil when it is not reported, or not in this report
	Paced    bool           // the sender understands link.Paces
	Paces    []pace.Sample  // that the sender has received since its last report
}

// sentHint is the last hint sent to an entry VM.
type sentHint struct {
	loads map[string]dispatch.Load
	at    time.Time
}

// NewHub returns an empty Hub.
func NewHub(l *slog.Logger) *Hub {
	return &Hub{log: l, reports: map[string]report{}, online: map[string]int{}, sentHints: map[string]sentHint{}, use: fairness.NewTotals(), onChange: func(bool) {}}
}

// OnChange sets what is called after each report, which must not block; urgent is set when a request has taken the slot of a batch item.
func (h *Hub) OnChange(f func(urgent bool)) { h.onChange = f }

// SetBase sets the loads from VMs that do not report to this Hub; they expire after baseExpiry.
func (h *Hub) SetBase(now time.Time, loads map[string]dispatch.Load) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.base, h.baseAt = loads, now
}

// Reporters returns the number of VMs that report to this Hub.
func (h *Hub) Reporters() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.reports)
}

// HasReport reports whether a VM reports to this Hub.
func (h *Hub) HasReport(vm string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.reports[vm]
	return ok
}

// Hashed reports whether a VM that reports to this Hub understands link.Loads.
func (h *Hub) Hashed(vm string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports[vm].counts.Hashed
}

// Reporting returns the VMs that report to this Hub and understand link.Paces.
func (h *Hub) Reporting() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []string
	for vm, r := range h.reports {
		if r.counts.Paced {
			l = append(l, vm)
		}
	}
	return l
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
	if c.Use != nil {
		h.use.Set(time.Now(), from, c.Use)
	}
	if c.Moved {
		delete(h.sentHints, from)
		h.use.Remove(from)
	} else {
		h.reports[from] = report{counts: c, at: time.Now()}
	}
	for id, n := range c.Requests {
		h.online[id] += n
	}
	h.mu.Unlock()
	h.Paces.Add(time.Now(), from, c.Paces)
	h.onChange(c.Urgent)
}

// Online returns the number of online requests in flight by upstream id; expired reports are removed first.
func (h *Hub) Online(now time.Time) map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, r := range h.reports {
		if now.Sub(r.at) > reportExpiry {
			h.removeReport(vm)
			h.use.Remove(vm)
			delete(h.sentHints, vm)
		}
	}
	return maps.Clone(h.online)
}

// removeReport removes an entry VM's report and subtracts its counts from the sums.
func (h *Hub) removeReport(vm string) {
	for id, n := range h.reports[vm].counts.Requests {
		if h.online[id] -= n; h.online[id] <= 0 {
			delete(h.online, id)
		}
	}
	delete(h.reports, vm)
}

// Interval returns the time between hints. It grows in large fleets, which need more and longer hints.
func (h *Hub) Interval() time.Duration { return HintInterval(h.Reporters()) }

// HintInterval returns the time between hints to so many VMs.
func HintInterval(vms int) time.Duration {
	return hintInterval * time.Duration(max(baseEntries, vms)) / baseEntries
}

// Due returns the hints to send now, by entry VM: the loads from all other VMs by upstream id. batch is the number of running
// items by upstream id. A hint that has not changed is due again after hintRefresh.
func (h *Hub) Due(now time.Time, batch map[string]int) map[string]map[string]dispatch.Load {
	all := map[string]dispatch.Load{}
	for id, n := range h.Online(now) {
		all[id] = dispatch.Load{Online: n}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.baseAt) < baseExpiry {
		for id, x := range h.base {
			all[id] = dispatch.Load{Online: all[id].Online + x.Online, Batch: x.Batch}
		}
	}
	for id, n := range batch {
		all[id] = dispatch.Load{Online: all[id].Online, Batch: all[id].Batch + n}
	}
	out := map[string]map[string]dispatch.Load{}
	for vm, r := range h.reports {
		l := maps.Clone(all)
		for id, n := range r.counts.Requests {
			x := l[id]
			x.Online = max(0, x.Online-n)
			if l[id] = x; x == (dispatch.Load{}) {
				delete(l, id)
			}
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

// EncodeLoads returns the wire form of loads with hashes of the ids, so that the receiver need not have the same list of upstreams.
func EncodeLoads(m map[string]dispatch.Load) []byte {
	var b []byte
	for id, x := range m {
		b = binary.BigEndian.AppendUint32(b, hashOf(id))
		b = binary.AppendUvarint(b, uint64(max(0, x.Online)))
		b = binary.AppendUvarint(b, uint64(max(0, x.Batch)))
	}
	return b
}

// DecodeLoads reads the wire form of loads of the upstreams in ids; others are left out, and a trailer is not read. It returns false when b is truncated.
func DecodeLoads(b []byte, ids []string) (map[string]dispatch.Load, bool) {
	known := make(map[uint32]string, len(ids))
	for _, id := range ids {
		known[hashOf(id)] = id
	}
	m := map[string]dispatch.Load{}
	for len(b) > 0 {
		x, n, ok := nextLoad(b)
		if !ok {
			return nil, false
		}
		if string(b[:n]) == loadsEnd {
			break
		}
		b = b[n:]
		if id, ok := known[x.id]; ok {
			m[id] = dispatch.Load{Online: int(x.online), Batch: int(x.batch)}
		}
	}
	return m, true
}

func hashOf(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// EncodeCounts returns the wire form of a report.
func EncodeCounts(c Counts) []byte {
	e := wire.NewEncoder()
	e.Bool(2, c.Urgent)
	e.Bool(3, c.Hashed)
	e.Bool(4, c.Moved)
	for id, n := range c.Requests {
		e.Record(1, func(e *wire.Encoder) {
			e.Text(1, id)
			e.Uint(2, uint64(max(0, n)))
		})
	}
	if c.Use != nil {
		e.Element(5, c.Use.Encode(fairness.MaxSummed))
	}
	e.Bytes(6, pace.Encode(c.Paces))
	e.Bool(7, c.Paced)
	return e.Encoded()
}

// DecodeCounts reads the wire form of a report.
func DecodeCounts(b []byte) (Counts, error) {
	c := Counts{Requests: map[string]int{}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 2:
			c.Urgent = d.Bool()
		case 3:
			c.Hashed = d.Bool()
		case 4:
			c.Moved = d.Bool()
		case 5:
			u, ok := fairness.DecodeUse(d.Bytes())
			if !ok {
				d.Fail(wire.ErrMalformed)
			}
			c.Use = u
		case 6:
			l, ok := pace.Decode(d.Bytes())
			if !ok {
				d.Fail(errors.New("paces of upstreams can't be read"))
			}
			c.Paces = l
		case 7:
			c.Paced = d.Bool()
		}
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
		c.Requests[id] = n
	}
	return c, d.Err()
}
