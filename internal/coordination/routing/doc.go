// Package routing chooses the upstream of each attempt of a request.
//
// Table and the types it uses do no I/O and read no clock: time and random seed are passed in, so that benchmarks can
// run them in virtual time. Router wraps a Table with the clock, a lock and a log line for each choice.
package routing
