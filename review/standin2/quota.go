package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Doses of the case on quotas.
const (
	limitRate   = 60.0
	limitBurst  = 60.0
	senders     = 20
	frontPause  = 200 * time.Millisecond // of a sender at front-1: 100 requests a second
	cutPause    = 100 * time.Millisecond // of a sender at front-2: 200 requests a second
	settleTime  = 8 * time.Second
	cutTime     = 5500 * time.Millisecond // for_s of node_cut
	killTime    = 200 * time.Millisecond  // from the cut to the kill
	afterTime   = 6 * time.Second
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0
)

// quotaConfiguration limits the tenant huka270 and adds a route with short answers.
func quotaConfiguration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-safe","host":%q,"pathPrefix":"/puxa403/","kind":"safe","timeoutMs":3000,"sloMs":300,"priority":2,"service":%q,"maxAttempts":2,"public":false}],
"services":[{"name":%q,"healthPath":"/health","maxConns":360,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":[%q],"priority":1,"ratePerS":%g,"burst":%g}]}`, version, host, servicesName, servicesName, key, limitRate, limitBurst)
}

// playQuota sends more than a tenant's limit at both fronts. One front is cut off from the core, whose processes are all killed and start again.
func playQuota(ctx context.Context, x *stage) {
	if !x.put(ctx, quotaConfiguration(2)) {
		x.cannot("the configuration was not acknowledged")
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	for i, f := range x.fronts() {
		pause := frontPause
		if i == 1 {
			pause = cutPause
		}
		for n := range senders {
			g.Go(func() { x.send(ctx, f, fmt.Sprintf("9c41%02x%02x", i, n), pause) })
		}
	}
	time.Sleep(settleTime)
	if x.trouble {
		x.cutFromCore(true)
		x.note("front-2 is cut off from the core machines")
		time.Sleep(killTime)
		for i := range 3 {
			x.signal(fmt.Sprint("core-", i+1), syscall.SIGKILL)
		}
		x.note("all core processes are killed")
	}
	time.Sleep(cutTime - killTime)
	x.cutFromCore(false)
	x.note("the cut ends")
	time.Sleep(afterTime)
	cancel()
	g.Wait()
	x.checkQuota()
}

// cutFromCore cuts front-2 off from all core machines.
func (x *stage) cutFromCore(on bool) {
	address := ""
	if on {
		address = fmt.Sprintf("%s:%d", x.ip(3, 2), firstPort)
	}
	for _, p := range x.proxies {
		p.setCut(address)
	}
}

// send sends requests on one kept connection until ctx ends.
func (x *stage) send(ctx context.Context, front, id string, pause time.Duration) {
	t := &http.Transport{MaxIdleConnsPerHost: 1}
	defer t.CloseIdleConnections()
	k := time.NewTicker(pause)
	defer k.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+"/puxa403/2f", http.NoBody)
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set("X-Api-Key", key)
		r.Header.Set("X-Snipetack-Request-Id", fmt.Sprintf("%s%08x", id, n))
		r.Header.Set("X-Snipetack-Deadline-Ms", "3000")
		if a, err := t.RoundTrip(r); err == nil {
			_ = a.Body.Close()
		}
	}
}

// checkQuota checks the requests that replicas ran in each window. All were sent in the window, too, or so shortly before that it makes no difference
// to the check, which counts only those that were sent in it.
func (x *stage) checkQuota() {
	var l []arrival
	for _, p := range x.replicas {
		l = append(l, p.arrivals()...)
	}
	limit := (limitRate*quotaWindow.Seconds()+limitBurst)*(1+quotaOver) + quotaSlack
	most, at := 0, time.Time{}
	for _, a := range l {
		n := 0
		for _, b := range l {
			if !b.at.Before(a.at) && b.at.Sub(a.at) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, a.at
		}
	}
	x.note("%d requests ran; at most %d in %s, from %.3f s on; the limit is %.0f", len(l), most, quotaWindow, at.Sub(x.began).Seconds(), limit)
	if float64(most) > limit {
		x.broke("%d requests of the tenant ran in %s, and %.0f may", most, quotaWindow, limit)
	}
}
