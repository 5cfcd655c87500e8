// Package queue orders the requests of a service fairly by client account while they wait for an upstream.
//
// Fair and Service do no I/O: the caller passes in the time and the capacity.
package queue
