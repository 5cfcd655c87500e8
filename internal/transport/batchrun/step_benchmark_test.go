package batchrun

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/restart"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/state/docket"
	"snipetack/internal/state/plan"
)

// Size of a large fleet during a burst of jobs.
const (
	burstUpstreams = 122
	burstEntries   = 246
	burstJobs      = 150
	jobItems       = 10
)

// BenchmarkStep measures a scheduling pass over 1,500 pending items while online requests occupy all slots, or all but the one of each
// upstream that items leave free for them.
func BenchmarkStep(b *testing.B) {
	for _, free := range []int{0, 1} {
		b.Run(fmt.Sprint("free=", free), func(b *testing.B) { benchmarkStep(b, free) })
	}
}

func benchmarkStep(b *testing.B, free int) {
	d := docket.New()
	h := NewHub(slog.New(slog.DiscardHandler))
	p := &plan.Plan{Routes: []plan.Route{{Name: "r", Host: "h", Prefix: "/", Kind: plan.Batch, Due: time.Hour, Attempts: 3,
		Targets: []plan.Target{{Service: "s", Weight: 1}}}}}
	p.Index()
	for i := range burstJobs {
		j := docket.Job{ID: fmt.Sprint("job-", i), Account: "x", Route: "r", Host: "h", Accepted: time.Now()}
		for k := range jobItems {
			j.Items = append(j.Items, docket.Item{ID: fmt.Sprint(i, "-", k), Path: "/p/", Tokens: 500})
		}
		d.Apply(0, docket.EncodeCommand(docket.Command{Action: docket.Submit, Job: j}))
	}
	var l []roster.Upstream
	full := map[string]int{}
	for i := range burstUpstreams {
		l = append(l, roster.Upstream{ID: fmt.Sprint("up-", i), Service: "s", Address: "a", Slots: burstEntries + free})
		full[l[i].ID] = 1
	}
	for i := range burstEntries {
		h.Receive(fmt.Sprint("entry-", i), EncodeCounts(Counts{Requests: full}))
	}
	r := New(Deps{Restarts: restart.New(func(time.Time, string) {}), Limits: noLimits{}, Quarantines: quarantine.NewList(), Crashes: quarantine.NewTracker(func(string, []quarantine.Suspect) {}),
		LoadAge: func() time.Duration { return 100 * time.Millisecond }, LoadKnown: func() bool { return true },
		Segments: func(map[string]string) []string { return nil }, Docket: d, Leads: func() bool { return true }, Plan: func() *plan.Plan { return p },
		List: func() []roster.Upstream { return l }, Retention: time.Hour, Log: slog.New(slog.DiscardHandler)}, h)
	for b.Loop() {
		r.schedule(context.Background(), time.Now())
	}
}
