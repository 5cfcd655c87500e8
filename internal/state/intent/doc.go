// Package intent is the replicated state machine that lets a request with an idempotency key run at most once.
//
// A request is identified by its client account and idempotency key; each attempt to execute it is a run. A VM commits
// a Begin before it sends anything to an upstream. The first run holds the request and may be dispatched. A later
// Begin returns the state of that run, with its response if that is stored, and its own run must not be dispatched.
// Only if the first run was abandoned, because nothing reached an upstream, does the next run hold the request.
package intent
