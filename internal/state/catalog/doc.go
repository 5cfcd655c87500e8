// Package catalog is the replicated configuration: client accounts, keys, routes, services, upstreams, operators,
// questionnaires and shard ranges.
//
// A Configuration is immutable. Changes are applied in the order of the control group's log, and each applied change
// makes the next revision, so that revisions have no gaps. A change that was made against a revision other than the
// current one is rejected as a conflict, unless it has Rebase set.
package catalog
