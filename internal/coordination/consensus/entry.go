package consensus

// EntryKind is the purpose of a log entry. Its numbers are stored and sent, so they are never reused.
type EntryKind byte

// The kinds of entries.
const (
	Command    EntryKind = 1 // a command for the state machine
	NoOp       EntryKind = 2 // the first entry of a leader
	Membership EntryKind = 3 // a configuration, in force as soon as it is appended
)

// Entry is one entry of the log. Indexes start at 1.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the state that a replica must sync to disk before it responds, so that it does not vote twice in a
// term after a restart.
type HardState struct {
	Term uint64
	Vote uint64 // replica ID voted for in Term; 0 for none
}

// Snapshot describes a snapshot of the state machine. The driver stores its content.
type Snapshot struct {
	Index         uint64 // last entry that it covers
	Term          uint64
	Configuration Configuration // in force at Index
	Size          uint64        // bytes
	Checksum      uint64        // xxhash of the content
}

// Chunk is a received piece of a snapshot's content, which the driver appends to a partial file.
type Chunk struct {
	Snapshot Snapshot
	Offset   uint64 // in bytes; 0 restarts the partial file
	Data     []byte
}
