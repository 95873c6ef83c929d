// Package registrar keeps the newest report of each worker and numbers the changes, so that a reader can fetch only the
// reports that have changed since it last read.
//
// It has no goroutines, clocks or I/O.
package registrar
