package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Doses of the case on the first start.
const (
	killAfter    = 1200 * time.Millisecond // from the election of the first control leader
	electionTime = 10 * time.Second
	pollTime     = 5 * time.Millisecond
	leadTime     = 10 * time.Second // from the start of the machines to the start of traffic
	playedTime   = 40 * time.Second
	requestPause = 500 * time.Millisecond
	jobEvery     = 4 // requests between jobs
)

// leaderSeen is what a control process logs when it begins to lead.
const leaderSeen = "became leader of the control group"

// killFirstLeader kills the process that leads the control machines for the first time, once; it starts again half a second later.
func (x *stage) killFirstLeader() {
	for began := time.Now(); time.Since(began) < electionTime; time.Sleep(pollTime) {
		for _, m := range x.Machines {
			if m.Class != "control" {
				continue
			}
			b, err := os.ReadFile(filepath.Join(x.dir, m.Name+".log"))
			if err != nil || !bytes.Contains(b, []byte(leaderSeen)) {
				continue
			}
			time.Sleep(killAfter)
			x.signal(m.Name, syscall.SIGKILL)
			x.note("%s, which leads the control machines, is killed", m.Name)
			return
		}
	}
	x.cannot("no control machine leads")
}

// playFounding sends streams and jobs after a fleet's first start, in which the first control leader was killed.
func playFounding(ctx context.Context, x *stage) {
	time.Sleep(leadTime)
	requests, served, jobs, accepted := 0, 0, 0, 0
	for until := time.Now().Add(playedTime); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(requestPause) {
		requests++
		a := x.call(ctx, "POST", x.fronts()[requests%len(x.fronts())], "/lohu930/2f", []byte("body"), map[string]string{
			"X-Snipetack-Request-Id": fmt.Sprintf("9c41d07b%08x", requests), "X-Snipetack-Deadline-Ms": "5000", "X-Snipetack-Token-Count": "10,60"})
		if a.status == http.StatusOK {
			served++
		}
		if requests%jobEvery != 0 {
			continue
		}
		jobs++
		id := fmt.Sprintf("7c41e09b%08x", jobs)
		if x.submit(ctx, id, []item{newItem(fmt.Sprintf("e5b2907c%08x", jobs), []byte("statement"), 60)}, key, 2) {
			accepted++
		}
	}
	x.note("%d of %d streams were served, %d of %d jobs accepted", served, requests, accepted, jobs)
	if 4*accepted*(requests+jobs) < jobs*(served+accepted) {
		x.broke("jobs are served less than a quarter as often as all requests")
	}
}
