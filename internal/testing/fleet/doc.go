// Package fleet runs complete VMs with stand-in upstreams on an in-memory network and in-memory disks, for tests
// in virtual time.
package fleet
