package quota_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"snipetack/internal/coordination/quota"
)

// fleetAccounts is the number of client accounts that a fleet must support.
const fleetAccounts = 3600

func fleetLimits() map[quota.Key]quota.Limit {
	m := map[quota.Key]quota.Limit{}
	for i := range fleetAccounts {
		for _, c := range []quota.Class{quota.Online, quota.Batch} {
			m[quota.Key{Account: fmt.Sprintf("account-%04d", i), Class: c}] = quota.Limit{Rate: 1000, Burst: 1000}
		}
	}
	return m
}

// BenchmarkOwnerGrant measures the owner's CPU time per demand, in token requests of 1 and of 32 demands.
func BenchmarkOwnerGrant(b *testing.B) {
	for _, n := range []int{1, 32} {
		b.Run(fmt.Sprintf("wants_%d", n), func(b *testing.B) {
			now := time.Unix(1, 0)
			o := quota.NewOwner(now)
			o.Configure(now, fleetLimits())
			o.Lead(now, 1)
			a := quota.TokenRequest{Demands: make([]quota.Demand, n)}
			i := 0
			for b.Loop() {
				for j := range a.Demands {
					i++
					a.Demands[j] = quota.Demand{Key: quota.Key{Account: fmt.Sprintf("account-%04d", i%fleetAccounts)}, Need: 1}
				}
				now = now.Add(time.Millisecond)
				o.Grant(now, a)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/want")
		})
	}
}

// BenchmarkHolderArrive measures a VM's CPU time for a request that waits for a token, including the token request and
// its response.
func BenchmarkHolderArrive(b *testing.B) {
	now := time.Unix(1, 0)
	h := quota.NewHolder(quota.DefaultPolicy())
	i := uint64(0)
	for b.Loop() {
		i++
		now = now.Add(10 * time.Millisecond)
		k := quota.Key{Account: fmt.Sprintf("account-%04d", i%100)}
		h.Arrive(now, k, quota.Limit{Rate: 1000, Burst: 1000}, i)
		h.Expire(now)
		s, _ := h.NextRequest(now)
		h.HandleResponse(now.Add(time.Millisecond), s, quota.TokenResponse{Term: 1, Grants: []quota.Grant{{Tokens: 1, Validity: time.Second}}})
		h.Wake(now)
	}
}

// BenchmarkMemory measures the memory of an account's two buckets at the owner, and of an active bucket at a holder.
func BenchmarkMemory(b *testing.B) {
	now := time.Unix(1, 0)
	for b.Loop() {
		l := fleetLimits()
		before := heap()
		o := quota.NewOwner(now)
		o.Configure(now, l)
		b.ReportMetric(float64(heap()-before)/fleetAccounts, "owner_bytes/account")
		before = heap()
		h := quota.NewHolder(quota.DefaultPolicy())
		for k, m := range l {
			h.Arrive(now, k, m, 1)
		}
		b.ReportMetric(float64(heap()-before)/float64(len(l)), "holder_bytes/active_bucket")
		runtime.KeepAlive(o)
		runtime.KeepAlive(h)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
