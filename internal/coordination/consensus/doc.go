// Package consensus implements Raft for one replicated group, without I/O: leader election with pre-vote, log
// replication, snapshots, leases, linearizable reads, membership changes and leadership transfer.
//
// The driver passes in messages, the time and proposals, and carries out the returned Effects. It writes and syncs
// the state in each Effects in order, sends Messages immediately, and sends Synced only after the writes of the same
// and of all earlier Effects are synced. Messages addressed to the replica itself are passed back to Core.Step.
package consensus
