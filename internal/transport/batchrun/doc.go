// Package batchrun runs batch items at upstreams from the batch VM that leads, and tells the entry VMs what is in flight.
package batchrun
