// Package allocator schedules jobs for the owner of a cell of a failure domain. It decides which task starts on which
// worker and when, which runs are stopped, which jobs are given up, and what the outcome of each job is.
//
// It is a deterministic state machine without goroutines, clocks or I/O. Workers list the runs that are under way and
// those that have ended. A run counts against its worker's capacity from the moment its start is sent until the worker
// lists its end, or until its lease has certainly expired.
package allocator
