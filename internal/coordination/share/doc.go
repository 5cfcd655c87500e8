// Package share keeps each account within its rate and burst over the whole fleet.
//
// The owner, the control VM that leads, admits requests from one Ledger. An entry that can't ask it goes on with its
// own share of the limit, of which the Owner tells it beforehand.
//
// The owner hands out shares that never add up to more than one: a share grows only once the others have confirmed
// that theirs have shrunk. An entry out of touch goes on with the share that it has.
package share
