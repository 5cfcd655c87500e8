package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The tenant of the case quota-cut and its limit, as in the example of the pages.
const (
	quotaRate    = 45.0
	quotaBurst   = 45.0
	quotaWindow  = 5 * time.Second // quotaWindowS
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

// Its traffic: most of it comes at one entry VM.
const (
	busyRate  = 150 // requests a second at the first entry VM
	calmRate  = 12  // at each other one
	warmTime  = 8 * time.Second
	cutTime   = 5 * time.Second
	afterTime = 4 * time.Second
)

// sentRequests remembers when requests were sent, by id.
type sentRequests struct {
	mu  sync.Mutex
	at  map[string]time.Time
	got map[int]int // answers by status
}

// quotaCut lets a tenant send more than its limit, and cuts the entry VM at which most of its requests come off from the control and batch VMs.
func quotaCut(ctx context.Context, f *fleet, trouble bool) error {
	f.add(entryClass, 6, entryMemory)
	f.add(controlClass, 5, controlMemory)
	f.add(batchClass, 3, batchMemory)
	l, err := f.appReplicas(3, 20*time.Millisecond)
	if err != nil {
		return err
	}
	if err := f.start(); err != nil {
		return err
	}
	if err := f.put(ctx, baseConfiguration(1)); err != nil {
		return err
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	s := &sentRequests{at: map[string]time.Time{}, got: map[int]int{}}
	load, stop := context.WithCancel(ctx)
	var g sync.WaitGroup
	for i, v := range f.of(entryClass) {
		rate := calmRate
		if i == 0 {
			rate = busyRate
		}
		g.Go(func() { f.send(load, s, v, rate) })
	}
	pause(ctx, warmTime)
	busy, counted := f.of(entryClass)[0], slices.Concat(f.of(controlClass), f.of(batchClass))
	if trouble {
		f.note("%s is cut off from the control and batch VMs", busy.name)
		f.cuts.set(busy, counted, true)
	}
	pause(ctx, cutTime)
	if trouble {
		f.cuts.set(busy, counted, false)
		f.note("the cut has healed")
	}
	pause(ctx, afterTime)
	stop()
	g.Wait()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f.note("answers by status: %v", s.got)
	return s.check(f, l)
}

// appReplicas starts replicas of the plain service and lists them.
func (f *fleet) appReplicas(n int, work time.Duration) ([]*replica, error) {
	var l []*replica
	var entries []string
	for i := range n {
		r, err := newReplica(f, fmt.Sprintf("i-%d", i+1), appPool, i+1, 6, work)
		if err != nil {
			return nil, err
		}
		l = append(l, r)
		entries = append(entries, r.entry("ready"))
	}
	f.list.set(entries...)
	return l, nil
}

// send sends requests of the tenant to an entry VM at a rate until ctx ends.
func (f *fleet) send(ctx context.Context, s *sentRequests, v *vm, rate int) {
	t := time.NewTicker(time.Second / time.Duration(rate))
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
			s.mu.Lock()
			s.at[id] = time.Now()
			s.mu.Unlock()
			f.line("caller: sends %s", id)
			a := f.call(context.WithoutCancel(ctx), request{method: http.MethodGet, address: v.bind + ":" + callersPort, path: "/status/" + id, host: hostName,
				header: map[string]string{headerKey: tenantKey, headerRequest: id, headerDeadline: "3000"}, transport: transport})
			f.line("caller: %s is answered %d", id, a.status)
			s.mu.Lock()
			s.got[a.status]++
			s.mu.Unlock()
		})
	}
}

// check counts the requests that were sent and arrived at a replica that ran them in each window.
func (s *sentRequests) check(f *fleet, l []*replica) error {
	type run struct{ sent, arrived time.Time }
	var runs []run
	for _, r := range l {
		for _, a := range r.ran() {
			if a.tenant == tenantName {
				runs = append(runs, run{s.at[a.id], a.at})
			}
		}
	}
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most := 0
	for _, w := range runs {
		n := 0
		for _, x := range runs {
			if !x.sent.Before(w.sent) && x.arrived.Before(w.sent.Add(quotaWindow)) {
				n++
			}
		}
		most = max(most, n)
	}
	f.note("most requests of the tenant in %s: %d; allowed are %.1f", quotaWindow, most, limit)
	if float64(most) > limit {
		return fmt.Errorf("%w: QUOTA: %d requests of a tenant ran in %s, allowed are %.1f", errBroken, most, quotaWindow, limit)
	}
	return nil
}
