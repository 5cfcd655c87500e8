// Package telemetry collects a VM's metrics with OpenTelemetry, serves them in the Prometheus text format, and bounds the
// volume of its log.
package telemetry
