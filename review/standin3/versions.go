package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Load of the case "versions".
const (
	versionStreams  = 18
	versionEvents   = 40
	versionPause    = 150 * time.Millisecond // between events
	versionQuiet    = 5 * time.Second        // without requests, longer than keepAlive
	versionRestart  = 300 * time.Millisecond // for which a crashed upstream is down
	versionBegin    = 200 * time.Millisecond // from its return until the streams begin; the list lags by more
	versionApart    = 10 * time.Millisecond  // between the beginnings of two streams
	versionUp       = 3 * time.Second        // from the first stream until the upstream crashes again
	versionDeadline = 12 * time.Second
	mostMixed       = 2 // streams that may hold events of two versions
)

// playVersions lets an upstream go down and up twice while others serve. The first time it has no connections, and is back with another version of
// its software under its id before the list shows that. No stream may hold events of both versions.
func playVersions(f *fleet, trouble bool) (bool, error) {
	var all []*upstream
	for i := 1; i <= 3; i++ {
		u := newUpstream(f, i, respondVersion)
		if err := u.start("v1"); err != nil {
			return false, err
		}
		all = append(all, u)
	}
	if err := f.configure(plan(streamsRoute())); err != nil {
		return false, err
	}
	for i, a := range f.streams("calm", versionStreams).wait() {
		if a.status != http.StatusOK || a.err != nil {
			return false, fmt.Errorf("calm-%d: status %d, error %w", i, a.status, a.err)
		}
	}
	time.Sleep(versionQuiet)
	flapping := all[2]
	if trouble {
		flapping.crash()
		time.Sleep(versionRestart)
		if err := flapping.start("v2"); err != nil {
			return false, err
		}
		time.Sleep(versionBegin)
	}
	s := f.streams("stream", versionStreams)
	time.Sleep(versionUp)
	if trouble {
		flapping.crash()
		time.Sleep(versionRestart)
		if err := flapping.start("v2"); err != nil {
			return false, err
		}
	}
	mixed := 0
	for i, a := range s.wait() {
		v1, v2 := strings.Count(a.body, "data: v1"), strings.Count(a.body, "data: v2")
		f.log.printf("stream-%d: status %d, %d events of v1, %d of v2, error %v", i, a.status, v1, v2, a.err)
		if v1 > 0 && v2 > 0 {
			mixed++
		}
	}
	f.log.printf("%d of %d streams hold events of two versions; %d may", mixed, versionStreams, mostMixed)
	return mixed <= mostMixed, nil
}

// respondVersion streams events that name the version which wrote them.
func respondVersion(u *upstream, c net.Conn, r *http.Request) {
	v := u.version()
	u.f.log.printf("upstream %s (%s) runs %s after event %q", u.i.ID, v, r.Header.Get("X-Snipetack-Request-Id"), r.Header.Get("Last-Event-Id"))
	u.stream(c, r, versionPause, versionEvents, versionPause, func(i int) string { return v + " " + strconv.Itoa(i) })
}

// streams are requests of clients at all entry VMs in turn.
type streams struct {
	wg      sync.WaitGroup
	answers []answer
}

// streams asks for n streams, one shortly after the other.
func (f *fleet) streams(name string, n int) *streams {
	s := &streams{answers: make([]answer, n)}
	for i := range n {
		s.wg.Go(func() { s.answers[i] = f.stream(i, name+"-"+strconv.Itoa(i)) })
		time.Sleep(versionApart)
	}
	return s
}

// wait returns the answers once all streams have ended.
func (s *streams) wait() []answer {
	s.wg.Wait()
	return s.answers
}

// stream asks for a stream at an entry VM.
func (f *fleet) stream(i int, id string) answer {
	f.log.printf("client sends %s to %s", id, f.entry(i))
	return call(f.entry(i), http.MethodPost, "/streams/x", map[string]string{"Host": "engines.example", "X-Api-Key": "key", "X-Snipetack-Request-Id": id,
		"X-Snipetack-Deadline-Ms": strconv.FormatInt(versionDeadline.Milliseconds(), 10)}, []byte("question "+id), versionDeadline)
}

// streamsRoute is a route for streams that may be taken up.
func streamsRoute() map[string]any {
	return map[string]any{"name": "streams", "host": "engines.example", "pathPrefix": "/streams/", "kind": "stream", "timeoutMs": versionDeadline.Milliseconds(),
		"sloMs": 300, "priority": 0, "service": "engines", "maxAttempts": 2, "public": false, "sticky": false, "resumable": true, "gapAimMs": 300}
}

// plan returns a configuration with some routes.
func plan(routes ...map[string]any) map[string]any {
	return map[string]any{"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": "engines", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "apiKeys": []string{"key"}, "priority": 1, "ratePerS": 100, "burst": 100}}}
}
