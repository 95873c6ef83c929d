// Package prover holds integration tests: entry processes on loopback, stand-in servers that count starts themselves,
// and the faults that the design names. Its tests assert no times; they wait for conditions.
package prover
