// Package keeper replicates the submission records of one group: it owns the recorder and the elector, sends records to
// the group's members and waits until a majority has acknowledged them.
package keeper
