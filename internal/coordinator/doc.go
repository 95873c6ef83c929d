// Package coordinator runs a voter of a fleet: it agrees with the other voters on the configuration and on the owner of
// each failure domain, and answers operators.
//
// The state is a replicated log's. One thread owns log, disk and state; what entry VMs watch is handed to the notifier.
package coordinator
