// Package configurer is the thread of the configuration: it agrees on changes with the other voters, puts each
// version into force and distributes it to the entry VMs without a vote.
package configurer
