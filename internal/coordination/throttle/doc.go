// Package throttle keeps the requests of all VMs to an upstream within the rate that the upstream names in its responses.
//
// The Table of each VM holds the limits that it knows, from responses or from other VMs. The Ledger of the leading control VM
// admits each request to a limited upstream, wherever it is sent from, by one token bucket an upstream. A VM that can't reach
// the Ledger admits requests by its Pacer, which spreads an even share of the limit over time.
package throttle
