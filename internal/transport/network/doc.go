// Package network is the boundary to the operating system's TCP and UDP.
//
// Tests replace it by an in-memory network.
package network
