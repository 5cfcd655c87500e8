// Package explain reads the logs of a fleet's VMs and tells the story of one request or job.
package explain
