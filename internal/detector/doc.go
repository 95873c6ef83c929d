// Package detector determines by pings which entry VMs are reachable in both directions, and keeps the state that
// each of them last reported.
package detector
