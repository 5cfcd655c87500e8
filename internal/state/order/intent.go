package order

import "time"

// Action is what an upstream is ordered to do.
type Action string

// The actions that engines take orders for, with what an Intent's Target is.
const (
	Load   Action = "load"   // Target is a model, adapter or version
	Unload Action = "unload" // Target is a model, adapter or version
	Role   Action = "role"   // Target is the role to take
)

// Intent is an order that is to be carried out; a newer one for the same upstream replaces it.
type Intent struct {
	Fence    uint64 // fencing number, assigned when the intent is committed
	Term     uint64 // of the leader that decided it
	Upstream string
	Action   Action
	Target   string
	Bytes    int64     // size of the artifact, pulled from the weight store
	At       time.Time // time of the decision, by the leader's clock
}

// Held is an artifact in an upstream's memory.
type Held struct {
	Since time.Time // At of the intent that loaded it
	Bytes int64
}

// Placed is what an upstream holds, according to the orders known to be carried out.
type Placed struct {
	Loaded  map[string]Held // by artifact
	Role    string
	Pending *Intent // committed intent whose outcome is not known yet, or nil
}

// State is what is placed on each upstream. It is never modified once Machine.State has returned it.
type State struct {
	Fence     uint64 // the highest fencing number assigned
	Term      uint64 // of the newest leader that committed a command
	Upstreams map[string]Placed
}

// Command is a change of the state by a leader. Finish is applied first, then Forget, then Begin.
type Command struct {
	Term   uint64
	Begin  []Intent // without fencing numbers
	Finish []Finish
	Forget []string // upstreams that are no longer configured, whose state is deleted
}

// Finish ends the pending intent that has the fencing number Fence; it is ignored if that intent has been replaced.
type Finish struct {
	Upstream string
	Fence    uint64
	Done     bool // the order was carried out
}

// Outcome is the result of a command.
type Outcome struct {
	Stale  bool     // nothing was changed: a newer leader has committed a command, or this one can't be decoded
	Fences []uint64 // of the intents begun, in their order
}
