package vm

import (
	"net/http"
	"time"

	"snipetack/internal/transport/telemetry"
)

// operatorHeaderTimeout bounds the time that an operator's client may take to send the request headers.
const operatorHeaderTimeout = 10 * time.Second

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
	callers = v.gateway.Server()
	callers.Handler = q.Wrap(callers.Handler)
	m := http.NewServeMux()
	m.Handle("GET /metrics", t.Handler())
	m.Handle("/", v.operator.Handler())
	operators = &http.Server{Handler: m, ReadHeaderTimeout: operatorHeaderTimeout}
	return callers, operators, nil
}
