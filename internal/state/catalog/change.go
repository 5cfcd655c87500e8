package catalog

import (
	"time"

	"snipetack/internal/state/result"
)

// Op is one edit of the configuration. Exactly one field is set. An entry replaces the one of the same name, and Shards
// replaces the complete table of shard ranges.
type Op struct {
	Account  *Account
	Key      *Key
	Withdraw string // id of the key to withdraw
	Route    *Route
	Service  *Service
	Upstream *Upstream
	Operator *Operator
	Answers  *Answers
	Shards   []ShardRange
	Delete   *Deletion
}

// Deletion names the table entry to delete.
type Deletion struct {
	Table Table
	Name  string
}

// Table names one table of the configuration.
type Table string

// The tables from which entries can be deleted.
const (
	Accounts  Table = "accounts"
	Keys      Table = "keys"
	Routes    Table = "routes"
	Services  Table = "services"
	Upstreams Table = "upstreams"
	Operators Table = "operators"
)

// Change is a set of edits that takes effect as one revision.
type Change struct {
	ID     string // chosen by the sender; a retry carries the same id and gets the first outcome
	Base   uint64 // the revision that the change was made against
	Rebase bool   // applies to the current revision, whatever Base is; for edits that can't conflict, as a withdrawal
	Author string
	At     time.Time
	Ops    []Op
}

// Outcome is the result of a change.
type Outcome struct {
	Code     result.Code
	Revision uint64 // made by the change; else the current one, or 0 if the change has no id or can't be decoded
	Detail   string // why the change was rejected
	Winner   string // id of the first change made after Base, at a conflict; empty when it is no longer in the history
	Author   string // author of the winner
}

// Applied is a change with the revision that it made, as watchers receive it.
type Applied struct {
	Revision uint64
	Change   Change
}
