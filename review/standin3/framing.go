package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the case "framing".
const (
	framingUpstreams = 3
	framingRequests  = 1200
	framingClients   = 8
	framingPause     = 125 * time.Millisecond // of a client between its requests; together they stay within the account's rate
	framingShare     = 0.02                   // of the answers that a faulty upstream spoils
	framingMargin    = 1                      // answers that are spoilt at least, so that the case has run
)

// playFraming lets one of three upstreams spoil some of its answers: it sends chunks under HTTP/1.0, which has none. Such bytes are no answer; a
// client gets its upstream's body or a failure.
func playFraming(f *fleet, trouble bool) (bool, error) {
	var spoilt atomic.Int64
	for i := 1; i <= framingUpstreams; i++ {
		faulty := trouble && i == 1
		u := newUpstream(f, i, func(u *upstream, c net.Conn, r *http.Request) {
			b := framingBody(r.Header.Get("X-Snipetack-Request-Id"))
			if !faulty || rand.Float64() >= framingShare {
				u.answer(c, r, b)
				return
			}
			spoilt.Add(1)
			f.log.printf("upstream %s spoils the answer to %s", u.i.ID, r.Header.Get("X-Snipetack-Request-Id"))
			head := strings.Replace(u.head(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1)
			_, _ = fmt.Fprintf(c, "%s%x\r\n%s\r\n0\r\n\r\n", head, len(b), b)
			_ = c.Close()
		})
		if err := u.start("v1"); err != nil {
			return false, err
		}
	}
	if err := f.configure(plan(lookupsRoute())); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses, mixed := map[int]int{}, 0
	for k := range framingClients {
		wg.Go(func() {
			for i := k; i < framingRequests; i += framingClients {
				id := "lookup-" + strconv.Itoa(i)
				a := call(f.entry(i), http.MethodPost, "/lookups/x", map[string]string{"Host": "engines.example", "X-Api-Key": "key", "X-Snipetack-Request-Id": id,
					"X-Snipetack-Deadline-Ms": "3000"}, nil, 3*time.Second)
				mu.Lock()
				statuses[a.status]++
				if a.status == http.StatusOK && a.err == nil && a.body != framingBody(id) {
					mixed++
					f.log.printf("client gets 200 for %s with the body %q in place of %q", id, a.body, framingBody(id))
				}
				mu.Unlock()
				time.Sleep(framingPause)
			}
		})
	}
	wg.Wait()
	f.log.printf("answers to clients by status: %v; %d answers spoilt; %d clients got another body than their upstream's", statuses, spoilt.Load(), mixed)
	if trouble && spoilt.Load() < framingMargin {
		return false, fmt.Errorf("only %d answers were spoilt", spoilt.Load())
	}
	return mixed == 0, nil
}

func framingBody(id string) string { return "status of " + id }
