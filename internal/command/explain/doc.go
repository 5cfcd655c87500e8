// Package explain builds the timeline of one request or job from the logs of a fleet's VMs.
package explain
