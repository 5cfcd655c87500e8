// Package docket is the replicated state machine of batch jobs that are submitted complete, in one command, and whose
// results are read in the order in which they were committed, from a position on.
package docket
