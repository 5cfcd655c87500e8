package share_test

import (
	"fmt"
	"testing"
	"time"

	"snipetack/internal/coordination/share"
)

// BenchmarkOwner measures what the reports of all entry VMs cost the owner of the limits when each reports once a second, with requests
// of five of the accounts. A report must not cost more in a large fleet: at most maxGrowth times what it costs in the smallest one.
func BenchmarkOwner(b *testing.B) {
	const maxGrowth = 40 // where each report goes through all entry VMs and accounts, it is some 28,000
	smallest := 0.0
	for _, size := range []struct{ entries, accounts int }{{6, 8}, {56, 78}, {246, 190}, {370, 3600}} {
		b.Run(fmt.Sprintf("%d entries, %d accounts", size.entries, size.accounts), func(b *testing.B) {
			f := newShareFleet(size.entries, size.accounts)
			f.round() // first grants
			f.round()
			b.ResetTimer()
			n := 0
			for b.Loop() {
				for range 10 {
					n += f.round()
				}
			}
			perSecond := b.Elapsed().Seconds() / float64(b.N) / 10
			b.ReportMetric(perSecond*1000, "ms/s")
			b.ReportMetric(float64(n)/float64(b.N)/10/float64(size.entries), "shares/report")
			report := perSecond / float64(size.entries)
			if smallest == 0 {
				smallest = report
			}
			if report > maxGrowth*smallest {
				b.Fatalf("a report costs %.0f times as much as in the smallest fleet", report/smallest)
			}
		})
	}
}

// shareFleet is a fleet of entry VMs, each with requests of some accounts.
type shareFleet struct {
	o        *share.Owner
	now      time.Time
	accounts []string
	demand   []map[string]float64
	have     []share.Grant
}

func newShareFleet(entries, accounts int) *shareFleet {
	f := &shareFleet{o: share.NewOwner(time.Unix(1000, 0), 0), now: time.Unix(1000, 0)}
	for i := range accounts {
		f.accounts = append(f.accounts, fmt.Sprint("account-", i))
	}
	for i := range entries {
		d := map[string]float64{}
		for j := range 5 {
			d[f.accounts[(i*7+j*13)%accounts]] = float64(1 + j)
		}
		f.demand = append(f.demand, d)
		f.have = append(f.have, share.Grant{})
	}
	return f
}

// round lets each entry VM report once and returns how many shares were sent.
func (f *shareFleet) round() int {
	n := 0
	for i := range f.demand {
		f.now = f.now.Add(time.Millisecond)
		s := f.o.Report(f.now, fmt.Sprint(i), 1, f.have[i], f.demand[i], f.accounts)
		n += len(s.Extra)
		f.have[i] = adopted(f.have[i], s)
	}
	return n
}
