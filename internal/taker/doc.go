// Package taker runs an entry VM of a fleet: it accepts jobs from clients, forwards each to the owner of a cell, and
// returns the outcome. Each cell of a failure domain is owned by one of the domain's entry VMs.
package taker
