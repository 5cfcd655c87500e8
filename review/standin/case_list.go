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

	oldReplicas   = 4
	orderWork     = 60 * time.Millisecond
	orderRate     = 25 // requests a second at each entry VM
	beforeRelease = 3 * time.Second
	afterRelease  = 4 * time.Second
)

// cutEntry adds an entry whose bytes can't be read to the list during releases.
func cutEntry(ctx context.Context, f *fleet, trouble bool) error {
	return release(ctx, f, func(*replica) []string {
		if !trouble {
			return nil
		}
		return []string{`{"service":"wuno96b","addr":"127.0.0.9:1","id":"i-9`}
	})
}

// oldWriter adds an entry for the first replica that leaves, which says that it is ready and lacks fields.
func oldWriter(ctx context.Context, f *fleet, trouble bool) error {
	return release(ctx, f, func(r *replica) []string {
		if !trouble {
			return nil
		}
		return []string{fmt.Sprintf(`{"service":%q,"addr":%q,"state":"ready","id":%q}`, r.service, r.address, r.id)}
	})
}

// release replaces two of four replicas under load, one after the other, and then the other two: the new one is listed first, the old one is
// draining. odd returns what another writer leaves in the list, as the last entry, once traffic has run for a while.
func release(ctx context.Context, f *fleet, odd func(*replica) []string) error {
	f.add(entryClass, 2, entryMemory)
	f.add(controlClass, 3, controlMemory)
	f.add(batchClass, 3, batchMemory)
	l, err := f.appReplicas(oldReplicas, orderWork)
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
	defer stop()
	s := &sentRequests{got: map[int]int{}}
	var g sync.WaitGroup
	for _, v := range f.of(entryClass) {
		g.Go(func() { f.order(load, s, v) })
	}
	x := &releases{f: f, all: l, states: map[string]string{}, shown: map[string]time.Time{}}
	for _, r := range l {
		x.states[r.id] = "ready"
	}
	pause(ctx, beforeRelease)
	x.odd = odd(l[0])
	x.list()
	f.note("list: another writer's entry: %v", x.odd)
	pause(ctx, beforeRelease)
	for i := 0; i < oldReplicas; i += 2 {
		if err := x.replace(ctx, l[i:i+2]); err != nil {
			return err
		}
		s.note(f)
	}
	pause(ctx, afterRelease)
	stop()
	g.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.note(f)
	return checkDrained(f, l, x.shown)
}

// releases is the state of the list during releases.
type releases struct {
	f      *fleet
	all    []*replica
	odd    []string
	states map[string]string // by id; "" is gone
	shown  map[string]time.Time
}

// list publishes the states of all replicas.
func (x *releases) list() {
	var out []string
	for _, r := range x.all {
		if s := x.states[r.id]; s != "" {
			out = append(out, r.entry(s))
		}
	}
	x.f.list.set(append(out, x.odd...)...)
}

// replace replaces replicas one after the other, and ends them when they have served for a while after drainMs.
func (x *releases) replace(ctx context.Context, old []*replica) error {
	for _, o := range old {
		i := len(x.all) + 1
		r, err := newReplica(x.f, fmt.Sprintf("i-%d", i), appPool, i, 6, orderWork)
		if err != nil {
			return err
		}
		x.all = append(x.all, r)
		x.states[r.id], x.states[o.id], x.shown[o.id] = "ready", "draining", time.Now()
		x.list()
		x.f.note("list: %s is draining, %s is ready", o.id, r.id)
		pause(ctx, releaseGap)
	}
	pause(ctx, drainTime+serveLonger-releaseGap)
	for _, o := range old {
		o.end()
		x.states[o.id] = ""
		x.f.note("%s has ended", o.id)
	}
	x.list()
	return nil
}

// note records the answers so far.
func (s *sentRequests) note(f *fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.note("answers by status so far (0: none): %v", s.got)
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
