// Package batch schedules batch items on upstreams: which items run where, and when online requests preempt them.
//
// Each upstream has a batch lease, and the VM that holds it schedules the upstream's items with an Agent:
// Lender decides how many slots online requests leave to batch, Core which leased items start and stop in
// them, and Pick which items to claim next. These do no I/O and take the time as an argument. Scheduler
// drives them on a VM: it takes leases, runs the items and commits reports of their results to the ledger.
package batch
