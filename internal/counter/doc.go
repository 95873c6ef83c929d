// Package counter creates the scope in which a process registers its metrics, and the HTTP handler that serves them in
// Prometheus text format.
package counter
