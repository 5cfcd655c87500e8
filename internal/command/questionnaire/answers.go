package questionnaire

import (
	"time"

	"snipetack/internal/command/document"
)

// Answers are a team's decoded questionnaire.
type Answers struct {
	Team      string
	Services  []Service
	Accounts  []Account
	Routes    []Route
	Workloads []Workload
	Document  []byte // JSON with comments, as given

	source *document.Decoder // maps paths of answers to positions in the file, for error messages; may be nil
}

// Service is a group of upstreams that serve the same calls.
type Service struct {
	Name            string
	Kind            string        // engine or plain
	Models          []string      // engines only
	ProgressTimeout time.Duration // max time without any bytes from the upstream during a response
	Deadline        time.Duration // max duration of an online request
	QueueLimit      int           // max requests waiting at one VM
	UpstreamRate    float64       // requests per second that one upstream can serve
	Upstreams       []Upstream
	ChecksFencing   bool  // its engines reject orders with an old fencing number
	UpstreamMemory  int64 // bytes for artifacts on one upstream; zero means that it gets no orders to load
	Artifacts       []Artifact
	UpstreamSlots   int // requests that one upstream runs concurrently
}

// Artifact is a model, adapter or version that engines load.
type Artifact struct {
	Name string
	Size int64 // bytes
}

// Upstream is one back end of a service.
type Upstream struct {
	Name       string
	Address    string // ip:port
	DataCentre string
	Leaving    bool   // is to be drained and gets no new work
	Role       string // the role that the upstream is ordered to take; empty leaves its role unchanged
}

// Account is a client account.
type Account struct {
	Name         string
	Keys         int           // keys to issue when the account is new
	Rate         float64       // online requests per second, over all VMs together
	Burst        int           // online requests allowed in addition to Rate
	BatchRate    float64       // batch items per second; zero means unlimited
	BatchBurst   int           // batch items allowed in addition to BatchRate
	Weight       float64       // share of a contended service relative to other accounts
	ResendWindow time.Duration // equal jobs without idempotency keys within it are one job; zero turns this off
}

// Route admits accounts to a plain service or, if Service is empty, to the engines, where the model in the request selects
// the service.
type Route struct {
	Name      string
	Path      string
	Service   string
	Open      bool     // needs no key
	MayRepeat bool     // calls may safely be executed more than once
	Accounts  []string // client accounts admitted; empty admits all
}

// Workload is the load that an account is expected to send. It is checked against the account's rates and the capacity of
// the services, and generates no configuration.
type Workload struct {
	Name    string
	Account string
	Route   string        // may be empty for engines, where Model selects the service
	Model   string        // engines only
	Kind    string        // online or batch
	Rate    float64       // online: peak requests per second
	Items   int           // batch: items per job
	Due     time.Duration // batch: time from submission until the job is due
}

// Capacity returns the requests per second that all upstreams can serve, leaving ones included.
func (s Service) Capacity() float64 {
	return float64(len(s.Upstreams)) * s.UpstreamRate
}

// UsableCapacity returns the requests per second that the upstreams can serve without those that are leaving.
func (s Service) UsableCapacity() float64 {
	n := 0
	for _, u := range s.Upstreams {
		if !u.Leaving {
			n++
		}
	}
	return float64(n) * s.UpstreamRate
}

// Demand returns the requests per second of an online workload, or the items per second that complete a batch job by its
// due time. Due must not be zero for batch.
func (w Workload) Demand() float64 {
	if w.Kind == "batch" {
		return float64(w.Items) / w.Due.Seconds()
	}
	return w.Rate
}
