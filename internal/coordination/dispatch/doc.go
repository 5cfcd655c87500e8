// Package dispatch decides at an entry VM which upstream serves a request, which request waits, and for how long.
//
// Online requests see batch items as free room, as those give way. What is in flight from other VMs is known from
// the VM that runs batch items, with a lag.
package dispatch
