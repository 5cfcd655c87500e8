package consensus

// MessageKind is the type of a request or response. Its numbers are on the wire, so they are never reused.
type MessageKind byte

// The kinds of messages between the replicas of a group.
const (
	PreVote           MessageKind = 1 // asks whether the receiver would vote for the sender in Term, without starting that term
	PreVoteResponse   MessageKind = 2
	Vote              MessageKind = 3
	VoteResponse      MessageKind = 4
	Append            MessageKind = 5
	AppendResponse    MessageKind = 6
	Heartbeat         MessageKind = 7
	HeartbeatResponse MessageKind = 8
	SnapshotChunk     MessageKind = 9 // the leader's driver fills in Data
	SnapshotResponse  MessageKind = 10
	ReadIndex         MessageKind = 11
	ReadIndexResponse MessageKind = 12
	CampaignNow       MessageKind = 13 // tells the target of a leadership transfer to start an election
	messageKindLimit              = 14
)

// Message is sent from one replica of a group to another. Fields that a kind does not use are zero.
type Message struct {
	Kind     MessageKind
	From     Member
	To       Member
	Term     uint64
	Index    uint64 // by kind: last index, index before Entries, matched or rejected index, index of the snapshot or read
	LogTerm  uint64 // term of the entry at Index
	Commit   uint64 // leader's commit index; in a heartbeat at most the index that the receiver is known to match
	Entries  []Entry
	Reject   bool
	Hint     uint64 // with Reject: greatest index that may match, whose term is LogTerm
	Sent     uint64 // leader's clock in ns when the heartbeat round was sent; echoed in responses
	Force    bool   // the election is part of a leadership transfer: a voter does not refuse because the leader is alive
	Read     uint64 // number that the requesting driver gave the read
	Snapshot *Snapshot
	Offset   uint64 // in bytes: of Data in the snapshot, or of the next chunk that the receiver needs
	Data     []byte
}
