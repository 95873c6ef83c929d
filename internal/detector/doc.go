// Package detector judges from pings which entry VMs are reachable in both directions, and remembers what they said
// of themselves.
package detector
