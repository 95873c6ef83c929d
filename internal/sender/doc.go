// Package sender sends tasks to backend servers and workers over HTTP. It distinguishes tasks that provably did not
// start from tasks that may have started.
package sender
