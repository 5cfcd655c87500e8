package ledger

import (
	"testing"
	"time"
)

func FuzzApply(f *testing.F) {
	f.Add(EncodeCommand(Command{At: time.Unix(1, 0), Cancel: &Cancel{Job: "j", Account: "a"}}))
	f.Add(EncodeQuery(Query{Subject: OneJob, ID: "j", Account: "a"}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_ = New(DefaultLimits()).Apply(1, b)
		_ = New(DefaultLimits()).Restore(b)
		_, _ = DecodeQuery(b)
		_, _ = DecodeResponse(b)
		_, _ = DecodeOutcome(b)
	})
}
