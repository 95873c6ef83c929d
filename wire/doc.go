// Package wire holds the generated messages that entry VMs exchange.
//
// The schema is wire.proto; "make generate" writes the Go code.
package wire
