// Package requester is the client of an entry VM's operators' and callers' interfaces.
package requester
