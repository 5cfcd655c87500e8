package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Timing of a release.
const (
	drainTime   = 3 * time.Second        // drainMs
	listLag     = 800 * time.Millisecond // lagMs
	serveLonger = 6 * time.Second        // for which a replica that leaves serves after drainMs
	releaseGap  = time.Second
	orderWork   = 60 * time.Millisecond
	orderRate   = 25 // requests a second at each entry VM
)

// cutEntry adds an entry whose bytes can't be read to the list, and releases two of four replicas.
func cutEntry(ctx context.Context, f *fleet, trouble bool) error {
	return release(ctx, f, func(*replica) []string {
		if !trouble {
			return nil
		}
		return []string{`{"service":"wuno96b","addr":"127.0.0.9:1","id":"i-9`}
	})
}

// oldWriter adds an entry for a replica that leaves, which says that it is ready and lacks fields.
func oldWriter(ctx context.Context, f *fleet, trouble bool) error {
	return release(ctx, f, func(r *replica) []string {
		if !trouble {
			return nil
		}
		return []string{fmt.Sprintf(`{"service":%q,"addr":%q,"state":"ready","id":%q}`, r.service, r.address, r.id)}
	})
}

// release replaces two of four replicas under load, one after the other: the new one is listed first, the old one is draining. odd returns what
// another writer leaves in the list about the first replica that leaves.
func release(ctx context.Context, f *fleet, odd func(*replica) []string) error {
	f.add(entryClass, 2, entryMemory)
	f.add(controlClass, 3, controlMemory)
	f.add(batchClass, 3, batchMemory)
	l, err := f.appReplicas(4, orderWork)
	if err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	c := baseConfiguration(1)
	c.Tenants[0].Rate, c.Tenants[0].Burst = 0, 0
	if err := f.put(ctx, c); err != nil {
		return err
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	s := &sentRequests{at: map[string]time.Time{}, got: map[int]int{}}
	var g sync.WaitGroup
	for _, v := range f.of(entryClass) {
		g.Go(func() { f.order(load, s, v) })
	}
	pause(ctx, 3*time.Second)
	entries := func(states ...string) []string {
		var out []string
		for i, r := range l {
			if i < len(states) && states[i] != "" {
				out = append(out, r.entry(states[i]))
			}
		}
		return append(out, odd(l[0])...)
	}
	f.list.set(entries("ready", "ready", "ready", "ready")...)
	f.note("list: %v", odd(l[0]))
	pause(ctx, 2*time.Second)
	shown := map[string]time.Time{}
	for i := range 2 {
		r, err := newReplica(f, fmt.Sprintf("i-%d", i+5), appPool, i+5, 6, orderWork)
		if err != nil {
			stop()
			return err
		}
		l = append(l, r)
		states := [][]string{{"draining", "ready", "ready", "ready", "ready"}, {"draining", "draining", "ready", "ready", "ready", "ready"}}
		f.list.set(entries(states[i]...)...)
		shown[l[i].id] = time.Now()
		f.note("list: %s is draining, %s is ready", l[i].id, r.id)
		pause(ctx, releaseGap)
	}
	pause(ctx, drainTime+serveLonger-releaseGap)
	for i := range 2 {
		l[i].end()
		f.note("%s has ended", l[i].id)
	}
	f.list.set(entries("", "", "ready", "ready", "ready", "ready")...)
	pause(ctx, 3*time.Second)
	stop()
	g.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.note("answers by status (0: none): %v", s.got)
	return checkDrained(f, l[:2], shown)
}

// checkDrained counts the requests that reached replicas later than drainMs after the list showed them draining.
func checkDrained(f *fleet, l []*replica, shown map[string]time.Time) error {
	late := 0
	for _, r := range l {
		n := 0
		for _, a := range r.ran() {
			if a.at.Sub(shown[r.id]) > listLag+drainTime {
				n++
			}
		}
		f.note("%s ran %d requests later than drainMs after the list showed it draining", r.id, n)
		late += n
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached replicas later than drainMs after the list showed them draining", errBroken, late)
	}
	return nil
}

// order sends requests that may not be repeated to an entry VM until ctx ends.
func (f *fleet) order(ctx context.Context, s *sentRequests, v *vm) {
	t := time.NewTicker(time.Second / orderRate)
	defer t.Stop()
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	defer transport.CloseIdleConnections()
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
			a := f.call(context.WithoutCancel(ctx), request{method: http.MethodPost, address: v.bind + ":" + callersPort, path: "/order/" + id, body: "order " + id, host: hostName,
				header: map[string]string{headerKey: tenantKey, headerRequest: id, headerDeadline: "3000"}, transport: transport})
			f.line("caller: %s is answered %d", id, a.status)
			s.mu.Lock()
			s.got[a.status]++
			s.mu.Unlock()
		})
	}
}
