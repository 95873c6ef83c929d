// Package replicator agrees on the order of configuration entries among the voters: a replicated log with terms,
// pre-vote, check quorum, learners and snapshots.
//
// It is an aggregate without goroutines, clocks or I/O. Time comes in as an argument. What it returns must be synced
// before its messages are sent and before its committed entries are applied.
package replicator
