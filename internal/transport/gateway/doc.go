// Package gateway serves the callers' HTTP interface: it authenticates, rate-limits, queues, routes and relays online
// requests.
package gateway
