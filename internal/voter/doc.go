// Package voter runs a voter: a VM of a fleet that replicates the fleet's configuration and the owners of failure
// domains, and that receives the reports of workers.
package voter
