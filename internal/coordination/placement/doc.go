// Package placement decides which models, adapters and versions are loaded on which upstreams, and in which role.
//
// It does no I/O. The leader's loop calls Core.Step, commits the intents that it proposes, sends the orders that
// Core.Orders returns and reports their results with Core.ResultReceived.
//
// An order carries the fencing number of its committed intent. An upstream that checks the number refuses the orders of
// a former leader. For upstreams that don't, three rules take its place: a leader starts only after the lease of the
// former one has ended, an upstream has at most one order at a time, and an order whose outcome is unknown blocks its
// upstream until the order can no longer take effect.
package placement
