// Package keeper runs the submission records of one group: it owns the recorder and the elector, replicates records
// to the group's members and waits for a majority.
package keeper
