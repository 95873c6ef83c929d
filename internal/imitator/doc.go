// Package imitator provides a fake worker for tests. It implements the published worker protocol of the users'
// platform: start, stop and hold orders under a lease.
//
// It is a deterministic state machine without goroutines, clocks or I/O.
package imitator
