// Package vm builds the snipetack process of one VM from its settings and collaborators, and runs it until a planned
// stop.
//
// Every VM serves callers and operators, admits and routes online requests, and schedules batch items on the upstreams
// whose batch lease it holds. A VM whose settings make it a keeper also runs a replica of the replicated groups and,
// while it leads them, grants quota tokens and decides placement. Mesh is the transport between VMs.
package vm
