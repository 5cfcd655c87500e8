package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Streams of the case upgrade.
const (
	streamEvents  = 38
	streamPace    = 50 * time.Millisecond // between events
	streamRate    = 6                     // a second at each entry VM
	mixedStreams  = 2                     // that the rule allows
	settledBefore = 3 * time.Second       // until the replica is upgraded
)

// versionsSeen holds the software versions of the events of each answer.
type versionsSeen struct {
	mu    sync.Mutex
	mixed []string // ids of the streams with events of several versions
	got   map[int]int
}

// upgrade lets callers stream from three replicas of one software version. One of them starts again under its id with another version; the
// list shows this lagMs later.
func upgrade(ctx context.Context, f *fleet, trouble bool) error {
	l, err := withModelPool(ctx, f, baseConfiguration(1))
	if err != nil {
		return err
	}
	for _, r := range l {
		r.events, r.pace = streamEvents, streamPace
	}
	load, stop := context.WithCancel(ctx)
	s := &versionsSeen{got: map[int]int{}}
	var g sync.WaitGroup
	for _, v := range f.of(entryClass) {
		g.Go(func() { f.stream(load, s, v) })
	}
	pause(ctx, settledBefore)
	if trouble {
		l[0].upgrade("v2")
		f.note("%s has started again under its id, with software version v2", l[0].id)
		pause(ctx, listLag)
		f.list.set(l[0].entry("ready"), l[1].entry("ready"), l[2].entry("ready"))
		f.note("list: %s has version v2", l[0].id)
	}
	pause(ctx, settledBefore)
	stop()
	g.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.note("answers by status (0: broken off): %v; streams with events of two versions: %v", s.got, s.mixed)
	if len(s.mixed) > mixedStreams {
		return fmt.Errorf("%w: ORDER: %d streams hold events of two software versions", errBroken, len(s.mixed))
	}
	return nil
}

// stream sends requests for streams to an entry VM until ctx ends.
func (f *fleet) stream(ctx context.Context, s *versionsSeen, v *vm) {
	t := time.NewTicker(time.Second / streamRate)
	defer t.Stop()
	var g sync.WaitGroup
	defer g.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		id := fmt.Sprintf("%s-%d", v.name, i)
		g.Go(func() {
			f.line("caller: sends %s", id)
			a := f.call(context.WithoutCancel(ctx), request{method: http.MethodPost, address: v.bind + ":" + callersPort, path: "/ask/" + id, body: "prompt", host: hostName,
				header: map[string]string{headerKey: tenantKey, headerRequest: id, headerDeadline: "5000", "X-Snipetack-Model": "m", headerTokens: "450,38",
					"X-Snipetack-Prompt-Prefix": "9c2e41:200," + id + ":250"}})
			f.line("caller: %s is answered %d: %q", id, a.status, strings.ReplaceAll(a.body, "\n", " "))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.got[a.status]++
			if strings.Contains(a.body, "data: v1-") && strings.Contains(a.body, "data: v2-") {
				s.mixed = append(s.mixed, id)
			}
		})
	}
}
