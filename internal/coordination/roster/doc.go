// Package roster holds the leading control VM's view of the fleet and the messages that keep all VMs up to date.
//
// Each VM sends a Report at intervals and receives a Bulletin with what it lacks: the configuration, the directory of VMs,
// the list of upstreams, its rate limit shares, and who leads the batch group. Tags, which are hashes of the content, and
// the configuration's version tell whether a VM has the current one.
package roster
