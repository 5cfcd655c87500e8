// Package fakenet is an in-memory UDP and TCP network with fault injection, for tests in virtual time.
package fakenet
