package quota

import "time"

// TokenRequest is one VM's message to the owner. A transport must deliver it at most once, since returns would
// otherwise be credited twice.
type TokenRequest struct {
	Term    uint64 // of the owner that granted the returned and settled tokens; in another term both are ignored
	Demands []Demand
	Returns []Return
	Settled []Settlement
}

// Demand requests tokens of one bucket.
type Demand struct {
	Key     Key
	Need    int // tokens for requests that are waiting
	Reserve int // tokens for the requests expected next
}

// Return gives back tokens of grants that were not tracked and that the holder will not spend.
type Return struct {
	Key    Key
	Tokens int
}

// Settlement ends a tracked grant; the tokens that were not spent go back to the bucket.
type Settlement struct {
	Key     Key
	GrantID uint64
	Unspent int
}

// TokenResponse is the owner's response, with a grant for each demand in the same order.
type TokenResponse struct {
	Term   uint64
	Grants []Grant
}

// Grant assigns tokens that are valid for a time counted from the moment the token request was sent.
type Grant struct {
	Tokens   int
	ID       uint64        // identifies a tracked grant; zero if the grant is not tracked
	Validity time.Duration // by the holder's clock
	Wait     time.Duration // min time until the next token, when the need was not met
}
