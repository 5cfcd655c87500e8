package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Load of the case "founding".
const (
	foundingKill  = 150 * time.Millisecond // from the start of the first control VM's process; the other VMs start 0.3 s after it
	foundingWait  = 60 * time.Second       // for an acknowledgement, and then for an answer
	foundingPause = 500 * time.Millisecond // between calls
)

// playFounding kills the process of one control VM while the fleet starts for the first time. The platform restarts it at once. The fleet has to form
// and to serve.
func playFounding(f *fleet, trouble bool) (bool, error) {
	respond := func(u *upstream, c net.Conn, r *http.Request) { u.answer(c, r, "found") }
	if err := newUpstream(f, 1, respond).start("v1"); err != nil {
		return false, err
	}
	pid, err := f.awaitProcess("control-1")
	if err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(foundingKill)
		f.log.printf("control-1 is killed")
		if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
			return false, err
		}
	}
	acknowledged := f.configureWithin(plan(lookupsRoute()), foundingWait) == nil
	statuses := map[int]int{}
	for end := time.Now().Add(settleTime); time.Now().Before(end) || statuses[http.StatusOK] == 0 && acknowledged && time.Now().Before(end.Add(foundingWait)); {
		a := f.lookup(statuses[0] + statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable])
		statuses[a.status]++
		time.Sleep(foundingPause)
	}
	f.log.printf("the configuration is acknowledged: %t; answers to clients by status: %v", acknowledged, statuses)
	return acknowledged && statuses[http.StatusOK] > 0, nil
}

// awaitProcess returns the process id of a VM once run.sh has started it.
func (f *fleet) awaitProcess(vm string) (int, error) {
	for end := time.Now().Add(formTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		b, err := os.ReadFile(filepath.Join(f.dir, vm+".pid"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		return strconv.Atoi(strings.TrimSpace(string(b)))
	}
	return 0, fmt.Errorf("%s was not started", vm)
}

// lookup asks for a lookup at an entry VM.
func (f *fleet) lookup(i int) answer {
	a := call(f.entry(i), http.MethodPost, "/lookups/x", map[string]string{"Host": "engines.example", "X-Api-Key": "key",
		"X-Snipetack-Request-Id": "lookup-" + strconv.Itoa(i), "X-Snipetack-Deadline-Ms": "1000"}, nil, time.Second)
	f.log.printf("client asks for lookup-%d: status %d", i, a.status)
	return a
}

// lookupsRoute is a route for requests that may be repeated.
func lookupsRoute() map[string]any {
	return map[string]any{"name": "lookups", "host": "engines.example", "pathPrefix": "/lookups/", "kind": "safe", "timeoutMs": 3000, "sloMs": 300, "priority": 0,
		"service": "engines", "maxAttempts": 2, "public": false}
}
