// Package link exchanges frames between VMs over TCP, for fleets that issue no certificates.
//
// Each VM dials every VM that it sends frames to; the response to a request arrives on the same connection. A probe detects
// an unresponsive connection, which is closed; the next frame to that VM opens a new one.
package link
