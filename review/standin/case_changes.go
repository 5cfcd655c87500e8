package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Size of the case many-changes.
const (
	changes      = 720              // of the configuration
	addedRoutes  = 1400             // by big_config on a grown site
	changesUntil = 80 * time.Second // for all changes
	readUntil    = 20 * time.Second // for reading the configuration back; more than recoveryS and contactMs
)

// manyChanges changes a configuration some hundred times; with trouble it has grown by many routes. After the last acknowledgement all
// control processes are killed, which the platform restarts, and the operator reads the configuration back.
func manyChanges(ctx context.Context, f *fleet, trouble bool) error {
	f.add(entryClass, 2, entryMemory)
	f.add(controlClass, 5, controlMemory)
	r, err := newReplica(f, "i-1", appPool, 1, 6, 20*time.Millisecond)
	if err != nil {
		return err
	}
	defer r.end()
	f.list.set(r.entry("ready"))
	if err := f.start(); err != nil {
		return err
	}
	if err := f.put(ctx, baseConfiguration(1)); err != nil {
		return err
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	acked, err := f.change(ctx, trouble)
	if err != nil {
		return err
	}
	f.note("operator: %d changes acknowledged, the newest is version %d", acked-1, acked)
	f.noteOveruses()
	f.note("final fault: all control processes are killed")
	for _, v := range f.of(controlClass) {
		v.signal(syscall.SIGKILL)
	}
	return f.readBack(ctx, acked)
}

// change sends the changes one after the other and returns the newest acknowledged version.
func (f *fleet) change(ctx context.Context, trouble bool) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, changesUntil)
	defer cancel()
	acked := 1
	for v := 2; v < changes+2; v++ {
		c := baseConfiguration(v)
		if trouble {
			c.Routes = append(c.Routes, idleRoutes(addedRoutes)...)
		}
		c.Routes[0].TimeoutMs += v % 2
		if err := f.put(ctx, c); err != nil {
			f.note("operator: %v", err)
			break
		}
		acked = v
	}
	return acked, nil
}

// idleRoutes returns routes that nobody calls.
func idleRoutes(n int) []route {
	var l []route
	for i := range n {
		l = append(l, route{Name: fmt.Sprintf("r-idle%04d", i), Host: hostName, PathPrefix: fmt.Sprintf("/idle%04d/", i), Kind: "safe",
			TimeoutMs: 3000, SLOMs: 300, Service: appPool, MaxAttempts: 2})
	}
	return l
}

// readBack reads the configuration at all control VMs until one of them has it.
func (f *fleet) readBack(ctx context.Context, acked int) error {
	until := time.Now().Add(readUntil)
	last := ""
	for time.Now().Before(until) {
		for _, v := range f.of(controlClass) {
			a := f.call(ctx, request{method: http.MethodGet, address: v.bind + ":" + operatorsPort, path: "/snipetack/Config.Get"})
			last = fmt.Sprintf("%s answers a read of the configuration: %v", v.name, a)
			f.line("operator: %s", last)
			var c configuration
			if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &c) != nil {
				continue
			}
			f.note("operator: %s has version %d", v.name, c.Version)
			if c.Version < acked {
				return fmt.Errorf("%w: CONFIG: version %d was read back after version %d had been acknowledged", errBroken, c.Version, acked)
			}
			return nil
		}
		if !pause(ctx, 200*time.Millisecond) {
			break
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f.noteOveruses()
	return fmt.Errorf("%w: CONFIG: the acknowledged version %d can't be read back for %s; last: %s", errBroken, acked, readUntil, last)
}

// noteOveruses records how often each control process was killed because it used more memory than its machine has.
func (f *fleet) noteOveruses() {
	for _, v := range f.of(controlClass) {
		v.mu.Lock()
		f.note("%s: killed %d times for memory, peak %d MB", v.name, v.overuses, v.peak)
		v.mu.Unlock()
	}
}
