// Package scheduler decides which tasks are admitted, in which order they start and on which server.
//
// A Scheduler is an aggregate without goroutines, clocks or I/O: the caller passes the time and performs the starts.
package scheduler
