// Package feed replicates the configuration from the keepers to every VM, in revision order, with a freshness lease.
//
// A keeper is a VM that takes part in the consensus on the configuration. Its Publisher sends the changes that the keeper
// has applied, and stamps. A stamp states that a revision contained everything that was committed at a given age before the
// stamp was sent. A VM's Follower applies the changes to the VM's Copy, never returns to an older revision, and derives from
// the stamps how old the copy may be. Clocks of different VMs are never compared: only time differences by one clock count.
package feed
