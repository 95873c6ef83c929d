// Package runner builds the parts of an entry daemon from its settings, connects them and runs each on its goroutine.
package runner
