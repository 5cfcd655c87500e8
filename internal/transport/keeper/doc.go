// Package keeper gives every VM access to the replicated groups, whose replicas run on the VMs called keepers.
//
// The Client of a VM sends commands, queries and operators' actions to keepers over the mesh; the Serve functions handle
// them on a keeper.
package keeper
