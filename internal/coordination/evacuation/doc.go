// Package evacuation decides on operators' orders to evacuate data centres, and marks the upstreams there on a VM's list. It responds to orders, and
// to lists of up to some thousand upstreams that change about once a second.
package evacuation
