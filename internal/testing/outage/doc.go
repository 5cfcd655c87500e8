// Package outage holds tests of whole VMs while keepers, entry VMs, disks and links of a fleet fail. They are apart from those of package vm, as
// each seed plays a fleet for minutes of virtual time.
package outage
