package operator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/ledger"
)

func TestJobsAtRisk(t *testing.T) {
	created := time.Unix(1_000_000, 0)
	at := func(d time.Duration) time.Time { return created.Add(d) }
	cases := []struct {
		name   string
		status ledger.Status
		done   int
		now    time.Duration
		want   bool
	}{
		{"just begun", ledger.InProgress, 0, time.Minute, false},
		{"nothing done after a tenth", ledger.InProgress, 0, time.Hour, true},
		{"on schedule", ledger.InProgress, 20, time.Hour, false},
		{"too slow", ledger.InProgress, 40, 5 * time.Hour, true},
		{"overdue", ledger.InProgress, 99, 11 * time.Hour, true},
		{"done", ledger.Completed, 100, 11 * time.Hour, false},
		{"cancelled", ledger.Cancelled, 1, 11 * time.Hour, false},
	}
	for _, c := range cases {
		j := ledger.Job{Status: c.status, Items: 100, Done: c.done, CreatedAt: created, Due: at(10 * time.Hour)}
		require.Equal(t, c.want, atRisk(j, at(c.now)), c.name)
	}
}
