// Package configurer manages the configuration of an entry VM: on a voter it replicates changes among the voters, and on
// every VM it activates each new version and distributes it to the VMs that subscribe to its updates.
package configurer
