// Package placer keeps the table of backend servers and workers and chooses the server on which a task starts: by
// slots, connections, cores, memory, accelerators, reported usage and quarantine. It has no goroutines, clocks or
// I/O: time is an argument and random choices are seeded.
package placer
