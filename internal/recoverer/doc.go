// Package recoverer turns a panic into an error, so that one bad message or an unexpected state ends one exchange and not
// the process.
package recoverer
