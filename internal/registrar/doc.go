// Package registrar keeps the newest report of each worker, and numbers what changes, so that a reader gets only what it
// has not seen.
//
// It is an aggregate without goroutines, clocks or I/O.
package registrar
