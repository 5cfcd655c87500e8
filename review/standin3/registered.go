package main

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Load of the case "registered".
const (
	registeredUpstreams = 2
	registeredItems     = 16
	registeredRequests  = 40
	registeredTraffic   = 8 * time.Second // from the acceptance of the job until the end of the traffic
)

// playRegistered lets another writer register each upstream a second time: under the same id, with the port of its exporter of metrics and a service
// that no configuration names. Such an entry names no upstream to use, and the others hold: the items of a job are done at the upstreams.
func playRegistered(f *fleet, trouble bool) (bool, error) {
	x := &runs{broken: map[string]time.Time{}}
	var strays atomic.Int64
	for i := 1; i <= registeredUpstreams; i++ {
		u := newUpstream(f, i, x.respondBoth)
		if err := u.start("v1"); err != nil {
			return false, err
		}
		if !trouble {
			continue
		}
		o := u.i
		o.Service, o.Addr = "exporter", f.at(upstreamNet+strconv.Itoa(i), portExporter)
		if err := serveExporter(f, o, &strays); err != nil {
			return false, err
		}
	}
	if err := f.configure(plan(jobsRoute(), lookupsRoute())); err != nil {
		return false, err
	}
	if err := f.submit("job", "a1", registeredItems); err != nil {
		return false, err
	}
	accepted := time.Now()
	served := 0
	for i := range registeredRequests {
		if a := f.lookup(i); a.status == http.StatusOK {
			served++
		}
	}
	for time.Since(accepted) < registeredTraffic+waveFinish {
		f.log.printf("client reads job: %d of %d results", f.results("job"), registeredItems)
		time.Sleep(time.Second)
	}
	f.log.printf("%d of %d lookups were served; the exporters got %d requests", served, registeredRequests, strays.Load())
	return x.check(f, registeredItems), nil
}

// serveExporter serves an exporter of metrics, which the list shows for good. It knows no other path.
func serveExporter(f *fleet, o instance, strays *atomic.Int64) error {
	l, err := net.Listen("tcp4", o.Addr) //nolint:noctx // it lasts as long as the process
	if err != nil {
		return err
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if strays.Add(1) <= registeredItems {
			f.log.printf("the exporter of %s gets %s", o.ID, r.Header.Get("X-Snipetack-Request-Id"))
		}
		w.WriteHeader(http.StatusNotFound)
	})
	s := &http.Server{Handler: m, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	f.list.add(o)
	return nil
}

// respondBoth answers lookups at once, and streams the output of items.
func (x *runs) respondBoth(u *upstream, c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/lookups/") {
		u.answer(c, r, "found")
		return
	}
	x.respond(u, c, r)
}
