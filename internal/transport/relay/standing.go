package relay

import (
	"math"
	"time"

	"snipetack/internal/coordination/dispatch"
)

// standing returns the log attribute of what the account had got in relation to its share, or none without fairness.
func (x *exchange) standing(v float64) []any {
	if _, ok := x.r.d.Pool.Standing(time.Now(), x.a.Service, x.a.Account.Name); !ok {
		return nil
	}
	return []any{"standing", math.Round(100*v) / 100}
}

// forecastRequest returns what the forecast of the wait of a further attempt depends on.
func (x *exchange) forecastRequest() dispatch.Request {
	return dispatch.Request{Service: x.a.Service, Homes: x.a.Homes, Account: x.a.Account.Name, Priority: x.priority(), Latest: x.latestStart(), Size: x.r.runTimes.Mean(x.a.Route.Name)}
}
