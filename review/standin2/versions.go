package main

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Doses of the case on versions.
const (
	idleTime     = 4 * time.Second        // without requests, so that replicas close idle connections
	downTime     = 300 * time.Millisecond // of the replica that starts again with another version
	streamsAfter = 200 * time.Millisecond // from its start to the streams
	streams      = 54
	streamTokens = 1080 // 180 events
	crashAfter   = 2 * time.Second
	crashTime    = time.Second
	oldVersion   = "v1"
	newVersion   = "v2"
	mixedStreams = 2 // that the rule allows
)

// playVersions lets a replica start again under its id with another version of its software, and crash while streams run that began just after its start.
func playVersions(ctx context.Context, x *stage) {
	time.Sleep(idleTime)
	p := x.replicas[0]
	if x.trouble {
		p.stop()
		time.Sleep(downTime)
		if err := p.start(newVersion); err != nil {
			x.cannot("%v", err)
			return
		}
		x.note("replica %s has started again with version %s after %s; the list shows it %s later", p.id, newVersion, downTime, listLag)
	}
	time.Sleep(streamsAfter)
	var g sync.WaitGroup
	answers := make([]answer, streams)
	for i := range streams {
		g.Go(func() {
			answers[i] = x.call(ctx, "POST", x.fronts()[0], "/lohu930/2f", []byte("body"), map[string]string{
				"X-Snipetack-Request-Id": fmt.Sprintf("9c41d07b%08x", i), "X-Snipetack-Deadline-Ms": "5000",
				"X-Snipetack-Token-Count": fmt.Sprintf("10,%d", streamTokens)})
		})
	}
	if x.trouble {
		time.Sleep(crashAfter)
		p.stop()
		x.note("replica %s crashes", p.id)
		time.Sleep(crashTime)
		if err := p.start(newVersion); err != nil {
			x.cannot("%v", err)
			return
		}
	}
	g.Wait()
	mixed := 0
	for i, a := range answers {
		l := versionsOf(a.body)
		x.note("stream %d: %s, events of %s", i, a, strings.Join(l, " and then of "))
		if len(l) > 1 {
			mixed++
		}
	}
	if mixed > mixedStreams {
		x.broke("%d streams hold events of two software versions", mixed)
	}
}

// versionsOf returns the versions whose replicas wrote the events of a stream, in their order.
func versionsOf(body []byte) []string {
	var l []string
	for line := range bytes.SplitSeq(body, []byte("\n")) {
		_, v, ok := strings.Cut(string(line), " by ")
		if ok && (len(l) == 0 || l[len(l)-1] != v) {
			l = append(l, v)
		}
	}
	return l
}
