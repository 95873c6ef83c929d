// Package voter runs a VM of a fleet that agrees on its configuration and on the owners of failure domains, and takes the
// reports of workers.
package voter
