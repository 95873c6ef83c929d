// Package cataloger keeps the directory of workers that a voter writes to its disk, so that a fleet that has lost power knows
// its workers at once instead of after their next reports. It decides what is written when, and reads what was written.
//
// It answers the load that follows a loss of power of all VMs: callers are back at once, and no worker is known. It bounds
// what a fleet of up to 32,000 workers writes to 1 MB a second, with one sync, and 16 MB in two files.
//
// It has no goroutines, clocks or I/O.
package cataloger
