// Package controller runs the owner of a failure domain: it holds the workers, starts and stops tasks on them, and
// answers the entry VMs that sent the jobs.
//
// One thread owns the allocator. Orders to workers run on goroutines of their own, whose number the workers' capacity
// bounds, and come back through the thread's ring.
package controller
