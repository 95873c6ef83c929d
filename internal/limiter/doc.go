// Package limiter shares slots between teams by weight, limits their running tasks and budgets retries. It has no
// goroutines, clocks or I/O.
package limiter
