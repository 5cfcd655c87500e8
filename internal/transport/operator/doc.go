// Package operator holds both ends of the operators' HTTP interface: Server on a VM and Client in the command line.
//
// It commits and reads configuration changes, reports on VMs, keepers, batch jobs and placement, and carries out
// drains, cancels, keeper actions and backups.
package operator
