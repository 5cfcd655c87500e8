// Package dispatch selects, at an entry VM, the upstream of each online request, queues requests while no slot is free,
// and decides how long an attempt may take to its first byte.
//
// Slots that batch items occupy count as free for online requests, since batch items are preempted. The loads from other
// VMs (online requests and batch items) come from the leader of the batch VMs, so they are known with a delay.
package dispatch
