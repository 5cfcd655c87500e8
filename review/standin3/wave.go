package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Load of the case "wave".
const (
	waveUpstreams = 20
	waveCrashing  = 3 // a share of 0.15
	waveItems     = 80
	waveEvents    = 8
	waveFirst     = 600 * time.Millisecond // until the first event of an item
	wavePause     = 250 * time.Millisecond // between its events; the sheet allows 300 ms
	waveCrashAt   = 720 * time.Millisecond // from the acceptance of the job
	waveDown      = 3 * time.Second        // for which the crashed upstreams are down
	waveTraffic   = 8 * time.Second        // from the acceptance of the job until the end of the traffic
	waveFinish    = 18 * time.Second       // finishS
	waveFailed    = 20 * time.Second       // items that failed at an upstream later than this before the end don't count
	waveIdle      = 5 * time.Second        // before the end, when no upstream may have an item
)

// runs is what the upstreams have seen of items.
type runs struct {
	mu      sync.Mutex
	running int
	lastEnd time.Time // when an upstream last ended a run, or had one
	broken  map[string]time.Time
}

// playWave lets three of 20 upstreams crash at the same moment, while they run the first items of a job. All are back after some seconds. The items
// are owed: they have to be done when the time to finish is over.
func playWave(f *fleet, trouble bool) (bool, error) {
	x := &runs{broken: map[string]time.Time{}}
	var all []*upstream
	for i := 1; i <= waveUpstreams; i++ {
		u := newUpstream(f, i, x.respond)
		if err := u.start("v1"); err != nil {
			return false, err
		}
		all = append(all, u)
	}
	if err := f.configure(plan(jobsRoute())); err != nil {
		return false, err
	}
	if err := f.submit("before", "a1", waveItems); err != nil {
		return false, err
	}
	for end := time.Now().Add(waveFinish); f.results("before") < waveItems; time.Sleep(retryDelay) {
		if time.Now().After(end) {
			return false, fmt.Errorf("the job before the crash has %d results", f.results("before"))
		}
	}
	if err := f.submit("job", "b2", waveItems); err != nil {
		return false, err
	}
	accepted := time.Now()
	if trouble {
		time.Sleep(waveCrashAt)
		for _, u := range all[:waveCrashing] {
			u.crash()
		}
		time.Sleep(waveDown)
		for _, u := range all[:waveCrashing] {
			if err := u.start("v1"); err != nil {
				return false, err
			}
		}
	}
	for time.Since(accepted) < waveTraffic+waveFinish {
		f.log.printf("client reads job: %d of %d results", f.results("job"), waveItems)
		time.Sleep(time.Second)
	}
	return x.check(f, waveItems), nil
}

// jobsRoute is a route for jobs.
func jobsRoute() map[string]any {
	return map[string]any{"name": "jobs", "host": "engines.example", "pathPrefix": "/jobs/", "kind": "batch", "timeoutMs": 15000, "sloMs": 400,
		"priority": 2, "service": "engines", "maxAttempts": 3, "public": false, "dueMs": 18000, "maxWaitS": 60, "maxPending": 740000}
}

// check reports whether all items of the job have results, apart from those that don't count.
func (x *runs) check(f *fleet, items int) bool {
	n := f.results("job")
	x.mu.Lock()
	defer x.mu.Unlock()
	late := 0
	for _, at := range x.broken {
		if time.Since(at) < waveFailed {
			late++
		}
	}
	idle := x.running == 0 && time.Since(x.lastEnd) > waveIdle
	f.log.printf("at the end the job has %d of %d results; %d items failed lately; upstreams idle for %s: %t", n, items, late, waveIdle, idle)
	return n+late >= items || !idle
}

// respond streams an item's output.
func (x *runs) respond(u *upstream, c net.Conn, r *http.Request) {
	id := r.Header.Get("X-Snipetack-Request-Id")
	x.mu.Lock()
	x.running++
	x.mu.Unlock()
	whole := u.stream(c, r, waveFirst, waveEvents, wavePause, func(i int) string { return "word " + strconv.Itoa(i) })
	x.mu.Lock()
	defer x.mu.Unlock()
	x.running--
	x.lastEnd = time.Now()
	if !whole {
		x.broken[id] = x.lastEnd
	}
	u.f.log.printf("upstream %s has run %s after event %q, to its end: %t", u.i.ID, id, r.Header.Get("Last-Event-Id"), whole)
}

// submit submits a job whose items share a part of their prompt, until it is accepted.
func (f *fleet) submit(id, part string, items int) error {
	var l []any
	for i := range items {
		item := id + "-" + strconv.Itoa(i)
		l = append(l, map[string]any{"id": item, "path": "/jobs/item", "tokens": 200, "body": base64.StdEncoding.EncodeToString([]byte("statement")),
			"headers": map[string]string{"X-Snipetack-Model": "m", "X-Snipetack-Token-Count": "150,50", "X-Snipetack-Prompt-Prefix": fmt.Sprintf("%s:100,c%04x:50", part, i)}})
	}
	b, err := json.Marshal(map[string]any{"requests": l})
	if err != nil {
		return err
	}
	for i := range 50 {
		a := call(f.entry(i), http.MethodPost, "/jobs/"+id, map[string]string{"Host": "engines.example", "X-Api-Key": "key", "X-Snipetack-Request-Id": id}, b, 4*time.Second)
		f.log.printf("client submits %s: status %d", id, a.status)
		if a.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return fmt.Errorf("%s was not accepted", id)
}

// results returns how many results a job has.
func (f *fleet) results(id string) int {
	a := call(f.entry(0), http.MethodGet, "/snipetack/lots/"+id+"?after=0", map[string]string{"Host": "engines.example", "X-Api-Key": "key"}, nil, 4*time.Second)
	var p struct{ Results []struct{ State string } }
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &p) != nil {
		return 0
	}
	return len(p.Results)
}
