// Package mesh carries messages between the VMs of a fleet over QUIC with mutual TLS.
//
// A VM dials a peer when it first has something to send to it, even if that peer has dialled it. Every dial opens a new UDP
// socket and so uses a new source port: a connection whose state a NAT or firewall on the path has lost is replaced by one
// that works.
//
// Three patterns share a connection: calls (a request and its response), streams (messages both ways) and one-way
// messages, which may be lost. The first byte of each QUIC stream is the frame.Kind, which selects the handler.
package mesh
