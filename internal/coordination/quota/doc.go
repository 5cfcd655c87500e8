// Package quota enforces the rate and burst of each client account across all VMs together.
//
// One keeper, the quota owner, has a token bucket for each account and class of work. Every VM, the owner's included,
// requests tokens from it and spends them within a short validity. Where the burst is large enough, a token counts as
// spent when it is granted. Otherwise the grant is tracked: its tokens occupy space in the bucket until the holder
// settles the grant or it expires.
//
// Owner and Holder do no I/O: the caller passes the time and the messages in and out. Server and Limiter run them with
// the VM's clock, the control lease and the network.
package quota
