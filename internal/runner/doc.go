// Package runner builds an entry daemon from its settings and gives each duty its thread.
package runner
