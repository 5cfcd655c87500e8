package relay

import (
	"net/http"
	"time"

	"snipetack/internal/coordination/dispatch"
	"snipetack/internal/coordination/pace"
)

// discardInterval is the shortest time between log lines on discarded reports of upstreams, one of which may send nonsense in each response.
const discardInterval = 10 * time.Second

// objective returns the time to the next event that the caller expects, and when it is over; they are zero where the route names none.
func (x *exchange) objective() (time.Duration, time.Time) {
	d := x.a.Route.Objective
	if x.headerSent {
		d = x.a.Route.GapLimit
	}
	if d <= 0 {
		return 0, time.Time{}
	}
	return d, x.heard.Add(d)
}

// reported passes on what an upstream says of its load, and records the error of the estimate by which it was chosen.
func (x *exchange) reported(c dispatch.Choice, a *Response, took time.Duration) {
	if !a.Signed || a.Status != http.StatusOK { // the times of errors tell nothing of others
		return
	}
	if c.Expected != (pace.Estimate{}) {
		x.r.d.Traffic.EstimateError(x.a.Route.Kind.String(), took-c.Expected.First)
	}
	if a.Load == nil {
		return
	}
	if x.r.d.Pool.Reported(time.Now(), c, *a.Load, took) {
		return
	}
	x.r.d.Traffic.ReportDiscarded()
	now := time.Now().UnixNano()
	if last := x.r.discardLogged.Load(); now-last >= int64(discardInterval) && x.r.discardLogged.CompareAndSwap(last, now) {
		x.r.d.Log.Warn("load report of an upstream discarded", "upstream", c.ID, "running", a.Load.Running, "waiting", a.Load.Waiting, "slots", a.Load.Slots,
			"pace", a.Load.Factor, "first", took, "expected", c.Expected.First)
	}
}

// firstByteTimeout returns after which time without a first byte an attempt at an upstream is lost; it returns false when no other attempt could
// begin in time. Where the upstream has reported its pace, the time that is usual at the service is scaled by it.
func (x *exchange) firstByteTimeout(c dispatch.Choice) (time.Duration, bool) {
	left := time.Until(x.latestStart())
	f, ok := x.r.d.Pool.Slowness(time.Now(), c.ID)
	if !ok {
		return x.r.d.RetryPolicy.FirstByteTimeout(x.a.Service, left)
	}
	return x.r.d.RetryPolicy.FirstByteTimeoutAt(x.a.Service, f, c.Expected.Wait, left)
}

// usualTime returns how long a response would have taken at an upstream of the usual pace.
func (x *exchange) usualTime(c dispatch.Choice, took time.Duration) time.Duration {
	f, ok := x.r.d.Pool.Slowness(time.Now(), c.ID)
	if !ok {
		return took
	}
	return time.Duration(float64(took) / f)
}
