// Package frame defines the kinds of messages between VMs and delimits messages on a stream.
package frame
