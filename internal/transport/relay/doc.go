// Package relay forwards a caller's request to an upstream and returns the response. It is independent of paths and header
// names, which the implementations of UpstreamProvider and Sink set.
//
// A request that an upstream may have run is retried only where its route allows that, and a failure states that the
// request has not run only where that is certain.
package relay
