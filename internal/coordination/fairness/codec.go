package fairness

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Bounds of the reports of use.
const (
	MaxReported = 16 // accounts in the report of one VM, those with the most use
	MaxSummed   = 32 // accounts in a sum over VMs

	reportInterval = 500 * time.Millisecond // between reports, a fifth of the time over which use decays
	baseReporters  = 28                     // with more VMs that report to one the interval grows in proportion, to bound the traffic of that VM
	recordBytes    = 5                      // a key and a quantised use
	unit           = 0.125                  // slot seconds; about the use of one short request
	stepsPerOctave = 16                     // of the quantised use, which is off by at most 2.2%
)

// ReportInterval returns the time between two reports of use, where so many VMs report to one.
func ReportInterval(reporters int) time.Duration {
	return reportInterval * time.Duration(max(baseReporters, reporters)) / baseReporters
}

// Largest returns the largest uses, at most n. Uses below one unit are left out.
func (u Use) Largest(n int) Use {
	m := Use{}
	for _, k := range u.largest(n) {
		m[k] = u[k]
	}
	return m
}

// Encode returns the wire form of the largest uses, at most n; it is not nil also when there are none. Uses below one unit are left out.
func (u Use) Encode(n int) []byte {
	keys := u.largest(n)
	b := make([]byte, 0, len(keys)*recordBytes)
	for _, k := range keys {
		b = append(binary.BigEndian.AppendUint32(b, k), quantised(u[k]))
	}
	return b
}

// largest returns the keys of the largest uses, at most n, the largest first.
func (u Use) largest(n int) []uint32 {
	keys := make([]uint32, 0, len(u))
	for k, v := range u {
		if quantised(v) > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b uint32) int { return cmp.Or(cmp.Compare(u[b], u[a]), cmp.Compare(a, b)) })
	return keys[:min(n, len(keys))]
}

// DecodeUse reads the wire form of uses; it returns false when b is truncated. The result is not nil.
func DecodeUse(b []byte) (Use, bool) {
	if len(b)%recordBytes != 0 {
		return nil, false
	}
	u := Use{}
	for ; len(b) > 0; b = b[recordBytes:] {
		u[binary.BigEndian.Uint32(b)] = unit * (math.Exp2(float64(b[4])/stepsPerOctave) - 1)
	}
	return u, true
}

// quantised returns the logarithm of a use in steps; 0 is none.
func quantised(v float64) byte {
	return byte(min(255, max(0, math.Round(stepsPerOctave*math.Log2(1+v/unit)))))
}
