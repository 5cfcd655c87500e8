// Package share keeps each account within its rate and burst over the whole fleet.
//
// The owner, which is the leading control VM, admits requests from one Ledger. An entry VM that can't reach the owner
// admits requests from its own Buckets, within the share of the limit that the Owner granted it beforehand.
//
// The shares that an owner grants for an account never add up to more than one: a share grows only once the other entry
// VMs have reported that theirs have shrunk. An entry VM that is disconnected keeps the share that it has.
package share
