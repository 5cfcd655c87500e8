package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// wordsPerLine makes a line of an input or results file about 600 bytes long.
const wordsPerLine = 100

// BenchmarkReport commits results and leases as many items again, in reports of several sizes.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			m := ledger.New(largeLimits())
			const items = 100_000
			newJob(b, m, items)
			lines := results(b, n)
			r := ledger.Report{Upstream: "engine-1", Epoch: 1, Sequence: 1, Claims: []ledger.Claim{{Job: "job-1", Items: n}}}
			o := apply(b, m, ledger.Command{Report: &r})
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				r = ledger.Report{Upstream: "engine-1", Epoch: 1, Sequence: r.Sequence + 1, Bundles: []ledger.Bundle{lines.bundle(o.Grants)}, Claims: r.Claims}
				c := ledger.EncodeCommand(ledger.Command{At: time.Unix(2, 0), Report: &r})
				size = len(c)
				o = outcome(b, m.Apply(1, c))
				if len(o.Grants) < n {
					b.StopTimer()
					m = ledger.New(largeLimits())
					newJob(b, m, items)
					r.Sequence = 1
					o = apply(b, m, ledger.Command{Report: &ledger.Report{Upstream: "engine-1", Epoch: 1, Sequence: 1, Claims: r.Claims}})
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(size)/float64(n), "command-B/item")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/item")
		})
	}
}

// BenchmarkJobMemory reports the heap of a job whose items all have results.
func BenchmarkJobMemory(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 16_000, 64_000, 256_000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			var perItem, perSnapshot float64
			for b.Loop() {
				before := heap()
				m := ledger.New(largeLimits())
				newJob(b, m, n)
				completeItems(b, m, n)
				perItem = float64(heap()-before) / float64(n)
				perSnapshot = float64(len(m.Snapshot())) / float64(n)
				runtime.KeepAlive(m)
			}
			b.ReportMetric(perItem, "heap-B/item")
			b.ReportMetric(perSnapshot, "snapshot-B/item")
		})
	}
}

func completeItems(b *testing.B, m *ledger.Machine, items int) {
	const n = 50
	lines := results(b, n)
	sequence := uint64(0)
	var l []ledger.Grant
	for done := 0; done < items; done += len(l) {
		sequence++
		r := ledger.Report{Upstream: "engine-1", Epoch: 1, Sequence: sequence, Claims: []ledger.Claim{{Job: "job-1", Items: n}}}
		if len(l) > 0 {
			r.Bundles = []ledger.Bundle{lines.bundle(l)}
		}
		l = apply(b, m, ledger.Command{Report: &r}).Grants
		if len(l) == 0 {
			return
		}
	}
	sequence++
	apply(b, m, ledger.Command{Report: &ledger.Report{Upstream: "engine-1", Epoch: 1, Sequence: sequence, Bundles: []ledger.Bundle{lines.bundle(l)}}})
}

// newJob uploads a file with at least one line for each item, creates a job from it and takes the lease of an engine.
func newJob(b *testing.B, m *ledger.Machine, items int) {
	const chunk = 400 // lines
	apply(b, m, ledger.Command{Open: &ledger.File{ID: "file-1", Account: "boards", Declared: 1 << 40}})
	data, err := ledger.Compress([]byte(text(chunk)))
	require.NoError(b, err)
	raw := len(text(chunk))
	for i := 0; i*chunk < items; i++ {
		c := ledger.Chunk{Lines: chunk, Raw: raw, Data: append([]byte(nil), data...)}
		apply(b, m, ledger.Command{Append: &ledger.Append{File: "file-1", Number: i, Chunk: c}})
	}
	apply(b, m, ledger.Command{Seal: &ledger.Seal{File: "file-1"}})
	apply(b, m, ledger.Command{Create: &ledger.Create{Job: ledger.Job{ID: "job-1", Account: "boards", File: "file-1", Repeatable: true}}})
	apply(b, m, ledger.Command{Take: &ledger.Take{Upstream: "engine-1", VM: "vm-1"}})
}

// resultLines are lines of equal length, compressed as a VM sends them.
type resultLines struct {
	data   []byte
	length int // of each line
}

func results(b *testing.B, n int) resultLines {
	t := text(n)
	d, err := ledger.Compress([]byte(t))
	require.NoError(b, err)
	return resultLines{d, len(t) / n}
}

func (l resultLines) bundle(g []ledger.Grant) ledger.Bundle {
	n := ledger.Bundle{Job: "job-1", Data: l.data}
	for _, v := range g {
		n.Items = append(n.Items, v.Ref.Item)
		n.Lengths = append(n.Lengths, l.length)
	}
	return n
}

// text returns lines of random words from a small vocabulary.
func text(lines int) string {
	r := rand.New(rand.NewPCG(uint64(lines), 1))
	var s strings.Builder
	for range lines {
		for range wordsPerLine {
			fmt.Fprintf(&s, "w%04d ", r.IntN(2000))
		}
		s.WriteByte('\n')
	}
	return s.String()
}

func apply(b *testing.B, m *ledger.Machine, c ledger.Command) ledger.Outcome {
	c.At = time.Unix(1, 0)
	return outcome(b, m.Apply(1, ledger.EncodeCommand(c)))
}

func outcome(b *testing.B, a []byte) ledger.Outcome {
	o, err := ledger.DecodeOutcome(a)
	require.NoError(b, err)
	require.Equal(b, result.OK, o.Code, o.Detail)
	return o
}

func largeLimits() ledger.Limits {
	l := ledger.DefaultLimits()
	l.AccountBytes, l.TotalBytes = 1<<50, 1<<50
	return l
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
