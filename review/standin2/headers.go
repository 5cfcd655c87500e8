package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Doses of the case on headers of items.
const (
	headerItems = 5               // of each job
	headerTime  = 8 * time.Second // in which the items run
	keyless     = ""
)

// headersSeen is what a replica got with a run of an item.
type headersSeen struct {
	id, tenant, key string
}

// headersConfiguration is configuration with a public batch route in addition.
func headersConfiguration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-batch","host":%q,"pathPrefix":"/pule252/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,"service":%q,"maxAttempts":3,"public":false,"sticky":true,"resumable":true,"gapAimMs":300,"dueMs":18000,"maxWaitS":60,"maxPending":740000},
{"name":"r-public","host":%q,"pathPrefix":"/miza118/","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,"service":%q,"maxAttempts":3,"public":true,"sticky":true,"resumable":true,"gapAimMs":300,"dueMs":18000,"maxWaitS":60,"maxPending":740000}],
"services":[{"name":%q,"healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":72000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0},{"name":"nuki114","apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0}]}`,
		version, host, servicesName, host, servicesName, servicesName, key, otherKey)
}

// playItemHeaders submits a job without a key, whose items name a tenant, and a job of a tenant whose items bear its key.
func playItemHeaders(ctx context.Context, x *stage) {
	if !x.put(ctx, headersConfiguration(2)) {
		x.cannot("the configuration was not acknowledged")
		return
	}
	time.Sleep(2 * time.Second) // configMs
	expected := map[string]string{}
	var public, private []item
	for i := range headerItems {
		p, q := newItem(fmt.Sprintf("e5b2907c%08x", i), []byte("statement"), 60), newItem(fmt.Sprintf("0b4c7de1%08x", i), []byte("statement"), 60)
		p.Path = "/miza118/3/" + p.ID
		expected[p.ID], expected[q.ID] = "", "huka270"
		if x.trouble {
			p.Headers["X-Snipetack-Tenant"] = "nuki114"
			q.Headers["X-Api-Key"] = key
		}
		public, private = append(public, p), append(private, q)
	}
	front := x.fronts()[0]
	if !x.submit(ctx, "19aa03b7c2d44e05", private, key, 5) || x.sendJob(ctx, front, "/miza118/", "7c41e09b52d6a3f8", public, keyless).status != http.StatusAccepted {
		x.cannot("a job was not accepted")
		return
	}
	time.Sleep(headerTime)
	foreign, leaked, ran := 0, 0, 0
	for _, p := range x.replicas {
		for _, h := range p.headers() {
			want, ok := expected[h.id]
			if !ok {
				continue
			}
			ran++
			x.note("replica %s ran item %s: tenant %q, key %q", p.id, h.id, h.tenant, h.key)
			if h.tenant != want {
				foreign++
			}
			if h.key != "" {
				leaked++
			}
		}
	}
	if ran < len(expected) {
		x.cannot("%d of %d items ran", ran, len(expected))
	}
	if foreign > 0 {
		x.broke("%d items ran for a tenant that doesn't hold the client's key", foreign)
	}
	if leaked > 0 {
		x.broke("the key was passed on with %d items", leaked)
	}
}
