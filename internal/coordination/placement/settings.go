package placement

import "time"

// Settings are the parameters of placement.
//
// Utilization is the demand for an artifact as a share of the request rate that its copies can carry.
type Settings struct {
	HighUtilization   float64       // utilization above which copies are added
	TargetUtilization float64       // utilization that a new number of copies aims at
	LowUtilization    float64       // utilization with one copy less below which copies become spare
	ScaleUpAfter      time.Duration // how long demand must be high before copies are added
	ScaleDownAfter    time.Duration // how long demand must be low before copies become spare
	MinStay           time.Duration // min time for which a copy stays loaded
	OrderLifetime     time.Duration // an order takes effect within this time of its sending or not at all
	Backoff           time.Duration // time for which an upstream that failed an order gets no other
	PullRate          float64       // bytes per second that the whole fleet pulls from the weight store
	PullBurst         float64       // bytes that may be pulled in one burst; a larger artifact is never loaded
	MaxIntentsPerStep int           // max intents that one step proposes
}

// DefaultSettings returns settings under which a copy stays loaded for at least ten minutes.
func DefaultSettings() Settings {
	return Settings{
		HighUtilization:   0.8,
		TargetUtilization: 0.6,
		LowUtilization:    0.5,
		ScaleUpAfter:      10 * time.Second,
		ScaleDownAfter:    10 * time.Minute,
		MinStay:           10 * time.Minute,
		OrderLifetime:     10 * time.Second,
		Backoff:           30 * time.Second,
		PullRate:          1 << 30,
		PullBurst:         64 << 30,
		MaxIntentsPerStep: 16,
	}
}

// Artifact is a model, adapter or version that upstreams can load. A copy of it is one upstream that has loaded it.
type Artifact struct {
	Name      string
	Services  []string // services whose upstreams may load it; empty means all
	Size      int64    // bytes, both to pull and in the upstream's memory
	Rate      float64  // requests per second that one copy carries; if 0, demand adds no copies
	MinCopies int      // min copies, kept even without demand
}

// Host is an upstream that accepts orders.
type Host struct {
	Name          string
	Service       string
	DataCentre    string
	Memory        int64  // bytes available for artifacts
	Role          string // configured role; empty leaves the role unchanged
	ChecksFencing bool   // refuses orders whose fencing number is older than one it has accepted
	Usable        bool   // reachable and not leaving
}

// Input is what a step's decisions depend on, besides the committed state.
type Input struct {
	Hosts     []Host
	Artifacts []Artifact
	Demand    map[string]float64 // requests per second, by artifact
}
