// Package imitator stands in for a worker that is told what to run by start, stop and hold under a lease. It follows the
// published protocol of the users' platform and serves tests.
//
// It is an aggregate without goroutines, clocks or I/O.
package imitator
