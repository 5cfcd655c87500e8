// Package docket is the replicated state of batch jobs that arrive whole and are read by position.
package docket
