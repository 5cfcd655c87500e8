// Package spillover decides which online requests leave their data centre, and for which other one.
//
// It responds to data centres whose upstreams are too few for their own callers while others have free slots: one with several times its usual demand, or
// one that has lost most of its upstreams. Traffic between data centres is slower and costs money, so only the excess leaves, no more than the others have
// room for, and each VM decides by chance on its part, so that the VMs of a data centre do not switch at once.
package spillover
