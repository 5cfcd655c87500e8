package roster

import (
	"time"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/throttle"
	"snipetack/internal/coordination/warmup"
	"snipetack/internal/state/plan"
)

// Class is the role of a VM.
type Class string

// The classes.
const (
	Entry   Class = "entry"   // serves the requests of callers
	Control Class = "control" // replicates the configuration
	Batch   Class = "batch"   // replicates and runs batch jobs
)

// VM is one VM of the fleet.
type VM struct {
	Name    string
	Address string // host:port at which other VMs reach it
	Class   Class
	Zone    string
}

// Report is the message in which a VM describes itself and what it has.
type Report struct {
	VM                    VM
	Incarnation           int64              // start time of the process in ns; tells a restarted process from the previous one
	Version               uint64             // of the configuration that the VM has
	DirectoryTag, ListTag uint64             // of the directory and list that the VM has
	Even                  float64            // share of each account's limit that is in force on this VM
	Shares                map[string]float64 // in force on this VM in addition, by account
	Demand                map[string]float64 // requests per second, by account
	Apart                 bool               // the VM has used its shares since the leader last responded
	RequestsShares        bool               // Even, Shares and Demand are set, and new shares are requested
	Leads                 bool               // leads the batch group
	Members               []string           // addresses in the batch group, when it leads
	QuarantineRevision    uint64             // of the quarantines in force on the VM
	Unpacks               bool               // the VM understands Bulletin.Packed
	PatchesLists          bool               // the VM understands Bulletin.ListBase
	Crashes               []quarantine.Crash // of upstreams, not reported to this leader so far
	Matched               []string           // keys of the quarantines that held prompts back lately
	Cleared               []quarantine.Clearance
	Refuted               []string         // keys of the quarantines in force of which a prompt had a sound response here
	Awaited               []string         // suspects whose responses have begun at upstreams that run on, and may clear them
	Limits                []throttle.Limit // that upstreams named here lately
	Cold                  []warmup.Word    // on upstreams that are cold or were, seen here lately
	EvacuationRevision    uint64           // of the evacuations in force on the VM
	Evacuates             bool             // the VM's build supports evacuations
}

// Bulletin is a control VM's response to a Report; parts that the reporter has already are left out.
type Bulletin struct {
	Leader         string        // address of the leading control VM, "" when none is known
	Leads          bool          // the sender leads
	Mirrors        bool          // the sender passes on what the leading control VM has told it
	Age            time.Duration // time since then
	Version        uint64        // of the configuration
	Document       []byte        // the configuration, encoded
	Packed         []byte        // Document in compressed form, instead of it
	DirectoryTag   uint64
	VMs            []VM // those that others call; in a large fleet without the entry VMs
	Fleet          int  // number of VMs; 0 when the sender does not know
	Entries        int  // number of entry VMs
	ListTag        uint64
	ListBase       uint64 // tag of the list of which Upstreams and Removed are the changes; 0 when Upstreams is the whole list
	Upstreams      []Upstream
	Removed        []string           // ids
	ListAge        time.Duration      // time since the list of upstreams was read
	InitialMembers []string           // addresses of the batch group's initial members
	Leaving        []string           // names of batch VMs that are being drained
	Even           float64            // share of each account's limit, where shares were requested
	Shares         map[string]float64 // shares in addition that change, by account
	BatchLeader    string             // address
	BatchMembers   []string           // addresses
	Controls       []string           // addresses of control VMs, where the sender does not lead
	Epoch          int64              // identifies the leader's collection of reports; 0 where the sender does not lead

	QuarantineRevision uint64 // of Quarantines; 0 where the reporter has them
	Quarantines        []plan.Quarantine
	Cold               []warmup.Word    // on upstreams that are cold or were
	Limits             []throttle.Limit // that upstreams named, also those that ended lately
	Suspects           []string         // prompt segments that may crash upstreams; the VMs report sound responses to them
	EvacuationRevision uint64           // of Evacuations; 0 where the reporter has them
	Evacuations        []plan.Evacuation
	Evacuates          bool // the leader knows that the builds of the control group support evacuations; for control VMs
}
