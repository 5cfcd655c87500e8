// Package order is the replicated state machine of placement: committed intents, and the artifacts and role of each
// upstream.
//
// An intent is committed before its order is sent to the upstream. Its fencing number is higher than that of every
// intent committed before, so an upstream that checks the number refuses the orders of a former leader.
package order
