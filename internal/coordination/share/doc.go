// Package share divides each account's rate and burst among the entry VMs by demand.
//
// The owner hands out shares that never add up to more than one: a share grows only once the others have confirmed
// that theirs have shrunk. An entry out of touch goes on with the share that it has.
package share
