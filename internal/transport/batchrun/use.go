package batchrun

import (
	"encoding/binary"
	"time"

	"snipetack/internal/coordination/fairness"
	"snipetack/internal/state/wire"
)

// loadsEnd is the record that ends the loads of a link.Loads message with a trailer of numbered fields. Builds before the trailer would read it
// as further loads, so it is only sent to VMs whose own reports have use.
const loadsEnd = "\x00\x00\x00\x00\x00\x00"

// useField is the number of the use of accounts in the trailer.
const useField = 1

// AppendUse appends the use of accounts at other VMs to the wire form of loads.
func AppendUse(loads []byte, u fairness.Use) []byte {
	e := wire.NewEncoder()
	e.Element(useField, u.Encode(fairness.MaxSummed))
	return append(append(loads, loadsEnd...), e.Encoded()...)
}

// DecodeUse reads the use of accounts from a link.Loads message; it is nil when there is none.
func DecodeUse(b []byte) fairness.Use {
	for len(b) > 0 {
		_, n, ok := nextLoad(b)
		if !ok {
			return nil
		}
		end := string(b[:n]) == loadsEnd
		b = b[n:]
		if end {
			break
		}
	}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		if f == useField {
			u, _ := fairness.DecodeUse(d.Bytes())
			return u
		}
	}
	return nil
}

// loadRecord is one record of a link.Loads message.
type loadRecord struct {
	id            uint32 // hash
	online, batch uint64
}

// nextLoad reads the first record of b and returns its length.
func nextLoad(b []byte) (loadRecord, int, bool) {
	if len(b) < 4 {
		return loadRecord{}, 0, false
	}
	online, n := binary.Uvarint(b[4:])
	if n <= 0 {
		return loadRecord{}, 0, false
	}
	batch, k := binary.Uvarint(b[4+n:])
	if k <= 0 {
		return loadRecord{}, 0, false
	}
	return loadRecord{binary.BigEndian.Uint32(b), online, batch}, 4 + n + k, true
}

// SetBaseUse sets the use of accounts at VMs that do not report to this Hub.
func (h *Hub) SetBaseUse(now time.Time, u fairness.Use) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.use.SetBase(now, u)
}

// OthersUse returns what a VM that reports here has to be told of the use at the others, or nil while that is not due or the VM reports none.
func (h *Hub) OthersUse(now time.Time, vm string) fairness.Use {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.use.Others(now, vm)
}

// SumOfUse returns the use at all VMs that report here, or nil while that is not due or none reports it.
func (h *Hub) SumOfUse(now time.Time) fairness.Use {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.use.Sum(now)
}
