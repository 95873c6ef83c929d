// Package allocator decides for the owner of a failure domain: which task starts on which worker and when, what is
// stopped, what is given up, and what each job's outcome is.
//
// It is an aggregate without goroutines, clocks or I/O. Workers list what runs on them and what has ended; the aggregate
// counts a run against its worker from the moment its start is sent until the worker lists its end, or until its lease
// has provably lapsed.
package allocator
