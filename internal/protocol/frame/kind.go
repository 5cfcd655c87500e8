package frame

// Kind tells the receiver of a stream or message how to handle it. The numbers are part of the wire format and are
// never reused.
type Kind byte

// The kinds of messages between VMs.
const (
	Consensus  Kind = 1  // one-way: a message of a replicated group
	Propose    Kind = 2  // call: a command for a group, forwarded to its leader
	Barrier    Kind = 3  // call: a read barrier for a group, served by its leader
	Watch      Kind = 4  // stream: configuration changes and freshness stamps
	QuotaGrant Kind = 5  // call: tokens requested from and returned to the quota owner
	Load       Kind = 6  // one-way: what a VM has in flight at each upstream
	Job        Kind = 7  // call: reads and leases of batch jobs
	Preempt    Kind = 8  // one-way: a BatchLoad that grew, so that batch items may have to be preempted immediately
	Snapshot   Kind = 9  // stream: the state of all groups, for a backup
	Placement  Kind = 10 // call: state and decisions of the placement leader, for operators
	Keeper     Kind = 11 // call: operators' requests to the replicated groups
	VMStatus   Kind = 12 // call: a VM's own report for operators
	BatchLoad  Kind = 13 // one-way: online work in flight, for batch scheduling
	Membership Kind = 14 // call: operators' requests about the members of the replicated groups
	kindCount       = 15
)

// Count is one more than the highest kind, for arrays indexed by Kind.
const Count = int(kindCount)
