// Package replicator implements the consensus algorithm by which the voters agree on one order of configuration
// entries: a replicated log with leader election by term, pre-vote, check quorum, learners and snapshots.
//
// It is a deterministic state machine without goroutines, clocks or I/O; the current time is an argument. The caller
// must make the returned state durable before it sends the returned messages or applies the committed entries.
package replicator
