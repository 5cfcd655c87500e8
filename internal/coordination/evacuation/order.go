package evacuation

import (
	"time"

	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
)

// Verdict is what an order requires.
type Verdict int

// The verdicts.
const (
	Propose Verdict = iota // the command has to be committed
	InForce                // nothing: the state is as ordered
	Refused                // the order can't be carried out
	Later                  // the order can't be carried out now
)

// Site is what a control VM knows about data centres.
type Site struct {
	Zones     map[string]bool // named by the settings or the list of upstreams
	Complete  bool            // the list has been read, so that Zones has all of them
	Supported bool            // builds of the control group support evacuations, as its leader said last
}

// Decide returns what an order to start or end the evacuation of a data centre requires, and the command to commit or why it isn't. Each verdict but
// Propose is final only if s is the newest committed state; a command from an older one is superseded.
func Decide(now time.Time, s plan.State, site Site, zone string, end bool) (Verdict, plan.Command, *result.Failure) {
	e, ok := s.Evacuation(zone)
	switch {
	case ok && e.Ended == end:
		return InForce, plan.Command{}, nil
	case !ok && !site.Zones[zone] && !site.Complete:
		return Later, plan.Command{}, result.New(result.NotReady, "the list of upstreams has not been read, which names the data centres")
	case !ok && !site.Zones[zone]:
		return Refused, plan.Command{}, result.New(result.ZoneUnknown, "neither the settings nor the list of upstreams names data centre %q", zone)
	case !ok && end:
		return Refused, plan.Command{}, result.New(result.NotEvacuated, "data centre %q was never evacuated", zone)
	case !s.EvacuationsSupported || !site.Supported:
		return Later, plan.Command{}, result.New(result.BuildTooOld, "a member of the control group may run a build that does not support evacuations")
	}
	return Propose, plan.Command{Evacuation: plan.EvacuationOrder{Zone: zone, End: end, Base: e.Revision, At: uint64(max(0, now.UnixMilli()))}}, nil
}
