package replica

// Machine is the replicated state machine of a group. Its methods are called from one goroutine at a time, and Apply
// must be deterministic.
type Machine interface {
	// Apply executes the committed command at a log index and returns the response for its proposer.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot() []byte
	// Restore replaces the state by the content of a snapshot.
	Restore(snapshot []byte) error
}
