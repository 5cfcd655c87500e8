package catalog_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/sample"
)

// sizes returns the configurations that show how cost grows with size. The last one has the accounts and upstreams
// expected after two years.
func sizes() []struct{ accounts, upstreams int } {
	return []struct{ accounts, upstreams int }{{100, 17}, {400, 67}, {900, 150}, {1800, 300}, {3600, 600}}
}

func BenchmarkApply(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *catalog.Configuration) {
		a := sample.Account(1)
		for b.Loop() {
			_, err := c.With([]catalog.Op{{Account: a}})
			require.NoError(b, err)
		}
	})
}

func BenchmarkEncodeConfiguration(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *catalog.Configuration) {
		n := 0
		for b.Loop() {
			n = len(catalog.EncodeConfiguration(c))
		}
		b.ReportMetric(float64(n), "encoded-B")
	})
}

func BenchmarkDecodeConfiguration(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *catalog.Configuration) {
		e := catalog.EncodeConfiguration(c)
		for b.Loop() {
			_, err := catalog.DecodeConfiguration(e)
			require.NoError(b, err)
		}
	})
}

// BenchmarkCopyMemory reports the heap memory that one copy of the configuration uses.
func BenchmarkCopyMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *catalog.Configuration) {
		e := catalog.EncodeConfiguration(c)
		var grown float64
		for b.Loop() {
			before := heapBytes()
			n, err := catalog.DecodeConfiguration(e)
			require.NoError(b, err)
			grown = float64(heapBytes()) - float64(before)
			runtime.KeepAlive(n)
		}
		b.ReportMetric(grown, "heap-B")
	})
}

func BenchmarkUpstreamsOf(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *catalog.Configuration) {
		for b.Loop() {
			c.UpstreamsOf("service-3")
		}
	})
}

func BenchmarkServiceOfModel(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *catalog.Configuration) {
		for b.Loop() {
			c.ServiceOfModel("model-15")
		}
	})
}

func BenchmarkRoute(b *testing.B) {
	forEachSize(b, func(b *testing.B, c *catalog.Configuration) {
		for b.Loop() {
			c.Route("/services/team-7/x")
		}
	})
}

func forEachSize(b *testing.B, f func(*testing.B, *catalog.Configuration)) {
	for _, s := range sizes() {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", s.accounts, s.upstreams), func(b *testing.B) {
			c := sample.Configuration(b, s.accounts, s.upstreams)
			b.ReportAllocs()
			f(b, c)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
