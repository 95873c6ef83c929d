// Package coordinator runs a voter of a fleet: it replicates the configuration and the owner of each cell of each
// failure domain among the voters, and handles the commands of operators.
//
// The state results from a replicated log. One goroutine owns the log, the disk and the state; it publishes the state
// that entry VMs watch through the notifier.
package coordinator
