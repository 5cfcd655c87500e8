package catalog

import "time"

// ServiceKind is the API that the upstreams of a service have.
type ServiceKind string

// The kinds of services.
const (
	Engine ServiceKind = "engine" // model engines behind the chat-completions API
	Plain  ServiceKind = "plain"  // services reached as /services/{service}/...
)

// Account is a client account with its fleet-wide limits.
type Account struct {
	Name         string
	Rate         float64       // online requests per second, over all VMs together
	Burst        int           // online requests allowed in addition to Rate; at least 1
	BatchRate    float64       // batch items per second; zero means unlimited
	BatchBurst   int           // batch items allowed in addition to BatchRate
	Weight       float64       // share of a contended service relative to other accounts
	ResendWindow time.Duration // equal jobs without idempotency keys within it are one job; zero turns this off
}

// Key is a caller's credential; the secret itself is never stored.
type Key struct {
	ID        string
	Account   string
	Digest    [32]byte // SHA-256 of the secret
	IssuedAt  time.Time
	ExpiresAt time.Time // zero means never
	Withdrawn bool
}

// Route admits client accounts to a service.
type Route struct {
	Name       string
	PathPrefix string   // longest match wins
	Service    string   // target; empty for engine routes, where the model in the request selects the service
	Open       bool     // needs no key
	Repeatable bool     // calls may safely be executed more than once
	Accounts   []string // client accounts admitted; empty admits all
}

// Service is a group of upstreams that serve the same calls.
type Service struct {
	Name            string
	Kind            ServiceKind
	Models          []string
	Artifacts       []Artifact    // to be loaded on each upstream whose Memory is set
	ProgressTimeout time.Duration // max time without any bytes from the upstream during a response
	Deadline        time.Duration // max duration of an online request; zero means no limit
	QueueLimit      int           // max requests waiting at one VM
}

// Artifact is a model, adapter or version that upstreams load from the weight store.
type Artifact struct {
	Name string
	Size int64 // bytes to pull from the weight store, and memory used once loaded
}

// Upstream is one back end of a service.
type Upstream struct {
	Name          string
	Service       string
	Address       string // host:port
	DataCentre    string
	Slots         int    // requests that the upstream runs concurrently without queueing
	ChecksFencing bool   // refuses orders with an older fencing number than the highest it has seen
	Leaving       bool   // is being drained and gets no new work
	Memory        int64  // bytes available for artifacts; zero means that it gets no orders to load
	Role          string // the role that the upstream is ordered to take; empty leaves its role unchanged
}

// ShardRange assigns job ids whose hash lies in [From, To] to a replicated group.
type ShardRange struct {
	From  uint64
	To    uint64
	Group uint32
}

// Operator is a person or program allowed to change the configuration.
type Operator struct {
	Name   string
	Digest [32]byte // SHA-256 of the token
}

// Answers holds the stored questionnaire of a team, from which its configuration is generated.
type Answers struct {
	Team     string
	Document []byte // JSON with comments, as given
}
