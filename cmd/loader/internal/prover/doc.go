// Package prover holds the integration tests: entry processes on loopback under the faults that the design names, with
// stand-in servers that count task starts themselves. The tests wait for conditions and assert no durations, except for
// the bound on new work at a server that leaves.
package prover
