package pace

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Wire form of a Sample.
const (
	sampleBytes = 6 // hash, factor and age
	factorSteps = 254
	ageUnit     = 10 * time.Millisecond
	maxAge      = 255 * ageUnit // an older sample says nothing of the moment and is not sent
)

// Sample is a Shared with a hash of the upstream's id, so that sender and receiver need not have the same list of upstreams.
type Sample struct {
	Upstream uint32
	Factor   float64
	Age      time.Duration
}

// SampleOf returns the sample of an upstream's report.
func SampleOf(s Shared) Sample {
	return Sample{Upstream: uint32(xxhash.Sum64String(s.ID)), Factor: s.Factor, Age: s.Age}
}

// SamplesOf returns the samples of reports.
func SamplesOf(l []Shared) []Sample {
	var out []Sample
	for _, s := range l {
		out = append(out, SampleOf(s))
	}
	return out
}

// Resolve returns the reports of the upstreams in ids; others are left out.
func Resolve(l []Sample, ids []string) []Shared {
	byHash := make(map[uint32]Sample, len(l))
	for _, s := range l {
		byHash[s.Upstream] = s
	}
	var out []Shared
	for _, id := range ids {
		if s, ok := byHash[uint32(xxhash.Sum64String(id))]; ok {
			out = append(out, Shared{ID: id, Factor: s.Factor, Age: s.Age})
		}
	}
	return out
}

// Encode returns the wire form of samples. Factors are kept to 2%; ages are rounded up, so that a report that comes back to its sender is not newer than
// the original.
func Encode(l []Sample) []byte {
	b := make([]byte, 0, sampleBytes*len(l))
	for _, s := range l {
		if s.Age > maxAge || s.Factor < MinFactor || s.Factor > MaxFactor {
			continue
		}
		f := 1 + math.Round(factorSteps*math.Log(s.Factor/MinFactor)/math.Log(MaxFactor/MinFactor))
		a := (max(0, s.Age) + ageUnit - 1) / ageUnit
		b = append(binary.BigEndian.AppendUint32(b, s.Upstream), byte(f), byte(a))
	}
	return b
}

// Decode reads the wire form of samples; it returns false when b is truncated or has a value that Encode does not write.
func Decode(b []byte) ([]Sample, bool) {
	if len(b)%sampleBytes != 0 {
		return nil, false
	}
	var l []Sample
	for ; len(b) > 0; b = b[sampleBytes:] {
		if b[4] == 0 {
			return nil, false
		}
		f := MinFactor * math.Pow(MaxFactor/MinFactor, float64(b[4]-1)/factorSteps)
		l = append(l, Sample{Upstream: binary.BigEndian.Uint32(b), Factor: min(MaxFactor, f), Age: time.Duration(b[5]) * ageUnit})
	}
	return l, true
}
