// Package notifier passes on to entry VMs what a voter holds: the agreed state and the reports of workers. An entry VM
// keeps one watch, a long poll, open, which is answered as soon as there is something newer.
//
// The reports that the voter has read from its directory on disk are passed on with the first confirmed state, and superseded
// by those that arrive. What is heard is handed over for the directory in batches.
//
// It never waits for the voter's disk, so that a slow sync delays neither reports nor their propagation to entry VMs.
package notifier
