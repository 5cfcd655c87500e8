// Package jobs gives every VM access to the batch jobs, which a replicated group of the batch VMs stores.
//
// A Client on any VM calls a Server on a batch VM. Changes and item bodies are served only by the group's leader; results
// never change, so any member may serve those that it has.
package jobs
