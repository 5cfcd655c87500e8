// Package dispatch selects, at an entry VM, the upstream of each online request, queues requests while no slot is free,
// and decides how long an attempt may take to its first byte.
//
// Slots that batch items occupy count as free for online requests, since batch items are preempted. The requests in
// flight from other VMs are reported by the holder of the batch lease, so they are known with a delay.
package dispatch
