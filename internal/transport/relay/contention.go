package relay

import (
	"math"
	"time"

	"snipetack/internal/coordination/dispatch"
)

// decision returns the log attributes of what a choice depended on beside the load: the estimate of the upstream, what the account had got in
// relation to its share, and why the request leaves its data centre. Those that had no part in it are left out.
func (x *exchange) decision(c dispatch.Choice) []any {
	var l []any
	if c.Expected.First > 0 {
		l = append(l, "expected", c.Expected.First, "expected_wait", c.Expected.Wait)
	}
	if _, ok := x.r.d.Pool.Standing(time.Now(), x.a.Service, x.a.Account.Name); ok {
		l = append(l, "standing", rounded(c.Standing))
	}
	if c.Left != "" {
		l = append(l, "left", c.Left)
	}
	return l
}

// refusedStanding returns the log attributes of a refusal under contention handling, or none without.
func (x *exchange) refusedStanding() []any {
	v, ok := x.r.d.Pool.Standing(time.Now(), x.a.Service, x.a.Account.Name)
	if !ok {
		return nil
	}
	return []any{"account", x.a.Account.Name, "standing", rounded(v)}
}

func rounded(v float64) float64 { return math.Round(100*v) / 100 }

// forecastRequest returns what the forecast of the wait of a further attempt depends on.
func (x *exchange) forecastRequest() dispatch.Request {
	return dispatch.Request{Service: x.a.Service, Homes: x.a.Homes, Account: x.a.Account.Name, Priority: x.priority(), Latest: x.latestStart(), Size: x.r.runTimes.Mean(x.a.Route.Name)}
}
