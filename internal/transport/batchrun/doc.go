// Package batchrun runs the items of batch jobs at upstreams and distributes what is in flight there. Both happen on the
// leader of the batch VMs.
//
// The entry VMs report their online requests to the Hub of the leader. The Runner starts items in the slots that these
// leave free and preempts them when online requests need the slots. In return the Hub sends each entry VM a hint: what the
// other VMs have in flight at each upstream.
package batchrun
