package grant_test

import (
	"fmt"
	"testing"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/transport/grant"
)

// BenchmarkBytes measures the encoded size of a token request and its response for each demand, without the mesh's
// framing.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{1, 32} {
		b.Run(fmt.Sprintf("wants_%d", n), func(b *testing.B) {
			q := quota.TokenRequest{Term: 12}
			r := quota.TokenResponse{Term: 12}
			for i := range n {
				q.Demands = append(q.Demands, quota.Demand{Key: quota.Key{Account: fmt.Sprintf("account-%04d", i)}, Need: 1})
				r.Grants = append(r.Grants, quota.Grant{Tokens: 1, Validity: quota.MaxValidity})
			}
			x, y := 0, 0
			for b.Loop() {
				x, y = len(grant.EncodeRequest(q)), len(grant.EncodeResponse(r))
			}
			b.ReportMetric(float64(x)/float64(n), "ask_bytes/want")
			b.ReportMetric(float64(y)/float64(n), "answer_bytes/want")
		})
	}
}
