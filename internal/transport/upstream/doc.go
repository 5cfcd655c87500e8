// Package upstream is the HTTP client for engines and plain services.
//
// Client makes single attempts and reports of a failed one whether the upstream may have received any of it. Watcher
// polls upstreams for their load, and Sharer exchanges the counts of requests in flight between VMs.
package upstream
