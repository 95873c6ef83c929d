// Package placer keeps the table of backend servers and workers and chooses the server of a start: by slots,
// connections, cores, memory, accelerators, reported usage and quarantine. It is pure: time is an argument and random
// choices are seeded.
package placer
