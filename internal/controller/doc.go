// Package controller runs the owner of a cell of a failure domain: it renews the leases of the workers, starts and
// stops tasks on them, and answers the entry VMs that submitted the jobs.
//
// One goroutine, the event loop, owns the allocator. Each order to a worker runs in its own goroutine, whose number the
// workers' capacity bounds, and its result returns through the event loop's mailbox.
package controller
