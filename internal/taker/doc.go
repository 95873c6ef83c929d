// Package taker runs an entry VM of a fleet: it takes jobs from clients, hands each to the owner of its failure domain,
// and returns the outcome. One of the entry VMs of a failure domain is the owner itself.
package taker
