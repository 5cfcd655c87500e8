// Package link carries frames between VMs over TCP, for fleets that hand out no certificates.
//
// Each VM dials every VM that it speaks to; answers come back on the connection of their request. A connection that
// has gone silent is found by a probe and dialled anew.
package link
