// Package scheduler decides which tasks are admitted, in which order they start and on which server.
//
// A Scheduler is a state machine without goroutines, clocks or I/O: the caller passes in the time and performs the
// starts that it returns.
package scheduler
