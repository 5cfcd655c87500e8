// Package ledger is the replicated state machine of batch work: files, jobs, items, leases and results.
//
// Input lines and results are compressed by the VM that sends them and stored as received. Items are leased to the
// VM that holds the upstream's batch lease, under the lease's fencing epoch. The first committed result of an item
// counts, whichever epoch it ran under.
//
// Time enters only through commands, so that all replicas reach the same state. The Machine never expires a lease:
// a VM that contends for one waits by its own clock until the holder has stopped renewing it, and then sends a Take.
package ledger
