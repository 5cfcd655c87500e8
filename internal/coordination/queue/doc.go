// Package queue holds back the requests of a service at a VM until an upstream has a free slot, starts them fairly by
// client account, and refuses those that can't meet their deadline.
//
// Fair and Service do no I/O: the caller passes in the time and the capacity.
package queue
