// Package timekeeper tells the time in a way that shows pauses: how long the VM was suspended, and when the process last
// resumed after it could not run for a while.
package timekeeper
