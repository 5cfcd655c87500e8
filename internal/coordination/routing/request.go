package routing

import (
	"time"

	"snipetack/internal/state/catalog"
)

// Class distinguishes online requests from batch items.
type Class int

// The classes of requests.
const (
	Online Class = iota
	Batch
)

// Request holds the properties of a request that the choice of its upstream depends on.
type Request struct {
	ID      string
	Account string
	Service string
	Class   Class
	Prompt  string          // empty for plain services
	Blocks  []uint64        // hashes of the prompt's prefixes, as returned by Blocks
	Tried   map[string]bool // upstreams that this request was already sent to in vain; empty on the first attempt
}

// Choice is the upstream chosen for one attempt. Done must be called exactly once, when the attempt has ended: until
// then the attempt counts as in flight.
type Choice struct {
	Upstream catalog.Upstream
	Done     func(Report)
}

// Report describes how an attempt ended.
type Report struct {
	Failed  bool          // the upstream broke off or was unresponsive
	Refused bool          // the upstream refused the request before running it
	Closing bool          // the upstream announced that it will close the connection
	First   time.Duration // time to the first chunk; zero if there was none
	Took    time.Duration // total time of the attempt
	Tokens  int           // chunks received
}

// Load is an upstream's report of its own load.
type Load struct {
	Running int // requests
	Waiting int // requests
	Slots   int
	Age     time.Duration // of the figures, when the report was received
	Leaving bool          // the upstream is shutting down
}

// CacheEvent reports that an upstream's prompt cache stored or evicted a block.
type CacheEvent struct {
	Number uint64 // ascends by one for each event of an upstream
	Block  uint64 // hash of the prompt's prefix up to the end of the block
	Stored bool   // false: evicted
}
