// Package replica runs the replicas of all consensus groups on a VM: it does the I/O for consensus.Core, stores and
// recovers the groups' state, and bootstraps and repairs their membership. A keeper is a VM with such replicas.
//
// One goroutine owns the cores of all groups. A second one writes and syncs the journal that the groups share, so that
// a single sync covers all commands that arrived during the previous sync. One more goroutine for each group applies
// committed commands to its Machine.
package replica
