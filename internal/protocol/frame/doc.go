// Package frame defines the kinds of messages that package mesh exchanges between VMs and delimits messages on a stream.
// Package link has a format of its own.
package frame
