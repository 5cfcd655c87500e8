// Package pace estimates when a request at an upstream gets its first event and its end, from what upstreams report of their load and speed.
//
// It responds to services whose upstreams differ in speed, or are slowed by neighbours on their hosts for fractions of a second up to many seconds.
// Without reports of a pace it has no effect.
package pace
