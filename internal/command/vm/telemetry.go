package vm

import (
	"net/http"

	"snipetack/internal/transport/httpserver"
	"snipetack/internal/transport/telemetry"
)

// servers returns the HTTP servers for callers and operators. Requests of callers are measured; the operators' server
// also serves the metrics.
func (v *VM) servers() (callers, operators *http.Server, err error) {
	t := v.d.Telemetry
	q, err := telemetry.NewRequests(t.Meter())
	if err != nil {
		return nil, nil, err
	}
	err = t.Gauge("configuration_revision", "Revision of the configuration in force.", "", func() float64 {
		return float64(v.copy.Current().Revision)
	})
	if err != nil {
		return nil, nil, err
	}
	err = t.Gauge("configuration_age", "How old the copy of the configuration may be.", "s", func() float64 {
		return v.copy.Age().Seconds()
	})
	if err != nil {
		return nil, nil, err
	}
	if err := v.registerGauges(); err != nil {
		return nil, nil, err
	}
	callers = v.gateway.Server()
	callers.Handler = q.Wrap(callers.Handler)
	m := http.NewServeMux()
	m.Handle("GET /metrics", t.Handler())
	m.Handle("/", v.operator.Handler())
	operators = httpserver.New(m, v.d.Log)
	v.guard.Attach(callers)
	v.guard.Attach(operators)
	return callers, operators, nil
}
