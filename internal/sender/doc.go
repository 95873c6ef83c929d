// Package sender sends tasks to backend servers and workers over HTTP and tells work that provably did not start
// from work that may have started.
package sender
