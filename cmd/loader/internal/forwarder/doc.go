// Package forwarder implements the fault proxy between entry processes. For each direction between two processes it
// delays traffic or cuts it silently, and it closes connections.
package forwarder
