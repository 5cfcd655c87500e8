package telemetry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the scope of all the program's metrics.
const meterName = "snipetack"

// Telemetry holds one VM's metrics.
type Telemetry struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
}

// New returns a Telemetry without metrics.
func New() (*Telemetry, error) {
	r := prometheus.NewRegistry()
	e, err := exporter.New(exporter.WithRegisterer(r), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "creating the metrics exporter")
	}
	return &Telemetry{provider: sdk.NewMeterProvider(sdk.WithReader(e)), registry: r}, nil
}

// Meter returns the meter that instruments are created with.
func (t *Telemetry) Meter() metric.Meter {
	return t.provider.Meter(meterName)
}

// Handler serves the metrics in the text format that scrapers read.
func (t *Telemetry) Handler() http.Handler {
	return promhttp.HandlerFor(t.registry, promhttp.HandlerOpts{})
}

// Gauge creates a gauge whose value is read whenever the metrics are scraped, from the goroutine of the scrape.
func (t *Telemetry) Gauge(name, description, unit string, value func() float64) error {
	_, err := t.Meter().Float64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(value())
			return nil
		}))
	return errors.Wrapf(err, "creating gauge %s", name)
}

// GaugeBy is Gauge for values that differ by an attribute, such as a data centre.
func (t *Telemetry) GaugeBy(name, description, unit, by string, values func() map[string]float64) error {
	_, err := t.Meter().Float64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for k, v := range values() {
				o.Observe(v, metric.WithAttributes(attribute.String(by, k)))
			}
			return nil
		}))
	return errors.Wrapf(err, "creating gauge %s", name)
}

// Close ends the collection of metrics.
func (t *Telemetry) Close() {
	_ = t.provider.Shutdown(context.Background())
}
